//! What a process costs, from the kernel's own counts.

use crate::serve::AnyError;

/// Clock ticks a second of the counters in `/proc/PID/stat`, fixed on Linux for user space.
const TICKS: f64 = 100.0;

/// Counts of one process at one moment.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessCost {
    /// Processor time used so far, in milliseconds, to 10 ms.
    pub cpu_ms: f64,
    /// Resident memory in MB.
    pub resident_mb: f64,
}

/// Reads the counts of a process.
pub fn process_cost(pid: u32) -> Result<ProcessCost, AnyError> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    // The name in parentheses may hold spaces; what follows it does not.
    let after = stat.rsplit_once(')').map_or("", |parts| parts.1);
    let fields: Vec<&str> = after.split_whitespace().collect();
    let ticks = |index: usize| fields.get(index).and_then(|text| text.parse::<f64>().ok());
    let (user, system) = (ticks(11).unwrap_or(0.0), ticks(12).unwrap_or(0.0));
    let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let resident = status.lines().find_map(|line| {
        line.strip_prefix("VmRSS:")?.trim().strip_suffix(" kB")?.trim().parse::<f64>().ok()
    });
    Ok(ProcessCost {
        cpu_ms: (user + system) * 1_000.0 / TICKS,
        resident_mb: resident.unwrap_or(0.0) / 1_024.0,
    })
}
