//! Which engine gets a prompt, on the loads that decide it.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod support;

use guava_serve::{
    AcceptedRequest, EngineChoice, EngineInput, EngineSpeed, EngineSpeeds, EngineTraits,
    ExpectedLoad, HeldPart, PartEvent, PartIndex, PromptPart, PromptShape, RepeatRule, StoreLinks,
    StoreTraits, StoreTransfer, UpstreamEntry, UpstreamTable, VersionLimits, VersionTargets,
    WeightVersion, WorkTable, choose_engine,
};
use guava_types::{FastMap, MemberName, Moment, TokenCount, TokenRate, UpstreamId};
use std::rc::Rc;
use support::{
    address, engine, engine_traits, id, leaving, model, part, prompt, request, route, store,
};
use yare::parameterized;

const NOW: Moment = Moment(100_000);
const PREFILL: TokenRate = TokenRate(48_000);

struct Scene {
    upstreams: UpstreamTable,
    work: WorkTable,
    parts: PartIndex,
    speeds: EngineSpeeds,
    links: StoreLinks,
    traits: EngineTraits,
    peers: Vec<MemberName>,
    targets: VersionTargets,
    stores: Vec<Rc<StoreTraits>>,
    prompt: PromptShape,
    request: AcceptedRequest,
}

fn scene(engines: &[(&str, u64)]) -> Scene {
    let mut upstreams = UpstreamTable::default();
    for (name, version) in engines {
        upstreams.note_entry(engine(name, *version));
    }
    let mut request = request(route("/llm/", "llm", RepeatRule::Stream));
    let prompt = prompt("packet", 12_800, 4_200);
    request.prompt = Some(prompt.clone());
    Scene {
        upstreams,
        work: WorkTable::default(),
        parts: PartIndex::default(),
        speeds: EngineSpeeds::default(),
        links: StoreLinks::default(),
        traits: engine_traits(),
        peers: Vec::new(),
        targets: VersionTargets::default(),
        stores: vec![store("s1", 1)],
        prompt,
        request,
    }
}

/// What a prompt costs an engine, at the rank of the scene's request.
fn load(prompt: TokenCount, memory: TokenCount, answer_ms: f64) -> ExpectedLoad {
    let service_ms = prompt.0 as f64 * 1_000.0 / PREFILL.0 as f64;
    let priority = request(route("/llm/", "llm", RepeatRule::Stream)).priority();
    ExpectedLoad { prompt, memory, answer_ms, service_ms, priority }
}

fn choose(scene: &Scene, tried: &[UpstreamId]) -> Option<EngineChoice> {
    choose_drawn(scene, tried, 7)
}

/// The choice with a number that decides between equals.
fn choose_drawn(scene: &Scene, tried: &[UpstreamId], draw: u64) -> Option<EngineChoice> {
    choose_engine(&EngineInput {
        request: &scene.request,
        prompt: &scene.prompt,
        service: &"llm".parse().unwrap(),
        traits: &scene.traits,
        stores: &scene.stores,
        upstreams: &scene.upstreams,
        work: &scene.work,
        parts: &scene.parts,
        links: &scene.links,
        targets: &scene.targets,
        version_limits: VersionLimits { stretch_ms: 10_000, total_ms: 14_000 },
        prefill: PREFILL,
        speeds: &scene.speeds,
        fixed_ms: 25.0,
        memory_fraction: 0.95,
        local_daemon: &"d1".parse().unwrap(),
        peers: &scene.peers,
        data_centre: &"east".parse().unwrap(),
        tried,
        closed: &[],
        now: NOW,
        draw,
    })
}

fn hold_packet(scene: &mut Scene, salt: &str) {
    let held = HeldPart { salt: salt.into(), id: "packet".into(), tokens: TokenCount(12_800) };
    let store = scene.stores[0].address;
    scene.parts.note_events(store, 1, vec![PartEvent::Stored(held)], NOW);
}

