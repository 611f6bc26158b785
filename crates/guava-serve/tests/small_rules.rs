//! Events cut whole, budgets shared, patience, members, messages.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod support;

use guava_policy::{ClearNotice, LimitNotice, QuarantineNotice};
use guava_serve::{
    CallerIdentity, CrashNotice, DrainNotice, EngineSpeed, EventFramer, ExpectedLoad, ListChange,
    ListRevision, LoadedVersion, MemberDescriptor, MemberTable, PartChange, PartKey, PartSave,
    PeerMessage, PrefillRate, PublishedVersion, ReadMark, RefusalReason, RepeatRule, RetryLimit,
    RetryShares, STANDBYS, SendRecord, SentPrompt, ServiceInput, SlowLink, StoreTransfer,
    StoreUpdate, UpstreamTable, WeightVersion, WorkShare, WorkTable, choose_instance, draw_service,
    first_answer_timeout_ms, return_after_ms,
};
use guava_types::{
    Deadline, FastMap, LimitRate, MemberName, Moment, RequestDigest, TokenCount, TokenRate,
};
use std::rc::Rc;
use support::{address, customer, engine, id, model, request, route, upstream};
use yare::parameterized;

fn framed(pieces: &[&str]) -> (String, Option<String>, bool) {
    let mut framer = EventFramer::default();
    let mut passed = String::new();
    let mut last = None;
    for piece in pieces {
        assert!(framer.push(piece.as_bytes()));
        while let Some(batch) = framer.take_complete() {
            passed.push_str(std::str::from_utf8(&batch.bytes).unwrap());
            last = batch.last_id.map(String::from).or(last);
        }
    }
    (passed, last, framer.is_at_boundary())
}

#[parameterized(
    whole = { &["id: 1\ndata: a\n\n"], "id: 1\ndata: a\n\n", Some("1"), true },
    half_is_held_back = { &["id: 1\ndata: a\n\nid: 2\nda"], "id: 1\ndata: a\n\n", Some("1"), false },
    blank_line_in_two_reads = { &["id:7\ndata: a\n", "\n"], "id:7\ndata: a\n\n", Some("7"), true },
    carriage_returns = { &["id: 3\r\ndata: a\r\n", "\r\n"], "id: 3\r\ndata: a\r\n\r\n", Some("3"), true },
    two_at_once = { &["id: 1\n\nid: 2\n\n"], "id: 1\n\nid: 2\n\n", Some("2"), true },
    without_id = { &["data: a\n\n"], "data: a\n\n", None, true },
)]
fn only_whole_events_are_passed_on(
    pieces: &[&str],
    passed: &str,
    last: Option<&str>,
    is_at_boundary: bool,
) {
    let found = framed(pieces);

    assert_eq!(found, (passed.to_owned(), last.map(str::to_owned), is_at_boundary));
}

#[test]
fn all_daemons_together_keep_the_retry_limit() {
    // Symptom: a failing service gets eight times the retries that it is allowed.
    // Sequence: eight daemons see it fail at the same time, and each spends the whole budget.
    // Cause: the limit holds for all daemons together.
    let limit = RetryLimit { ratio: 0.2, slack: 56.0 };
    let service = "app".parse().unwrap();
    let mut spent = 0;

    for _ in 0..8 {
        let mut shares = RetryShares::new(limit, 8);
        for _ in 0..80 {
            shares.earn(&service);
            while shares.spend(&service) {
                spent += 1;
            }
        }
    }

    assert!(spent > 0);
    assert!(f64::from(spent) <= 0.2 * 640.0 + 56.0, "{spent}");
}

#[test]
fn share_shrinks_when_more_daemons_are_heard() {
    let limit = RetryLimit { ratio: 0.0, slack: 56.0 };
    let service = "app".parse().unwrap();
    let mut shares = RetryShares::new(limit, 1);
    shares.note_daemons(8);

    let spent = (0..100).filter(|_| shares.spend(&service)).count();

    assert_eq!(spent, 3);
}

