//! Workloads: which prompt of which customer arrives when, from a seed alone.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// One request of a workload.
#[derive(Clone, Debug)]
pub struct PlannedRequest {
    /// When it arrives, in milliseconds from the start of its phase.
    pub at_ms: f64,
    /// The customer.
    pub customer: &'static str,
    /// The prompt.
    pub prompt: String,
    /// How long its caller waits, in milliseconds.
    pub timeout_ms: u64,
}

/// What fails in the measured phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlannedFault {
    /// Nothing.
    None,
    /// One engine is ten times slower.
    SlowEngine,
    /// One store is dead.
    DeadStore,
    /// The stores' links run at a tenth.
    SlowLink,
    /// The daemons of one data centre are killed.
    DeadDataCentre,
    /// The log is out.
    LogOutage,
}

/// A workload.
#[derive(Clone, Debug)]
pub struct WorkloadPlan {
    /// Its name.
    pub name: &'static str,
    /// Weights of the measures.
    pub weights: [u32; 3],
    /// Rate of a store's link in bytes a second.
    pub link: u64,
    /// What fails.
    pub fault: PlannedFault,
    /// Requests sent before, not measured.
    pub warm: Vec<PlannedRequest>,
    /// Requests measured.
    pub measured: Vec<PlannedRequest>,
}

/// Names of all workloads.
pub const WORKLOADS: [&str; 9] = [
    "return-association",
    "return-cavebright",
    "mixed-first-seen",
    "burst",
    "slow-engine",
    "dead-store",
    "slow-link",
    "dead-data-centre",
    "log-outage",
];

const PROMPTS: usize = 60;
const WARM_RATE: f64 = 8.0;
const RATE: f64 = 10.0;
const PROMPT_TOKENS: (usize, usize) = (4_000, 8_000);
const TIMEOUT_MS: u64 = 20_000;
/// Prefill capacity of the engines for the burst's prompts, in requests a second: six engines,
/// 20,000 tokens a second each, 2,000 tokens a prompt.
pub const BURST_CAPACITY: f64 = 60.0;
const BURST_FACTOR: f64 = 3.0;
const BURST_TIMEOUT_MS: u64 = 2_000;
const SMALL_RATE: f64 = 4.0;

fn text(rng: &mut ChaCha8Rng, tokens: usize) -> String {
    let announcements = (0..tokens).map(|_| format!("{:03x} ", rng.random_range(0..4096_u32)));
    announcements.collect()
}

/// Arrivals at a rate, with exponential gaps.
fn arrivals(rng: &mut ChaCha8Rng, rate: f64, seconds: f64) -> Vec<f64> {
    let mut at = 0.0;
    let mut times = Vec::new();
    loop {
        let draw: f64 = rng.random_range(1e-9..1.0);
        at += -draw.ln() * 1_000.0 / rate;
        if at > seconds * 1_000.0 {
            return times;
        }
        times.push(at);
    }
}

fn packets(rng: &mut ChaCha8Rng) -> Vec<String> {
    let mut packet = || {
        let tokens = rng.random_range(PROMPT_TOKENS.0..PROMPT_TOKENS.1);
        text(rng, tokens)
    };
    (0..PROMPTS).map(|_| packet()).collect()
}

/// A packet with the question of the day at its end.
fn question(rng: &mut ChaCha8Rng, packet: &str) -> String {
    packet.to_owned() + &text(rng, 20)
}

fn request(at_ms: f64, customer: &'static str, prompt: String) -> PlannedRequest {
    PlannedRequest { at_ms, customer, prompt, timeout_ms: TIMEOUT_MS }
}

/// All packets once; then returns in random order, each packet after a gap in which many others
/// have passed through the engines' caches.
fn return_after_gap(
    rng: &mut ChaCha8Rng,
    seconds: f64,
) -> (Vec<PlannedRequest>, Vec<PlannedRequest>) {
    let packets = packets(rng);
    let warm = packets
        .iter()
        .enumerate()
        .map(|(index, packet)| {
            request(index as f64 * 1_000.0 / WARM_RATE, "acme", question(rng, packet))
        })
        .collect();
    let measured = arrivals(rng, RATE, seconds)
        .into_iter()
        .map(|at| {
            let packet = &packets[rng.random_range(0..packets.len())];
            request(at, "acme", question(rng, packet))
        })
        .collect();
    (warm, measured)
}

fn burst(rng: &mut ChaCha8Rng, seconds: f64) -> Vec<PlannedRequest> {
    let mut requests = Vec::new();
    let mut add = |rng: &mut ChaCha8Rng, customer, rate| {
        for at_ms in arrivals(rng, rate, seconds) {
            let prompt = text(rng, 2_000);
            requests.push(PlannedRequest { at_ms, customer, prompt, timeout_ms: BURST_TIMEOUT_MS });
        }
    };
    add(rng, "flood", BURST_CAPACITY * BURST_FACTOR - 2.0 * SMALL_RATE);
    add(rng, "small-one", SMALL_RATE);
    add(rng, "small-two", SMALL_RATE);
    requests.sort_by(|left, right| left.at_ms.total_cmp(&right.at_ms));
    requests
}

/// Plans a workload; the same name, seed and length give the same plan.
pub fn plan_workload(name: &str, seed: u64, seconds: f64) -> Option<WorkloadPlan> {
    const ASSOCIATION: [u32; 3] = [10, 1, 1];
    const CAVEBRIGHT: [u32; 3] = [2, 10, 10];
    const WIDE: u64 = 20_000_000;
    const NARROW: u64 = 3_000_000;
    let name = WORKLOADS.into_iter().find(|known| *known == name)?;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let (weights, link) = match name {
        "return-cavebright" => (CAVEBRIGHT, NARROW),
        _ => (ASSOCIATION, WIDE),
    };
    let fault = match name {
        "slow-engine" => PlannedFault::SlowEngine,
        "dead-store" => PlannedFault::DeadStore,
        "slow-link" => PlannedFault::SlowLink,
        "dead-data-centre" => PlannedFault::DeadDataCentre,
        "log-outage" => PlannedFault::LogOutage,
        _ => PlannedFault::None,
    };
    let (warm, measured) = match name {
        "burst" => (Vec::new(), burst(&mut rng, seconds)),
        "mixed-first-seen" => (Vec::new(), return_after_gap(&mut rng, seconds).1),
        _ => return_after_gap(&mut rng, seconds),
    };
    Some(WorkloadPlan { name, weights, link, fault, warm, measured })
}