#[test]
fn prompt_goes_to_the_engine_with_the_least_work() {
    let mut scene = scene(&[("a", 1), ("b", 1)]);
    scene.work.begin(&id("a"), &load(TokenCount(17_000), TokenCount(17_000), 300.0), NOW);

    let choice = choose(&scene, &[]).unwrap();

    assert_eq!(choice.upstream, id("b"));
    assert_eq!(&*choice.salt, "m0/1");
}

#[test]
fn work_of_peers_counts_as_own() {
    let mut scene = scene(&[("a", 1), ("b", 1)]);
    let share = guava_serve::WorkShare {
        waiting: TokenCount(30_000),
        memory: TokenCount(30_000),
        running: 2,
    };
    let shares = FastMap::from_iter([(id("a"), share)]);
    scene.work.note_peer(&"d2".parse().unwrap(), shares, NOW.into(), NOW);

    let choice = choose(&scene, &[]).unwrap();

    assert_eq!(choice.upstream, id("b"));
}

#[test]
fn full_memory_is_avoided_though_nothing_waits() {
    // Symptom: streams stand still for a second in the middle.
    // Sequence: an engine whose memory is full of running prompts gets one more.
    // Cause: only prefill and places were counted; the engine preempts a run to make room.
    let mut scene = scene(&[("a", 1), ("b", 1)]);
    let ticket = scene.work.begin(&id("a"), &load(TokenCount(0), TokenCount(50_000), 10.0), NOW);
    scene.work.started(&ticket, NOW);

    let chosen: Vec<UpstreamId> =
        (0..4).map(|draw| choose_drawn(&scene, &[], draw).unwrap().upstream).collect();

    assert_eq!(chosen, [id("b"), id("b"), id("b"), id("b")]);
}

#[test]
fn tried_and_leaving_engines_are_passed_over() {
    let mut scene = scene(&[("a", 1), ("b", 1)]);
    scene.upstreams.note_entry(leaving(engine("b", 1)));

    assert_eq!(choose(&scene, &[]).unwrap().upstream, id("a"));
    assert_eq!(choose(&scene, &[id("a")]), None);
}

#[test]
fn shared_part_is_fetched_from_the_store_that_holds_it() {
    let mut scene = scene(&[("a", 1)]);
    hold_packet(&mut scene, "m0/1");

    let choice = choose(&scene, &[]).unwrap();

    let fetch = choice.fetch.unwrap();
    assert_eq!(fetch.sources, [Some(scene.stores[0].address), None]);
    assert_eq!(fetch.tokens, TokenCount(12_800));
    assert_eq!(choice.recompute, TokenCount(4_200));
    assert_eq!(choice.save, [None, None]);
}

#[test]
fn shared_part_that_no_store_holds_is_saved() {
    let mut scene = scene(&[("a", 1)]);
    let store = scene.stores[0].address;
    scene.parts.note_events(store, 1, Vec::new(), Moment(NOW.0 - 10_000));
    scene.parts.note_events(store, 1, Vec::new(), NOW);

    let choice = choose(&scene, &[]).unwrap();

    assert_eq!(choice.fetch, None);
    assert_eq!(choice.save, [Some(store), None]);
}

#[test]
fn parts_of_other_weights_are_not_fetched() {
    // Symptom: an answer is computed on cache of other weights.
    // Sequence: a store holds the part of weights 1; the engine has weights 2.
    // Cause: neither engine nor store compares versions.
    let mut scene = scene(&[("a", 2)]);
    hold_packet(&mut scene, "m0/1");

    let choice = choose(&scene, &[]).unwrap();

    assert_eq!(&*choice.salt, "m0/2");
    assert_eq!(choice.fetch, None);
}

#[test]
fn old_weights_are_left_when_their_time_is_over() {
    let mut scene = scene(&[("old", 1), ("new", 2)]);
    scene.work.begin(&id("new"), &load(TokenCount(90_000), TokenCount(60_000), 2_000.0), NOW);
    scene.targets.offer(&model(), WeightVersion(2), Moment(NOW.0 - 1_000));
    let early = choose(&scene, &[]).unwrap();

    scene.targets.offer(&model(), WeightVersion(2), Moment(NOW.0 - 8_600));
    let late = choose(&scene, &[]).unwrap();

    assert_eq!(early.upstream, id("old"));
    assert_eq!(late.upstream, id("new"));
}