#[parameterized(
    non_idempotent = { RepeatRule::NonIdempotent, 0, None },
    stream_that_runs_once = { RepeatRule::Stream, 0, None },
    idempotent = { RepeatRule::Idempotent, 0, Some(240) },
    idempotent_last_attempt = { RepeatRule::Idempotent, 1, None },
    resumable = { RepeatRule::ResumableStream, 0, Some(200) },
)]
fn only_what_may_be_repeated_is_given_up_for_another(
    repeat: RepeatRule,
    runs: u32,
    expected: Option<u64>,
) {
    assert_eq!(first_answer_timeout_ms(&route("/x/", "app", repeat), runs, 30.0), expected);
}

#[test]
fn slow_start_that_was_expected_is_no_reason_to_go_elsewhere() {
    let route = route("/x/", "llm", RepeatRule::ResumableStream);

    assert_eq!(first_answer_timeout_ms(&route, 0, 400.0), Some(1_000));
}

#[test]
fn callers_refused_together_return_apart() {
    let times: Vec<u64> =
        (0..1_000).map(|draw| return_after_ms(RefusalReason::UpstreamsFull, draw)).collect();

    let least = times.iter().min().unwrap();
    let most = times.iter().max().unwrap();
    assert!(*least >= 100 && *most >= least + 100 && *most <= 400, "{least} to {most}");
}

#[test]
fn not_run_is_said_only_if_no_send_ended_in_silence() {
    let refused = SendRecord { refusals: 1, ..SendRecord::default() };
    let silent = SendRecord { refusals: 1, runs: 1, ..SendRecord::default() };

    assert_eq!(refused.refusal(), Some(RefusalReason::UpstreamsFull));
    assert_eq!(silent.refusal(), None);
}

#[test]
fn services_get_requests_by_their_weights() {
    let mut split = route("/x/", "a", RepeatRule::Idempotent);
    split.services = vec![("a".parse().unwrap(), 90), ("b".parse().unwrap(), 10)];

    let to_b = (0..100).filter(|draw| draw_service(&split, *draw).unwrap().as_str() == "b");

    assert_eq!(to_b.count(), 10);
}

#[test]
fn instance_that_stumbles_is_left_and_tried_again() {
    let mut upstreams = UpstreamTable::default();
    upstreams.note_entry(upstream("a", "app"));
    upstreams.note_entry(upstream("b", "app"));
    let mut work = WorkTable::default();
    (0..4).for_each(|_| work.note_failed_answer(&id("a"), Moment(1_000)));
    let chosen_at = |now, work: &WorkTable| {
        let chosen = |draw| {
            choose_instance(&ServiceInput {
                service: &"app".parse().unwrap(),
                upstreams: &upstreams,
                work,
                data_centre: &"east".parse().unwrap(),
                tried: &[],
                closed: &[],
                now,
                draw,
            })
        };
        (0..2).filter_map(chosen).collect::<Vec<_>>()
    };

    assert_eq!(chosen_at(Moment(1_500), &work), [id("b"), id("b")]);
    let load = ExpectedLoad { answer_ms: 20.0, ..ExpectedLoad::default() };
    work.begin(&id("b"), &load, Moment(40_000));
    assert_eq!(chosen_at(Moment(40_000), &work), [id("a"), id("a")]);
}

fn note(name: &str, is_ready: bool) -> MemberDescriptor {
    MemberDescriptor {
        name: name.parse().unwrap(),
        data_centre: "east".parse().unwrap(),
        peer_address: address(1),
        caller_address: address(2),
        is_ready,
    }
}

#[test]
fn only_ready_daemons_heard_lately_are_handed_out() {
    let mut members = MemberTable::new("east".parse().unwrap());
    members.note_from_peer(note("ready", true), Moment(10_000));
    members.note_from_peer(note("leaving", false), Moment(10_000));
    members.note_record(note("recorded", true), Moment(10_000));

    assert_eq!(members.caller_addresses(Moment(10_500)).len(), 1);
    assert_eq!(members.caller_addresses(Moment(12_000)).len(), 0);
}

