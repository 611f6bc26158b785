//! One run of a workload by one policy: open loop, so that a stall is not hidden.
//!
//! A request's time counts from when it was planned to arrive, not from when the program came to
//! send it.

use crate::baseline::{BaselineKind, BaselineRouter};
use crate::caller::Caller;
use crate::deployment::{
    Deployment, DeploymentPlan, EnginePlan, ProgramPaths, ask, block_on, post_value,
};
use crate::engine_server::EngineStats;
use crate::serve::AnyError;
use crate::store_server::StoreStats;
use crate::workload::{PlannedFault, PlannedRequest, WorkloadPlan};
use guava_types::{Deadline, FastMap};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, sleep_until};

const ENGINES: usize = 6;
const DAEMONS: usize = 3;
const STORES: usize = 2;
const MAX_TOKENS: u32 = 8;
/// Time for exports to finish between the phases.
const SETTLE: Duration = Duration::from_secs(3);

/// Who routes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyKind {
    /// The daemons.
    Guavatiller,
    /// A baseline.
    Baseline(BaselineKind),
}

/// All policies, ours first.
pub const POLICIES: [(&str, PolicyKind); 5] = [
    ("guavatiller", PolicyKind::Guavatiller),
    ("random", PolicyKind::Baseline(BaselineKind::Random)),
    ("round-robin", PolicyKind::Baseline(BaselineKind::RoundRobin)),
    ("least-reported", PolicyKind::Baseline(BaselineKind::LeastReported)),
    ("affinity", PolicyKind::Baseline(BaselineKind::Affinity)),
];

/// What a run gave.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RunFigures {
    /// The workload.
    pub workload: String,
    /// The policy.
    pub policy: String,
    /// Requests planned.
    pub requests: u64,
    /// First token inside the caller's deadline.
    pub served: u64,
    /// Refused at once.
    pub refused: u64,
    /// Anything else.
    pub failed: u64,
    /// Time to first token of those served, in milliseconds.
    pub p50_ms: f64,
    /// As above.
    pub p95_ms: f64,
    /// As above.
    pub p99_ms: f64,
    /// Tokens prefilled over tokens of all prompts.
    pub recomputed_share: f64,
    /// Bytes over all links.
    pub link_bytes: u64,
    /// Requests routed a second time by the daemons; the baselines retry nothing.
    pub retried: u64,
    /// Bytes over each link, as a share of what it can carry in the time.
    pub link_shares: Vec<f64>,
    /// Served a second.
    pub goodput: f64,
    /// Served share by customer.
    pub served_by_customer: FastMap<String, f64>,
    /// Length of the measured phase, in seconds.
    pub seconds: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum RequestEnd {
    Served(f64),
    Refused,
    Failed,
}

fn deployment_plan(plan: &WorkloadPlan) -> DeploymentPlan {
    let engine = EnginePlan { cache_tokens: 20_000, ..EnginePlan::default() };
    DeploymentPlan {
        daemons: DAEMONS,
        engines: vec![engine; ENGINES],
        services: 1,
        stores: STORES,
        link: plan.link,
        proxies: false,
        weights: plan.weights,
        settings: vec!["\"log_level\": \"info\"".into()],
        ..DeploymentPlan::default()
    }
}

fn names<'a>(deployment: &'a Deployment, prefix: &str) -> Vec<(&'a String, SocketAddr)> {
    let matching = deployment.servers.iter().filter(|(name, _)| name.starts_with(prefix));
    let mut found: Vec<_> = matching.map(|(name, address)| (name, *address)).collect();
    found.sort();
    found
}

fn engine_totals(deployment: &Deployment) -> Result<(u64, u64), AnyError> {
    let mut totals = (0, 0);
    for (_, address) in names(deployment, "engine-") {
        let stats: EngineStats = ask(address, "/stats")?;
        totals.0 += stats.prompt_tokens;
        totals.1 += stats.computed_tokens;
    }
    Ok(totals)
}

/// Bytes over each store's link; nothing for a dead store.
fn link_bytes(deployment: &Deployment) -> Vec<u64> {
    let stores = names(deployment, "store-");
    let bytes = |(_, at): &(&String, SocketAddr)| {
        ask::<StoreStats>(*at, "/stats").map_or(0, |stats| stats.link_bytes)
    };
    stores.iter().map(bytes).collect()
}