#[test]
fn request_that_would_start_too_late_is_not_sent_to_old_weights() {
    // Symptom: a request starts on old weights past the time limit though it was sent before.
    // Sequence: it is sent two seconds before, and waits in the engine's queue.
    // Cause: the time of sending was compared, not that of the start.
    let mut scene = scene(&[("old", 1)]);
    scene.targets.offer(&model(), WeightVersion(2), Moment(NOW.0 - 5_500));
    assert!(choose(&scene, &[]).is_some());

    scene.work.begin(&id("old"), &load(TokenCount(96_000), TokenCount(60_000), 2_000.0), NOW);

    assert_eq!(choose(&scene, &[]), None);
}

#[test]
fn engine_with_other_work_is_left_earlier_than_an_idle_one() {
    // Symptom: a request starts on old weights past the time limit, two seconds after it was sent.
    // Sequence: a third of the engines is lost; the rest is short of memory; the request waits for
    // memory behind others that are more urgent, though nothing waits to be read.
    // Cause: only prompts to be read were counted as a reason to wait.
    let mut scene = scene(&[("old", 1)]);
    scene.targets.offer(&model(), WeightVersion(2), Moment(NOW.0 - 7_000));
    assert!(choose(&scene, &[]).is_some());

    let ticket = scene.work.begin(&id("old"), &load(TokenCount(0), TokenCount(20_000), 10.0), NOW);
    scene.work.started(&ticket, NOW);

    assert_eq!(choose(&scene, &[]), None);
}

#[test]
fn heavy_prompts_spread_over_all_engines() {
    // The load: 24 prompts of 17,000 tokens in one second on 18 engines. Each engine reads 48,000
    // tokens a second, so nobody needs to wait for another; drawing engines at random would leave
    // a quarter of them without work and put three or more prompts on some.
    let names: Vec<String> = (0..18).map(|index| format!("e{index}")).collect();
    let engines: Vec<(&str, u64)> = names.iter().map(|name| (name.as_str(), 1)).collect();
    let mut scene = scene(&engines);

    for _ in 0..24 {
        let choice = choose(&scene, &[]).unwrap();
        let load = load(choice.recompute, scene.prompt.memory(), choice.expected_ms);
        scene.work.begin(&choice.upstream, &load, NOW);
    }

    let most = names.iter().map(|name| scene.work.total(&id(name)).running).max().unwrap();
    let idle = names.iter().filter(|name| scene.work.total(&id(name)).running == 0).count();
    assert_eq!(most, 2);
    assert_eq!(idle, 0);
}

#[test]
fn long_prompts_stay_in_their_data_centre_while_engines_there_are_idle() {
    // Symptom: long prompts wait for each other for a second while every other engine is idle.
    // Sequence: four in five go to another data centre; daemons there are not told, and send theirs
    // to the same engines.
    // Cause: what another data centre costs was less than what counted as no difference, a tenth of
    // the time to read the prompt.
    let mut scene = scene(&[("here", 1)]);
    for name in ["far-1", "far-2", "far-3", "far-4"] {
        let far = UpstreamEntry { data_centre: "west".parse().unwrap(), ..engine(name, 1) };
        scene.upstreams.note_entry(far);
    }
    // Enough that the engine here is another daemon's to take first.
    scene.peers = (2..40).map(|number| format!("d{number}").parse().unwrap()).collect();

    let chosen: Vec<UpstreamId> =
        (0..10).map(|draw| choose_drawn(&scene, &[], draw).unwrap().upstream).collect();

    assert!(chosen.iter().all(|chosen| *chosen == id("here")), "{chosen:?}");
}

