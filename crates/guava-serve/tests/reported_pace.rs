//! Placement of prompts by the pace that engines state, played with the engines of a large service.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod support;

use guava_policy::{PacePercent, ReportTable, ReportedLoad};
use guava_serve::{
    EngineInput, EngineSpeeds, ExpectedLoad, PartIndex, PromptShape, RepeatRule, StoreLinks,
    UpstreamTable, VersionLimits, VersionTargets, WorkTable, WorkTicket, choose_engine,
};
use guava_types::{Moment, TokenCount, TokenRate, UpstreamId};
use std::collections::BTreeMap;
use support::{engine, engine_traits, id, model, request, route};

const ENGINES: usize = 57;
const PREFILL: TokenRate = TokenRate(61_200);
const FIXED_MS: f64 = 25.0;
/// Tokens that are read of a long prompt, and of a short one.
const LONG: u64 = 17_000;
const SHORT: u64 = 380;

/// One prompt until its first token: arrival, ticket of its work, engine, time to read it as usual.
struct Pending {
    arrived: u64,
    work: WorkTicket,
    engine: usize,
    usual_ms: f64,
}

/// Times to the first token of long prompts, sorted, at 0.7 of what the engines read. One engine at a
/// time, another one every 0.6 s, takes `slow_factor` of the time.
fn play(slow_factor: f64) -> Vec<u64> {
    let mut upstreams = UpstreamTable::default();
    let ids: Vec<UpstreamId> = (0..ENGINES).map(|number| id(&format!("e{number}"))).collect();
    for number in 0..ENGINES {
        upstreams.note_entry(engine(&format!("e{number}"), 1));
    }
    let (mut work, mut reports) = (WorkTable::default(), ReportTable::default());
    let mut free_at = vec![0.0_f64; ENGINES];
    let mut pending: BTreeMap<(u64, u64), Pending> = BTreeMap::new();
    let mut first_ms = Vec::new();
    let pace = |number: usize, at: u64| {
        if (at / 600) as usize * 7 % ENGINES == number { slow_factor } else { 1.0 }
    };
    let read_ms = |tokens: u64| tokens as f64 * 1_000.0 / PREFILL.0 as f64;
    // Ten short prompts come with each long one.
    let interval_ms = read_ms(LONG + 10 * SHORT) / (0.7 * ENGINES as f64) / 11.0;
    for number in 0..9_000_u64 {
        let at = 10_000 + (number as f64 * interval_ms) as u64;
        while let Some(entry) = pending.first_entry().filter(|entry| entry.key().0 <= at) {
            let ((first_at, _), Pending { arrived, work: ticket, engine, usual_ms }) =
                entry.remove_entry();
            let now = Moment(first_at);
            work.started(&ticket, now);
            work.note_finished(&ticket, now);
            let stated = PacePercent((pace(engine, first_at) * 100.0) as u32);
            let load = ReportedLoad { running: 1, waiting: 0, slots: 16, pace: Some(stated) };
            reports.note(&ids[engine], load, now);
            reports.note_read(&ids[engine], first_at - arrived, usual_ms, now);
            if usual_ms > read_ms(SHORT) {
                first_ms.push(first_at - arrived);
            }
        }
        let tokens = if number % 11 == 0 { LONG } else { SHORT };
        let draw = number.wrapping_mul(0x9E37_79B9_7F4A_7C15).rotate_left(17);
        let (chosen, expected_ms) = choose(&upstreams, &work, &reports, tokens, at, draw);
        let engine = ids.iter().position(|id| *id == chosen).unwrap();
        let expected = ExpectedLoad {
            prompt: TokenCount(tokens),
            memory: TokenCount(tokens),
            answer_ms: expected_ms,
            service_ms: read_ms(tokens),
            priority: 1,
        };
        let ticket = work.begin(&chosen, &expected, Moment(at));
        let begin = free_at[engine].max(at as f64);
        free_at[engine] = begin + read_ms(tokens) * pace(engine, begin as u64);
        let first_at = (free_at[engine] + FIXED_MS) as u64;
        let waiting = Pending { arrived: at, work: ticket, engine, usual_ms: read_ms(tokens) };
        pending.insert((first_at, number), waiting);
    }
    first_ms.sort_unstable();
    first_ms
}

fn choose(
    upstreams: &UpstreamTable,
    work: &WorkTable,
    reports: &ReportTable,
    tokens: u64,
    at: u64,
    draw: u64,
) -> (UpstreamId, f64) {
    let input = TokenCount(tokens);
    let prompt = PromptShape { model: model(), parts: Vec::new(), input, output: TokenCount(13) };
    let mut request = request(route("/llm/", "llm", RepeatRule::Stream));
    request.prompt = Some(prompt.clone());
    let choice = choose_engine(&EngineInput {
        request: &request,
        prompt: &prompt,
        service: &"llm".parse().unwrap(),
        traits: &engine_traits(),
        stores: &[],
        upstreams,
        work,
        parts: &PartIndex::default(),
        links: &StoreLinks::default(),
        targets: &VersionTargets::default(),
        version_limits: VersionLimits { stretch_ms: 10_000, total_ms: 14_000 },
        prefill: PREFILL,
        speeds: &EngineSpeeds::default(),
        reports,
        fixed_ms: FIXED_MS,
        memory_fraction: 0.95,
        local_daemon: &"d1".parse().unwrap(),
        peers: &[],
        data_centre: &"east".parse().unwrap(),
        software: None,
        tried: &[],
        is_closed: &|_| false,
        now: Moment(at),
        draw,
    });
    let choice = choice.unwrap();
    (choice.upstream, choice.expected_ms)
}

fn p99(sorted: &[u64]) -> u64 {
    sorted[(sorted.len() - 1) * 99 / 100]
}

#[test]
fn engines_that_turn_slow_by_turns_delay_long_prompts_by_half_at_most() {
    let usual = p99(&play(1.0));

    let slow = p99(&play(2.5));

    assert!(slow * 2 <= usual * 3, "{slow} ms instead of {usual}");
}