/// A daemon of another data centre, with a peer port that tells it apart.
fn far_note(name: &str, centre: &str, port: u16) -> MemberDescriptor {
    let data_centre = centre.parse().unwrap();
    MemberDescriptor { data_centre, peer_address: address(port), ..note(name, true) }
}

#[test]
fn one_living_daemon_of_each_other_data_centre_relays_in_turn() {
    // Symptom: messages to daemons of another data centre are lost for as long as one is dead.
    // Sequence: the daemon that passes them on dies, or was never heard.
    // Cause: always the same relay, or one that is only known by its record.
    let mut members = MemberTable::new("east".parse().unwrap());
    let now = Moment(10_000);
    members.note_from_peer(note("near", true), now);
    members.note_from_peer(far_note("w1", "west", 11), now);
    members.note_from_peer(far_note("w2", "west", 12), now);
    members.note_record(far_note("w3", "west", 13), now);
    members.note_record(far_note("s1", "south", 21), now);

    let me = "near".parse().unwrap();
    let mut rounds = [0, 1].map(|number| members.relays(&me, number, now));

    rounds.iter_mut().for_each(|round| round.sort_unstable());
    rounds.sort_unstable();
    let relay = |centre: &str, port| (centre.parse().unwrap(), address(port));
    assert_eq!(rounds[0], [relay("south", 21), relay("west", 11)]);
    assert_eq!(rounds[1], [relay("south", 21), relay("west", 12)]);
}

#[test]
fn daemons_that_count_in_step_take_different_relays() {
    // Symptom: one daemon in a few moves fifteen times as many bytes as the others, and the more
    // daemons there are the more.
    // Sequence: all daemons start together and tell other data centres every fourth time that they
    // tell those near by; all take the relay of that number, at the same moment.
    // Cause: the turn went by the number alone.
    const FAR: usize = 200;
    const RELAYS: usize = 100;
    let mut members = MemberTable::new("east".parse().unwrap());
    let now = Moment(10_000);
    for place in 0..RELAYS {
        let port = u16::try_from(place).unwrap() + 1_000;
        members.note_from_peer(far_note(&format!("w{place}"), "west", port), now);
    }
    let names: Vec<MemberName> = (0..FAR).map(|n| format!("e{n}").parse().unwrap()).collect();

    let mut busiest = 0;
    for number in (0..40).step_by(4) {
        let mut passed: FastMap<_, usize> = FastMap::default();
        for name in &names {
            let relays = members.relays(name, number, now);
            relays.into_iter().for_each(|(_, relay)| *passed.entry(relay).or_default() += 1);
        }
        busiest = busiest.max(passed.values().copied().max().unwrap_or(0));
    }

    assert!(busiest <= 5 * FAR / RELAYS, "{busiest} of {FAR} through one relay");
}

#[test]
fn daemons_with_the_same_view_agree_on_turns() {
    let names = ["d1", "d2", "d3", "d4"];
    let turn = |me: &str| {
        let mut members = MemberTable::new("east".parse().unwrap());
        for other in names.iter().filter(|other| **other != me) {
            members.note_from_peer(note(other, true), Moment(10_000));
        }
        members.rank(&me.parse().unwrap(), "orders", Moment(10_000))
    };

    let mut turns: Vec<usize> = names.iter().map(|name| turn(name)).collect();
    turns.sort_unstable();

    assert_eq!(turns, [0, 1, 2, 3]);
}