/// Requests that the daemons have routed again, from their logs.
fn retried(deployment: &Deployment) -> u64 {
    let logs = deployment.daemons.iter().map(|daemon| deployment.log_of(&daemon.name));
    logs.map(|log| log.matches("\"G4003\"").count() as u64).sum()
}

fn bring_about(deployment: &mut Deployment, fault: PlannedFault) -> Result<(), AnyError> {
    match fault {
        PlannedFault::None => {}
        PlannedFault::SlowEngine => {
            post_value(deployment.servers["engine-0"], "/fault", &json!({ "slower": 10 }))?;
        }
        PlannedFault::DeadStore => deployment.kill("store-0"),
        PlannedFault::SlowLink => {
            for (_, address) in names(deployment, "store-") {
                post_value(address, "/fault", &json!({ "link_percent": 10 }))?;
            }
        }
        PlannedFault::DeadDataCentre => deployment.kill("entry-0"),
        PlannedFault::LogOutage => {
            post_value(deployment.servers["log"], "/fault", &json!({ "outage": true }))?;
        }
    }
    Ok(())
}

/// Sends through the daemons, as the contract for callers says: to the addresses named by the
/// system, and elsewhere if one does not answer.
#[derive(Clone)]
struct DaemonSender {
    addresses: Rc<RefCell<Vec<SocketAddr>>>,
    turn: Rc<RefCell<usize>>,
}

impl DaemonSender {
    async fn send(&self, request: &PlannedRequest, arrived: Instant) -> RequestEnd {
        let caller = Caller::of(request.customer).with_timeout(request.timeout_ms);
        let count = self.addresses.borrow().len();
        for _ in 0..count {
            let address = {
                let mut turn = self.turn.borrow_mut();
                *turn += 1;
                self.addresses.borrow()[*turn % count]
            };
            let before = arrived.elapsed().as_secs_f64() * 1_000.0;
            let answer = caller.stream(address, &request.prompt, MAX_TOKENS, usize::MAX).await;
            match answer {
                Ok(answer) if answer.done => return RequestEnd::Served(before + answer.first_ms),
                Ok(answer) if answer.outcome == "not-run" => return RequestEnd::Refused,
                Ok(_) => return RequestEnd::Failed,
                // No connection: the daemon is gone.
                Err(_) => continue,
            }
        }
        RequestEnd::Failed
    }
}

async fn send_baseline(
    router: &BaselineRouter,
    request: &PlannedRequest,
    arrived: Instant,
) -> RequestEnd {
    let deadline = Deadline::in_millis(request.timeout_ms);
    let started = router.start_run(request.customer, &request.prompt, MAX_TOKENS, deadline).await;
    let Ok(mut stream) = started else { return RequestEnd::Failed };
    let mut first = None;
    loop {
        match stream.next(deadline).await {
            Ok(Some(event)) if event.usage.is_some() => break,
            Ok(Some(_)) => {
                first.get_or_insert_with(|| arrived.elapsed().as_secs_f64() * 1_000.0);
            }
            _ => return RequestEnd::Failed,
        }
    }
    first.map_or(RequestEnd::Failed, RequestEnd::Served)
}

enum RequestSender {
    Daemons(DaemonSender),
    Baseline(BaselineRouter),
}

async fn send_phase(
    sender: Rc<RequestSender>,
    requests: &[PlannedRequest],
) -> Vec<(&'static str, RequestEnd)> {
    let start = tokio::time::Instant::now();
    let ends = Rc::new(RefCell::new(Vec::new()));
    let mut tasks = Vec::new();
    for request in requests {
        let at = start + Duration::from_secs_f64(request.at_ms / 1_000.0);
        sleep_until(at).await;
        let (sender, request, ends) = (Rc::clone(&sender), request.clone(), Rc::clone(&ends));
        tasks.push(spawn_local(async move {
            let arrived = at.into_std();
            let end = match &*sender {
                RequestSender::Daemons(daemons) => daemons.send(&request, arrived).await,
                RequestSender::Baseline(router) => send_baseline(router, &request, arrived).await,
            };
            ends.borrow_mut().push((request.customer, end));
        }));
    }
    for task in tasks {
        drop(task.await);
    }
    ends.take()
}

