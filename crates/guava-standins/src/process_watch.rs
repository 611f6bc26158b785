//! What a process holds of its machine, sampled while a test runs: memory of its own, bytes in the
//! kernel's buffers of its connections, and open descriptors.

use guava_types::FastSet;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{JoinHandle, sleep, spawn};
use std::time::Duration;

/// Interval between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// The most that was seen at any sample.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeakUse {
    /// Memory of its own together with its connections' kernel buffers, in bytes.
    pub memory_bytes: u64,
    /// Open descriptors.
    pub descriptors: u64,
}

#[derive(Default)]
struct WatchState {
    memory_bytes: AtomicU64,
    descriptors: AtomicU64,
    is_over: AtomicBool,
}

/// Samples a process until it is dropped.
pub struct ProcessWatch {
    state: Arc<WatchState>,
    sampler: Mutex<Option<JoinHandle<()>>>,
}

impl ProcessWatch {
    /// Watches a process that listens on these TCP ports.
    pub fn start(process: u32, ports: &[u16]) -> Self {
        let state = Arc::new(WatchState::default());
        let ports: FastSet<u16> = ports.iter().copied().collect();
        let sampled = Arc::clone(&state);
        let sampler = spawn(move || {
            while !sampled.is_over.load(Ordering::Relaxed) {
                let memory = own_bytes(process) + kernel_bytes(&ports);
                sampled.memory_bytes.fetch_max(memory, Ordering::Relaxed);
                sampled.descriptors.fetch_max(descriptors(process), Ordering::Relaxed);
                sleep(SAMPLE_INTERVAL);
            }
        });
        Self { state, sampler: Mutex::new(Some(sampler)) }
    }

    /// The most that was seen so far.
    pub fn peak(&self) -> PeakUse {
        PeakUse {
            memory_bytes: self.state.memory_bytes.load(Ordering::Relaxed),
            descriptors: self.state.descriptors.load(Ordering::Relaxed),
        }
    }
}

impl Drop for ProcessWatch {
    fn drop(&mut self) {
        self.state.is_over.store(true, Ordering::Relaxed);
        let sampler = self.sampler.lock().unwrap_or_else(PoisonError::into_inner).take();
        sampler.into_iter().for_each(|sampler| drop(sampler.join()));
    }
}

fn proc_path(process: u32, name: &str) -> PathBuf {
    PathBuf::from(format!("/proc/{process}/{name}"))
}

/// Anonymous memory; pages of the program's file can be dropped and read again. Zero once the process
/// has ended.
fn own_bytes(process: u32) -> u64 {
    let status = std::fs::read_to_string(proc_path(process, "status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
    let kilobytes = line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<u64>().ok());
    kilobytes.unwrap_or(0) * 1_024
}

fn descriptors(process: u32) -> u64 {
    std::fs::read_dir(proc_path(process, "fd")).map_or(0, |entries| entries.count() as u64)
}

/// Bytes received and not read, and written and not taken, on connections at these local ports.
fn kernel_bytes(ports: &FastSet<u16>) -> u64 {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    table.lines().skip(1).filter_map(|line| queued_bytes(line, ports)).sum()
}

fn queued_bytes(line: &str, ports: &FastSet<u16>) -> Option<u64> {
    /// State of a listening socket, whose queue counts connections.
    const LISTENING: &str = "0A";
    let mut fields = line.split_whitespace().skip(1);
    let port = u16::from_str_radix(fields.next()?.rsplit_once(':')?.1, 16).ok()?;
    let state = fields.nth(1)?;
    let (unsent, unread) = fields.next()?.split_once(':')?;
    if !ports.contains(&port) || state == LISTENING {
        return None;
    }
    Some(u64::from_str_radix(unsent, 16).ok()? + u64::from_str_radix(unread, 16).ok()?)
}
