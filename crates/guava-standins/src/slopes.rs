//! Slopes for the capacity page: cost by number of daemons, upstreams, customers, keys, prompts.

use crate::deployment::{Deployment, DeploymentPlan, EnginePlan, ProgramPaths, ask, wait_until};
use crate::log_server::LogStats;
use crate::process_cost::process_cost;
use crate::serve::AnyError;
use guava_daemon::{CacheIndex, SealedEntry};
use guava_policy::{
    NEAR_BEST_FRACTION, PrefixHash, RouteCandidate, RouteInput, decide_route, prefix_chain,
};
use guava_state::{
    ChangeRequest, ConfigObject, CustomerSpec, FleetState, IntentEntry, LogRecord, ObjectKey,
    RecordBody, WeightProfile, state_text,
};
use guava_types::{
    ByteCount, Deadline, Incarnation, Moment, Offset, RecordId, RequestRate, TokenCount, TokenRate,
    WallTime,
};
use std::time::{Duration, Instant};

const WATCHED: Duration = Duration::from_secs(20);
const SETTLE: Duration = Duration::from_secs(8);

fn idle_plan(daemons: usize, engines: usize) -> DeploymentPlan {
    DeploymentPlan {
        daemons,
        engines: vec![EnginePlan::default(); engines],
        services: 1,
        stores: 1,
        ..DeploymentPlan::default()
    }
}

/// Control cost of an idle deployment: a row a size.
///
/// Bytes are counted at the proxies, both ways, without the headers of IP and TCP: between peers,
/// to the log, and to all else (reports, events, list, stores).
pub fn control_row(
    paths: &ProgramPaths,
    daemons: usize,
    engines: usize,
) -> Result<String, AnyError> {
    let deployment = Deployment::start(paths.clone(), idle_plan(daemons, engines))?;
    wait_until("all daemons are on the roster", || {
        deployment.operate_ok(0, &["status"]).is_ok_and(|status| {
            status["daemons"].as_array().is_some_and(|list| list.len() == daemons)
        })
    });
    std::thread::sleep(SETTLE);
    let pids: Vec<u32> =
        deployment.daemons.iter().filter_map(|daemon| deployment.pid(&daemon.name)).collect();
    let bytes = |prefixes: &[&str]| -> u64 {
        let matching = deployment
            .proxies
            .iter()
            .filter(|(name, _)| prefixes.iter().any(|prefix| name.starts_with(prefix)));
        matching.map(|(_, proxy)| proxy.passed_bytes()).sum()
    };
    let count = |prefixes: &[&str]| bytes(prefixes) as f64;
    let outside = ["engine-", "board-", "store-", "list"];
    let before = (count(&["entry-"]), count(&["log"]), count(&outside));
    let cpu = |pids: &[u32]| -> Result<f64, AnyError> {
        pids.iter().map(|pid| Ok(process_cost(*pid)?.cpu_ms)).sum()
    };
    let cpu_before = cpu(&pids)?;
    let log_before: LogStats = ask(deployment.servers["log"], "/stats")?;
    let started = Instant::now();
    std::thread::sleep(WATCHED);
    let seconds = started.elapsed().as_secs_f64();
    let log_after: LogStats = ask(deployment.servers["log"], "/stats")?;
    let each = seconds * daemons as f64;
    let cpu_percent = (cpu(&pids)? - cpu_before) / 10.0 / each;
    let kb = |after: f64, before: f64| (after - before) / 1_000.0 / each;
    let resident = process_cost(pids[0])?.resident_mb;
    Ok(format!(
        "| {daemons} | {engines} | {:.2} | {:.2} | {:.2} | {cpu_percent:.2} | {resident:.0} | {:.2} |",
        kb(count(&["entry-"]), before.0),
        kb(count(&["log"]), before.1),
        kb(count(&outside), before.2),
        (log_after.appends - log_before.appends) as f64 / seconds,
    ))
}

/// Heading of the rows of `control_row`.
pub const CONTROL_HEADING: &str = "| daemons | engines | peers kB/s a daemon | log kB/s a daemon | \
    upstreams and list kB/s a daemon | CPU % of a core a daemon | resident MB | log appends /s in all |\n\
    | --- | --- | --- | --- | --- | --- | --- | --- |";

fn fold(state: &mut FleetState, body: RecordBody) -> Result<usize, AnyError> {
    let record =
        LogRecord { id: RecordId::random(), author: Incarnation(1), wall: WallTime::now(), body };
    let bytes = record.encode()?;
    state.fold(state.next(), &bytes);
    Ok(bytes.len())
}

fn add_customers(state: &mut FleetState, count: usize) -> Result<(), AnyError> {
    for index in 0..count {
        let id = format!("customer-{index}").parse()?;
        let spec = CustomerSpec {
            key_hashes: vec![blake3::hash(&index.to_le_bytes()).to_hex().as_str().into(); 2],
            rate: RequestRate(100),
            concurrency: 64,
        };
        let change = ChangeRequest {
            operator: "ann".into(),
            object: ObjectKey::customer(&id),
            against: Offset(0),
            value: Some(ConfigObject::Customer(spec)),
        };
        fold(state, RecordBody::Change(change))?;
    }
    Ok(())
}

