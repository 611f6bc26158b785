//! The daemon's own part of the time to first token, unloaded, and its cost a request.

use crate::baseline::{BaselineKind, BaselineRouter};
use crate::caller::Caller;
use crate::deployment::{Deployment, DeploymentPlan, EnginePlan, ProgramPaths, block_on};
use crate::process_cost::process_cost;
use crate::serve::AnyError;
use guava_types::Deadline;
use hdrhistogram::Histogram;
use std::time::Instant;
use tokio::task::LocalSet;

const REQUESTS: u64 = 1_000;
const LARGEST_US: u64 = 10_000_000;

/// Times in milliseconds, and processor time.
#[derive(Clone, Debug)]
pub struct OverheadFigures {
    /// Straight to the engine: p50 and p99.
    pub direct_ms: (f64, f64),
    /// Through a daemon: p50 and p99.
    pub daemon_ms: (f64, f64),
    /// Processor time of the daemon for a request, idle use taken off, in milliseconds.
    pub cpu_ms: f64,
}

fn quantiles(times: &Histogram<u64>) -> (f64, f64) {
    let at = |quantile| times.value_at_quantile(quantile) as f64 / 1_000.0;
    (at(0.50), at(0.99))
}

async fn direct_ms(router: &BaselineRouter, prompt: &str) -> Result<f64, AnyError> {
    let started = Instant::now();
    let deadline = Deadline::in_millis(10_000);
    let mut stream = router.start_run("acme", prompt, 1, deadline).await?;
    stream.next(deadline).await?;
    let millis = started.elapsed().as_secs_f64() * 1_000.0;
    while stream.next(deadline).await?.is_some_and(|event| event.usage.is_none()) {}
    Ok(millis)
}

/// Sends one short request after the other, in turn straight to an engine and through a daemon;
/// each answer has so many tokens, a chunk each.
pub fn measure_overhead(paths: ProgramPaths, tokens: u32) -> Result<OverheadFigures, AnyError> {
    let engine = EnginePlan { prefill: 100_000_000, decode_ms: 0, ..EnginePlan::default() };
    let plan =
        DeploymentPlan { engines: vec![engine; 2], proxies: false, ..DeploymentPlan::default() };
    let deployment = Deployment::start(paths, plan)?;
    let engines = ["engine-0", "engine-1"].map(|name| deployment.servers[name]).to_vec();
    let mut direct = Histogram::<u64>::new_with_bounds(1, LARGEST_US, 3)?;
    let mut through = Histogram::<u64>::new_with_bounds(1, LARGEST_US, 3)?;
    let pid = deployment.pid("entry-0").ok_or("no such daemon")?;
    let address = deployment.daemons[0].callers;
    let caller = Caller::of("acme");

    let idle_before = process_cost(pid)?;
    let idle_started = Instant::now();
    std::thread::sleep(std::time::Duration::from_secs(5));
    let idle_rate =
        (process_cost(pid)?.cpu_ms - idle_before.cpu_ms) / idle_started.elapsed().as_secs_f64();

    let before = process_cost(pid)?;
    let started = Instant::now();
    let local = LocalSet::new();
    block_on(local.run_until(async {
        let router = BaselineRouter::start(BaselineKind::RoundRobin, engines, 1);
        for index in 0..REQUESTS {
            let prompt = format!("question {index}");
            direct.saturating_record((direct_ms(&router, &prompt).await? * 1_000.0) as u64);
            let answer = caller.stream(address, &prompt, tokens, usize::MAX).await?;
            through.saturating_record((answer.first_ms * 1_000.0) as u64);
        }
        Ok::<(), AnyError>(())
    }))??;
    let used = process_cost(pid)?.cpu_ms - before.cpu_ms;
    let idle = idle_rate * started.elapsed().as_secs_f64();
    Ok(OverheadFigures {
        direct_ms: quantiles(&direct),
        daemon_ms: quantiles(&through),
        cpu_ms: (used - idle).max(0.0) / REQUESTS as f64,
    })
}