#[test]
fn peer_message_survives_its_datagram() {
    let share = WorkShare { waiting: TokenCount(5), memory: TokenCount(6), running: 2 };
    let message = PeerMessage {
        member: note("d1", true),
        shares: FastMap::from_iter([(id("e"), share)]),
        sent: vec![SentPrompt {
            engine: id("e"),
            parts: vec![PartKey(9)],
            tokens: TokenCount(100),
            waiting: TokenCount(60),
            priority: 3,
            saves: vec![PartSave { key: PartKey(9), store: address(5), tokens: TokenCount(70) }],
            is_for_all: true,
            transfers: vec![StoreTransfer { store: address(5), transfer_ms: 90 }],
        }],
        loading: vec![id("f")],
        targets: vec![PublishedVersion {
            model: model(),
            version: WeightVersion(3),
            age_ms: 1_200,
        }],
        stores: vec![StoreUpdate {
            store: address(5),
            epoch: 9,
            as_of: Moment(99_000),
            is_complete: true,
            parts: vec![PartChange { key: PartKey(4), tokens: TokenCount(12_000) }],
        }],
        operator: Some(ReadMark { state: 12, as_of: Moment(99_500) }),
        published_since: Some(11),
        list: Some(ReadMark { state: 13, as_of: Moment(99_600) }),
        loaded: vec![LoadedVersion { engine: id("e"), model: model(), version: WeightVersion(3) }],
        clock_ms: Some(5),
        listed: vec![
            ListChange::Entry(engine("g", 2)),
            ListChange::Removed(id("h"), ListRevision(7)),
        ],
        slow_links: vec![SlowLink { store: address(5), hundredths: 420 }],
        ended: vec![CrashNotice {
            upstream: id("e"),
            at: Moment(99_960),
            requests: vec![RequestDigest(7)],
        }],
        stops: vec![QuarantineNotice { request: RequestDigest(8), left_ms: 9_000, times: 2 }],
        cleared: vec![ClearNotice { request: RequestDigest(9), at: Moment(99_990) }],
        knows_quarantines: true,
        drains: vec![DrainNotice {
            data_centre: "east".parse().unwrap(),
            as_of: 7,
            is_drained: true,
        }],
        speeds: vec![EngineSpeed { engine: id("e"), rate: TokenRate(35_000) }],
        limits: vec![
            LimitNotice {
                upstream: id("e"),
                rate: LimitRate::per_second(2.7),
                as_of: Moment(99_970),
            },
            LimitNotice { upstream: id("f"), rate: None, as_of: Moment(99_980) },
        ],
        leaving: vec![id("g")],
        is_immediate: false,
        is_continued: true,
        is_for_relay: true,
    };

    let bytes = message.encode(Moment(100_000));

    assert_eq!(PeerMessage::decode(&bytes, Moment(100_000)), Some(message));
}

#[parameterized(
    empty = { b"" },
    noise = { b"\xff\xfe\xfd\x00\x01garbage" },
    truncated = { b"\x0a\x02d" },
)]
fn bytes_that_are_no_message_are_passed_over(bytes: &[u8]) {
    assert_eq!(PeerMessage::decode(bytes, Moment(1_000)), None);
}

#[test]
fn work_of_a_silent_peer_is_forgotten() {
    let mut work = WorkTable::default();
    let share = WorkShare { waiting: TokenCount(5), memory: TokenCount(6), running: 2 };
    let shares = FastMap::from_iter([(id("e"), share)]);
    work.note_peer(&"d2".parse().unwrap(), shares.clone(), Moment(2_500).into(), Moment(1_000));
    work.note_peer(&"d2".parse().unwrap(), shares, Moment(2_750).into(), Moment(1_250));
    assert_eq!(work.total(&id("e")).running, 2);

    work.sweep(Moment(3_000), |_| true);

    assert_eq!(work.total(&id("e")), WorkShare::default());
}