/// Cost of the state by customers and held keys: a row a size.
pub fn state_row(customers: usize, keys: usize) -> Result<String, AnyError> {
    let mut state = FleetState::default();
    add_customers(&mut state, customers)?;
    let started = Instant::now();
    let mut bytes = 0;
    for index in 0..keys {
        let customer = format!("customer-{}", index % customers.max(1));
        let key = format!("{customer}/{}", uuid::Uuid::now_v7()).parse()?;
        let entry = IntentEntry { id: RecordId::random(), key };
        bytes += fold(&mut state, RecordBody::Intents(vec![entry]))?;
    }
    let fold_us = started.elapsed().as_secs_f64() * 1e6 / keys.max(1) as f64;
    let started = Instant::now();
    let snapshot = state_text(&state)?;
    let snapshot_ms = started.elapsed().as_secs_f64() * 1e3;
    Ok(format!(
        "| {customers} | {keys} | {fold_us:.1} | {:.0} | {:.1} | {snapshot_ms:.1} |",
        bytes as f64 / keys.max(1) as f64,
        snapshot.text.len() as f64 / 1_000.0,
    ))
}

/// Heading of the rows of `state_row`.
pub const STATE_HEADING: &str = "| customers | held keys | fold of a one-intent record, µs | bytes \
    of that record | snapshot kB | making it, ms |\n| --- | --- | --- | --- | --- | --- |";

fn resident_mb() -> f64 {
    process_cost(std::process::id()).map_or(0.0, |cost| cost.resident_mb)
}

/// Cost of the index by prompts of 6,000 tokens owned by one daemon: a row a size.
pub fn index_row(prompts: usize) -> Result<String, AnyError> {
    const BLOCKS: u64 = 6_000 / 64;
    let before = resident_mb();
    let mut index = CacheIndex::default();
    let engine = "engine-0".parse()?;
    let now = Moment::now();
    let started = Instant::now();
    for number in 0..prompts as u64 {
        let hash = |block: u64| PrefixHash(u128::from(number << 16 | block).to_be_bytes());
        let hashes: Vec<PrefixHash> = (0..BLOCKS).map(hash).collect();
        index.note("salt", &hashes, &engine, now);
        index.seal(
            &hash(0),
            SealedEntry {
                key: index_key(number),
                store: "store-0".parse()?,
                length: ByteCount(1),
                digest: blake3::hash(&number.to_le_bytes()).to_hex().as_str().into(),
                tokens: TokenCount(BLOCKS * 64),
                last_hash: hash(BLOCKS - 1),
                granted_until: Deadline::default(),
            },
        );
    }
    let enter_us = started.elapsed().as_secs_f64() * 1e6 / prompts as f64;
    let started = Instant::now();
    for number in 0..prompts as u64 {
        let hash = |block: u64| PrefixHash(u128::from(number << 16 | block).to_be_bytes());
        let hashes: Vec<PrefixHash> = (0..BLOCKS).map(hash).collect();
        index.lookup("salt", &hashes, now);
    }
    let find_us = started.elapsed().as_secs_f64() * 1e6 / prompts as f64;
    let grown = resident_mb() - before;
    Ok(format!("| {prompts} | {enter_us:.1} | {find_us:.1} | {grown:.1} |"))
}

fn index_key(number: u64) -> Box<str> {
    format!("{:032x}-{:032x}-{number}", 1, number).into()
}

/// Heading of the rows of `index_row`.
pub const INDEX_HEADING: &str = "| prompts owned | entering one, µs | finding one, µs | memory \
    grown, MB |\n| --- | --- | --- | --- |";

/// Cost of a routing decision by candidates, and of a prompt's chain: a row a size.
pub fn route_row(candidates: usize) -> Result<String, AnyError> {
    const ROUNDS: u32 = 2_000;
    let engines: Vec<RouteCandidate> = (0..candidates)
        .map(|index| {
            Ok(RouteCandidate {
                upstream: format!("engine-{index}").parse()?,
                wait_ms: (index % 7) as f64,
                prefill: TokenRate(20_000),
                over_slots: 0,
                resident: TokenCount(0),
                missing: None,
                slowness: 1.0,
                is_preferred: false,
            })
        })
        .collect::<Result<_, AnyError>>()?;
    let input = RouteInput {
        prompt: TokenCount(6_000),
        candidates: &engines,
        import: None,
        profile: WeightProfile::default(),
        near_best_fraction: NEAR_BEST_FRACTION,
        draw: 1,
    };
    let started = Instant::now();
    for _ in 0..ROUNDS {
        std::hint::black_box(decide_route(&input));
    }
    let route_us = started.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS);
    let prompt = "abcd".repeat(6_000);
    let (customer, model, version) = ("acme".parse()?, "hints".parse()?, "v1".parse()?);
    let started = Instant::now();
    for _ in 0..ROUNDS {
        std::hint::black_box(prefix_chain(&customer, &model, &version, &prompt));
    }
    let chain_us = started.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS);
    Ok(format!("| {candidates} | {route_us:.1} | {chain_us:.1} |"))
}

/// Heading of the rows of `route_row`.
pub const ROUTE_HEADING: &str = "| candidates | a decision, µs | chain of a prompt of 6,000 \
    tokens, µs |\n| --- | --- | --- |";
