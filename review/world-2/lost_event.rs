//! A full store frees a part on order, and the event that tells so never arrives. Then one daemon gets
//! SIGTERM and is started again, so that it lists the store anew and has the part saved again. The other
//! daemons still take the part for whole, and have it fetched while it is being written.

use crate::Outcome;
use crate::config::{KEY, config, engine_service, stream_route};
use crate::world::{CacheStore, Deployment, Engine, LogStore, Record, ms, prompt, send};
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Length of a part; the store has room for eight, and none to spare.
const PART_TOKENS: u64 = 12_800;
const CAPACITY: u64 = 9 * PART_TOKENS - 100;
/// Documents that are asked for once, before the one that is asked for again and again.
const RARE_DOCUMENTS: usize = 7;
/// Changes that the store has seen before; it keeps the newest 3,000 events.
const HISTORY: u64 = 5_000;
/// How long to wait for the daemons to free a part.
const LONGEST_WAIT: Duration = Duration::from_secs(75);

pub fn play(record: &Record, has_trouble: bool) -> Outcome {
    let log = LogStore::start();
    let cache = CacheStore::start("cache-a", "north", (CAPACITY, HISTORY), 27_000.0, record);
    let stores = Arc::new(vec![cache.clone()]);
    let first = Engine::start("i-aaaa0001", "lm-a", "north", 8, 71_982, &stores, record);
    let second = Engine::start("i-bbbb0001", "lm-b", "south", 8, 71_982, &stores, record);
    let routes = [stream_route("/long/", "lm-a", 1), stream_route("/short/", "lm-b", 0)].join(",");
    let services =
        [engine_service("lm-a", 8, 71_982), engine_service("lm-b", 8, 71_982), cache.service()];
    log.put("keyed.op", "config", &config(1, &routes, &services));
    log.put("keyed.op", "version/m0", "{\"model\":\"m0\",\"version\":1}");
    for engine in [&first, &second] {
        log.put("keyed.servers", &engine.id, &engine.entry("ready"));
    }
    let deployment = Deployment::new(&log, &["north", "south", "east"]);
    let mut daemons: Vec<_> = (1..=3).map(|number| deployment.daemon(number)).collect();
    if !deployment.await_ready(&daemons) {
        return Outcome::NotRun("the daemons are not ready".to_owned());
    }
    sleep(ms(7_000));
    cache.lose_next_removal();
    let addresses: Vec<_> = daemons.iter().map(|daemon| daemon.callers).collect();
    let ask = |daemon: usize, path: &str, id: &str, prefix: &str| {
        send(record, addresses[daemon], id, prompt(path, id, prefix, 3, KEY))
    };
    // Callers ask with several documents once and with one often, until the daemons free one for want of
    // room.
    let started = Instant::now();
    let mut number = 0;
    while cache.untold().is_none() && started.elapsed() < LONGEST_WAIT {
        number += 1;
        let document = number.min(RARE_DOCUMENTS + 1);
        let prefix = format!("a{document:07x}:{PART_TOKENS},f{number:07x}:100");
        drop(ask(number % 3, "/short/", &format!("document-{number}"), &prefix).join());
        sleep(ms(1_500));
    }
    let Some(part) = cache.untold() else { return Outcome::NotRun("no part was freed".to_owned()) };
    // Until the part may be saved again.
    sleep(ms(12_000));
    if has_trouble {
        record.note("edge-north-1 gets SIGTERM");
        daemons[0].terminate();
        record.note("edge-north-1 has ended, and is started again");
        daemons[0].restart();
    }
    if !deployment.await_ready(&daemons) {
        return Outcome::NotRun("the daemons are not ready again".to_owned());
    }
    sleep(ms(4_000));
    for round in 1..=3 {
        let prefix = |own: u32| format!("{part}:{PART_TOKENS},e{round}{own:06x}:100");
        let saving = ask(0, "/short/", &format!("saving-{round}"), &prefix(1));
        sleep(ms(350));
        let fetching = ask(1, "/long/", &format!("fetching-{round}"), &prefix(2));
        drop(saving.join());
        drop(fetching.join());
        sleep(ms(1_500));
    }
    let runs = [&first, &second]
        .iter()
        .flat_map(|engine| engine.runs.lock().map(|runs| runs.clone()).unwrap_or_default())
        .collect::<Vec<_>>();
    match runs.iter().flat_map(|run| run.faults.iter()).next() {
        Some(fault) => Outcome::Broken(format!("MIXED: {fault}")),
        None => Outcome::Held,
    }
}