#[test]
fn fetch_waits_behind_those_that_are_under_way() {
    // Symptom: first tokens of fetched prompts come up to 1.3 s later than expected.
    // Sequence: several daemons have parts fetched from one store within a second.
    // Cause: each took the link for idle.
    let mut scene = scene(&[("a", 1)]);
    hold_packet(&mut scene, "m0/1");
    let idle = choose(&scene, &[]).unwrap();
    let other = StoreTransfer { store: scene.stores[0].address, transfer_ms: 200 };
    scene.links.note(other, 1.0, NOW);

    let busy = choose(&scene, &[]).unwrap();

    assert!(
        busy.expected_ms >= idle.expected_ms + 150.0,
        "{} {}",
        idle.expected_ms,
        busy.expected_ms
    );
    assert!(busy.fetch.unwrap().budget_ms >= idle.fetch.unwrap().budget_ms);
    assert_eq!(busy.transfers.len(), 1);
}

#[test]
fn each_transfer_heard_of_stands_for_those_of_daemons_that_are_not() {
    let mut links = StoreLinks::default();
    let transfer = StoreTransfer { store: address(5), transfer_ms: 100 };

    links.note(transfer, 5.0, NOW);

    assert_eq!(links.wait_ms(address(5), NOW), 500.0);
    assert_eq!(links.wait_ms(address(5), Moment(NOW.0 + 450)), 50.0);
    assert_eq!(links.wait_ms(address(6), NOW), 0.0);
}

#[test]
fn engines_whose_memory_is_not_told_are_never_taken_for_full() {
    // Symptom: every long prompt waits in line and is refused.
    // Sequence: the configuration leaves the engines' memory out; an engine runs something.
    // Cause: no memory was taken for a memory of nothing.
    let mut scene = scene(&[("a", 1)]);
    let running = load(TokenCount(0), TokenCount(20_000), 10.0);
    scene.work.begin(&id("a"), &running, NOW);
    scene.traits.memory = TokenCount(0);

    let choice = choose(&scene, &[]).unwrap();

    assert!(!choice.is_crowded);
}

/// A prompt of shared parts with these lengths, and one of its own.
fn chain(lengths: &[u64]) -> PromptShape {
    let shared = lengths.iter().enumerate();
    let mut parts: Vec<PromptPart> =
        shared.map(|(index, tokens)| part(&format!("p{index}"), *tokens)).collect();
    parts.push(part("own", 500));
    let input = TokenCount(parts.iter().map(|part| part.tokens.0).sum());
    PromptShape { model: model(), parts, input, output: TokenCount(20) }
}

/// Puts the shared parts of the scene's prompt into its store.
fn hold_shared(scene: &mut Scene) {
    let shared = &scene.prompt.parts[..scene.prompt.parts.len() - 1];
    let held = |part: &PromptPart| {
        PartEvent::Stored(HeldPart {
            salt: "m0/1".into(),
            id: part.id.clone(),
            tokens: part.tokens,
        })
    };
    let events = shared.iter().map(held).collect();
    scene.parts.note_events(scene.stores[0].address, 1, events, NOW);
}

#[parameterized(
    short_before_long = { &[340, 8_600], 8_940 },
    long_alone = { &[8_600], 8_600 },
    short_after_long = { &[8_600, 60], 8_600 },
    short_alone = { &[100], 0 },
    short_ones_alone = { &[100, 100], 0 },
    session_after_short = { &[55, 246], 301 },
    short_between_long_ones = { &[600, 100, 600], 1_300 },
)]
fn short_part_is_fetched_where_a_long_one_depends_on_it(lengths: &[u64], fetched: u64) {
    // Symptom: long parts that lie in stores are read again by every engine.
    // Sequence: prompts begin with a short part that many share, and go on with a long one.
    // Cause: short parts were not fetched, and an engine uses a part only if all before it are there.
    let mut scene = scene(&[("a", 1)]);
    scene.prompt = chain(lengths);
    hold_shared(&mut scene);

    let choice = choose(&scene, &[]).unwrap();

    assert_eq!(choice.fetch.map_or(0, |fetch| fetch.tokens.0), fetched);
}