#[test]
fn far_peer_that_misses_one_message_still_has_its_work() {
    // Symptom: prompts are sent to engines that daemons of another data centre have just filled.
    // Sequence: those speak once a second; one of their datagrams is lost.
    // Cause: after 1.5 s of silence all their work was taken to be over.
    let mut work = WorkTable::default();
    let members = MemberTable::new("east".parse().unwrap());
    let share = WorkShare { waiting: TokenCount(5), memory: TokenCount(6), running: 2 };
    let shares = FastMap::from_iter([(id("e"), share)]);
    let silent_at = Deadline::after(Moment(0), members.silent_ms(&"west".parse().unwrap()));
    work.note_peer(&"d2".parse().unwrap(), shares, silent_at, Moment(0));

    work.sweep(Moment(2_200), |_| true);
    let missed_one = work.total(&id("e")).running;
    work.sweep(Moment(3_200), |_| true);

    assert_eq!((missed_one, work.total(&id("e")).running), (2, 0));
}

#[test]
fn prefill_rate_rises_fast_and_falls_slowly() {
    let mut rate = PrefillRate::default();
    for _ in 0..10 {
        rate.note(17_000, 225);
    }
    let learnt = rate.rate().0;
    rate.note(17_000, 3_000);

    assert!((75_000..=85_000).contains(&learnt), "{learnt}");
    assert!(rate.rate().0 > learnt * 9 / 10);
}

#[test]
fn fixed_time_to_a_first_token_is_learnt_from_short_prompts() {
    let mut rate = PrefillRate::default();
    for _ in 0..30 {
        rate.note(400, 60);
    }
    let waited = rate.fixed_ms();
    for _ in 0..10 {
        rate.note(400, 45);
    }

    assert!(waited > 35.0, "{waited}");
    assert!((34.0..36.0).contains(&rate.fixed_ms()), "{}", rate.fixed_ms());
}

#[test]
fn engine_that_is_late_behind_others_is_not_taken_for_slow() {
    // Symptom: long prompts go to engines in other data centres though those nearby are idle.
    // Sequence: short prompts, expected in 30 ms, take 150 where a long one is being read.
    // Cause: that made engines nearby look several times too slow, the others like new.
    let mut work = WorkTable::default();
    let short = ExpectedLoad { answer_ms: 30.0, service_ms: 8.0, ..ExpectedLoad::default() };
    let ticket = work.begin(&id("a"), &short, Moment(1_000));
    work.started(&ticket, Moment(1_150));
    let behind_others = work.load(&id("a")).slowness(Moment(1_150));

    let long = ExpectedLoad { answer_ms: 600.0, service_ms: 560.0, ..ExpectedLoad::default() };
    let ticket = work.begin(&id("b"), &long, Moment(1_000));
    work.started(&ticket, Moment(3_400));
    let four_times_slower = work.load(&id("b")).slowness(Moment(3_400));

    assert_eq!(behind_others, 1.0);
    assert!(four_times_slower > 1.4, "{four_times_slower}");
}

#[test]
fn urgent_requests_go_first_among_a_customers_own() {
    let rank = |customer_rank: Option<u8>, route_rank: u8| {
        let mut rule = customer("acme", false);
        rule.priority = customer_rank;
        let mut request = request(route("/x/", "llm", RepeatRule::Stream));
        let mut route = (*request.route).clone();
        route.priority = route_rank;
        request.route = Rc::new(route);
        request.caller = CallerIdentity::Customer(Rc::new(rule));
        request.priority()
    };

    assert!(rank(Some(1), 0) < rank(Some(1), 1));
    assert!(rank(Some(0), 1) < rank(Some(1), 0));
    assert!(rank(None, 0) < rank(None, 1));
    assert!(rank(None, 0) < rank(Some(1), 0));
}

/// A table in a data centre of five that hold so many daemons in all.
fn fleet(daemons: u16) -> MemberTable {
    let centres = ["east", "west", "south", "north", "middle"];
    let mut members = MemberTable::new("east".parse().unwrap());
    for place in 0..daemons {
        let centre = centres[usize::from(place) % centres.len()];
        members
            .note_from_peer(far_note(&format!("d{place}"), centre, 1_000 + place), Moment(10_000));
    }
    members
}