fn sender(deployment: &Deployment, policy: PolicyKind, seed: u64) -> RequestSender {
    match policy {
        PolicyKind::Guavatiller => {
            let addresses = deployment.daemons.iter().map(|daemon| daemon.callers).collect();
            RequestSender::Daemons(DaemonSender {
                addresses: Rc::new(RefCell::new(addresses)),
                turn: Rc::default(),
            })
        }
        PolicyKind::Baseline(kind) => {
            let engines = names(deployment, "engine-").into_iter().map(|(_, at)| at).collect();
            RequestSender::Baseline(BaselineRouter::start(kind, engines, seed))
        }
    }
}

fn figures(ends: &[(&'static str, RequestEnd)]) -> Result<RunFigures, AnyError> {
    const LARGEST_US: u64 = 120_000_000;
    let mut times = Histogram::<u64>::new_with_bounds(1, LARGEST_US, 3)?;
    let mut figures = RunFigures { requests: ends.len() as u64, ..RunFigures::default() };
    let mut by_customer: FastMap<&str, (f64, f64)> = FastMap::default();
    for (customer, end) in ends {
        let entry = by_customer.entry(customer).or_default();
        entry.1 += 1.0;
        match end {
            RequestEnd::Served(millis) => {
                figures.served += 1;
                entry.0 += 1.0;
                times.saturating_record((millis * 1_000.0) as u64);
            }
            RequestEnd::Refused => figures.refused += 1,
            RequestEnd::Failed => figures.failed += 1,
        }
    }
    let at = |quantile| times.value_at_quantile(quantile) as f64 / 1_000.0;
    figures.p50_ms = at(0.50);
    figures.p95_ms = at(0.95);
    figures.p99_ms = at(0.99);
    let share = |(name, (served, all)): (&&str, &(f64, f64))| ((*name).to_owned(), served / all);
    figures.served_by_customer = by_customer.iter().map(share).collect();
    Ok(figures)
}

/// Runs a workload by a policy on a deployment of its own.
pub fn run_workload(
    paths: &ProgramPaths,
    plan: &WorkloadPlan,
    policy: (&str, PolicyKind),
    seed: u64,
) -> Result<RunFigures, AnyError> {
    let mut deployment = Deployment::start(paths.clone(), deployment_plan(plan))?;
    for customer in ["flood", "small-one", "small-two"] {
        deployment.add_customer(customer, 10_000, 4_000)?;
    }
    let local = LocalSet::new();
    block_on(local.run_until(async {
        let sender = Rc::new(sender(&deployment, policy.1, seed));
        send_phase(Rc::clone(&sender), &plan.warm).await;
        if !plan.warm.is_empty() {
            sleep(SETTLE).await;
        }
    }))?;
    bring_about(&mut deployment, plan.fault)?;
    let before = engine_totals(&deployment)?;
    let link_before = link_bytes(&deployment);
    let retried_before = retried(&deployment);
    let started = Instant::now();
    let local = LocalSet::new();
    let ends = block_on(local.run_until(async {
        let sender = Rc::new(sender(&deployment, policy.1, seed));
        send_phase(sender, &plan.measured).await
    }))?;
    let mut figures = figures(&ends)?;
    figures.seconds = started.elapsed().as_secs_f64();
    let after = engine_totals(&deployment)?;
    figures.workload = plan.name.into();
    figures.policy = policy.0.into();
    figures.recomputed_share = (after.1 - before.1) as f64 / ((after.0 - before.0).max(1)) as f64;
    let carried = plan.link as f64 * figures.seconds;
    let link_after = link_bytes(&deployment);
    let moved = link_after.iter().zip(&link_before).map(|(now, then)| now.saturating_sub(*then));
    let moved: Vec<u64> = moved.collect();
    figures.link_bytes = moved.iter().sum();
    figures.link_shares = moved.iter().map(|bytes| *bytes as f64 / carried).collect();
    figures.retried = retried(&deployment) - retried_before;
    figures.goodput = figures.served as f64 / figures.seconds;
    Ok(figures)
}