#[test]
fn short_part_is_saved_with_the_long_one_that_depends_on_it() {
    let mut scene = scene(&[("a", 1)]);
    scene.prompt = chain(&[340, 8_600]);
    let store = scene.stores[0].address;
    scene.parts.note_list(store, 1, Vec::new(), Moment(NOW.0 - 10_000));
    scene.parts.note_events(store, 1, Vec::new(), NOW);

    let choice = choose(&scene, &[]).unwrap();

    assert_eq!(choice.save, [Some(store), Some(store), None]);
}

#[test]
fn prompt_that_fetches_much_goes_to_an_engine_beside_the_store() {
    // Symptom: a store's link is busy for twice as long as need be, and prompts wait for it.
    // Sequence: a prompt arrives at a daemon in another data centre than the store's; engines there
    // and beside the store are idle.
    // Cause: a transfer's time was reckoned for the daemon's data centre, whichever engine it went to.
    let mut scene = scene(&[("near-me", 1)]);
    let beside = UpstreamEntry { data_centre: "west".parse().unwrap(), ..engine("beside", 1) };
    scene.upstreams.note_entry(beside);
    let slow = StoreTraits {
        data_centre: "west".parse().unwrap(),
        bytes_per_s: 2_000_000_000,
        ..(*scene.stores[0]).clone()
    };
    scene.stores = vec![Rc::new(slow)];
    hold_packet(&mut scene, "m0/1");

    let choice = choose(&scene, &[]).unwrap();

    assert_eq!(choice.upstream, id("beside"));
    let transfer = choice.transfers[0].transfer_ms;
    assert!((118..=120).contains(&transfer), "{transfer}");
}

#[parameterized(
    session = { &[55, 246], 50, 150 },
    long = { &[12_800], 1_000, 2_500 },
)]
fn fetch_is_given_up_when_reading_would_long_be_over(lengths: &[u64], least: u64, most: u64) {
    // Symptom: short prompts come late while a store's link is busy.
    // Sequence: a part of some hundred tokens is fetched behind long ones; its prompt waits a second
    // for what its engine reads in eight milliseconds.
    // Cause: every fetch had the time that a long one needs.
    let mut scene = scene(&[("a", 1)]);
    scene.prompt = chain(lengths);
    hold_shared(&mut scene);

    let fetch = choose(&scene, &[]).unwrap().fetch.unwrap();

    assert!((least..=most).contains(&fetch.budget_ms), "{} ms", fetch.budget_ms);
}

#[test]
fn long_prompt_goes_to_an_engine_that_reads_it_in_time() {
    // Symptom: long prompts that are read for the first time come late, though most engines are idle.
    // Sequence: every third engine is slower by a third; a prompt that a fast one reads just in time
    // goes to a slow one as often as there are slow ones.
    // Cause: one throughput stood for all engines.
    let mut scene = scene(&[("slow", 1), ("fast", 1)]);
    let measured = [("slow", 27_000), ("fast", 35_000)];
    for (engine, rate) in measured {
        let speed = EngineSpeed { engine: id(engine), rate: TokenRate(rate) };
        scene.speeds.note(&speed);
    }

    let chosen: Vec<UpstreamId> =
        (0..20).map(|draw| choose_drawn(&scene, &[], draw).unwrap().upstream).collect();

    assert!(chosen.iter().all(|engine| *engine == id("fast")), "{chosen:?}");
}

#[test]
fn wait_behind_others_does_not_make_an_engine_slow() {
    let mut speeds = EngineSpeeds::default();
    let speed = |rate| EngineSpeed { engine: id("e"), rate: TokenRate(rate) };
    (0..10).for_each(|_| speeds.note(&speed(35_000)));

    speeds.note(&speed(5_000));

    assert!(speeds.rate(&id("e")).unwrap().0 > 31_000);
    assert_eq!(speeds.rate(&id("other")), None);
}