#[parameterized(thirty = { 30 }, hundred = { 100 }, three_hundred = { 300 }, thousand = { 1_000 })]
fn messages_that_a_daemon_gets_are_bounded_whatever_the_fleets_size(daemons: u16) {
    // Symptom: with 300 daemons a VM with 0.12 of a core spends all of it on messages.
    // Sequence: each daemon speaks four times a second to those near it, and once to all others.
    // Cause: the pauses were the same however many speak.
    let members = fleet(daemons);
    let near = f64::from(daemons) / 5.0;
    let far = f64::from(daemons) - near;

    let near_per_s = near * 1_000.0 / members.local_interval_ms() as f64;
    let far_per_s = far * 1_000.0 / members.remote_interval_ms() as f64;

    assert!(near_per_s <= 201.0 && far_per_s <= 201.0, "{near_per_s} and {far_per_s}");
}

#[test]
fn daemons_that_speak_more_rarely_are_not_taken_for_gone() {
    let members = fleet(300);

    // A word on a store of cached parts counts for 1.4 s; it is up to half a second old when it is
    // told, and one lost datagram must not make it expire.
    assert!(500 + 2 * members.local_interval_ms() < 1_400);
    assert!(members.silent_ms(&"east".parse().unwrap()) >= 3 * members.local_interval_ms());
    assert!(members.silent_ms(&"west".parse().unwrap()) >= 2 * members.remote_interval_ms());
    assert_eq!(fleet(80).local_interval_ms(), 250);
    assert_eq!(fleet(80).remote_interval_ms(), 1_000);
}

#[test]
fn daemon_that_starts_in_a_crowd_takes_no_turn_of_others() {
    // Symptom: after 295 daemons started together each read the store for all, and told all others.
    // Sequence: a daemon reads the others' records, and has not heard any of them yet.
    // Cause: only those that were heard came before it in turn.
    let me = "d0".parse().unwrap();
    let mut members = MemberTable::new("east".parse().unwrap());
    let started = Moment(10_000);
    assert!(
        members.reader_rank(&me, started) > STANDBYS,
        "it knows of nobody, and may not be alone"
    );
    for place in 1..100 {
        members.note_record(far_note(&format!("d{place}"), "west", 1_000 + place), started);
    }

    let unlisted = members.reader_rank(&me, started);
    members.note_listed();
    let turn = members.reader_rank(&me, started);
    let later = members.reader_rank(&me, Moment(started.0 + 10_000));

    assert!(turn > 0 && unlisted > STANDBYS, "{turn} and {unlisted}");
    assert_eq!(later, 0, "none of them was ever heard");
}

#[test]
fn daemon_that_leaves_hands_its_duties_over_before_it_is_silent() {
    // Symptom: while all VMs are restarted in turn, daemons read the store for themselves and prompts
    // are read again.
    // Sequence: the daemon that reads for all is told to stop; it is silent some seconds later, and
    // not followed by another before that.
    // Cause: it counted in turns for as long as it was heard.
    let names = ["d1", "d2"];
    let now = Moment(10_000);
    let table = |me: &str, is_other_ready: bool| {
        let mut members = MemberTable::new("east".parse().unwrap());
        let other = names.iter().find(|name| **name != me).unwrap();
        members.note_from_peer(note(other, true), now);
        members.note_from_peer(note(other, is_other_ready), now);
        members.note_listed();
        members.reader_rank(&me.parse().unwrap(), now)
    };
    let first = *names.iter().find(|name| table(name, true) == 0).unwrap();
    let second = *names.iter().find(|name| **name != first).unwrap();

    let turn_of_second = table(second, false);

    assert_eq!(turn_of_second, 0);
    assert_eq!(table(first, true), 0, "who leaves goes on as before");
}

#[test]
fn daemon_that_has_just_started_is_not_taken_for_one_that_leaves() {
    let mut members = MemberTable::new("east".parse().unwrap());
    let now = Moment(10_000);
    for place in 0..50 {
        members.note_from_peer(note(&format!("d{place}"), false), now);
    }
    members.note_listed();

    assert!(members.reader_rank(&"d99".parse().unwrap(), now) > 0);
}
