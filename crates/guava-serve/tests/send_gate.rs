//! Which upstreams may get a request: none in drained data centres, and limited sends to cold ones
//! and to those with a rate limit.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod support;

use guava_policy::{
    AnnouncedLimit, AnnouncementTable, BrittleNotice, ColdRule, LimitNotice, SendLedger,
    UpstreamAnnouncements,
};
use guava_serve::{
    DrainNotice, DrainTable, GateInput, GateState, ListChangeEffect, MemberTable, PeerMessage,
    ServeContext, ServiceRule, UpstreamEntry, UpstreamTable, apply_drain, apply_message,
    compose_announcements, compose_message, compose_reads, gate_state, note_announcements,
    pass_gate, with_gate_input,
};
use guava_types::{Deadline, LimitRate, MemberName, Moment};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use support::{address, news, note, serve_context, upstream};
use yare::parameterized;

/// Send limit of the tests' upstreams while they are cold.
const RULE: ColdRule = ColdRule { lasts_ms: 3_000, per_second: 30 };
/// Requests within one second at which a cold upstream crashes.
const CRASH_REQUESTS: usize = 35;
const START: Moment = Moment(1_000_000);

fn later(millis: u64) -> Moment {
    Moment(START.0 + millis)
}

fn name(number: usize) -> MemberName {
    format!("d{number}").parse().unwrap()
}

fn cold(entry: UpstreamEntry, until: Moment) -> UpstreamEntry {
    UpstreamEntry { cold_until: until.into(), ..entry }
}

fn drain(as_of: u64, is_drained: bool) -> DrainNotice {
    DrainNotice { data_centre: "east".parse().unwrap(), as_of, is_drained }
}

fn app_rule() -> ServiceRule {
    ServiceRule { name: "app".parse().unwrap(), engine: None, cold: Some(RULE) }
}

/// A simulated daemon of a fleet, with what it knows of the other daemons.
struct SimulatedDaemon {
    name: MemberName,
    members: MemberTable,
    announcements: AnnouncementTable,
    sends: SendLedger,
}

impl SimulatedDaemon {
    fn new(number: usize, known: impl Iterator<Item = usize>, started: Moment) -> Self {
        let mut members = MemberTable::new("east".parse().unwrap());
        let others = known.filter(|other| *other != number);
        others.for_each(|other| members.note_record(note(name(other).as_str()), started));
        members.note_listed();
        let announcements = AnnouncementTable::default();
        Self { name: name(number), members, announcements, sends: SendLedger::new(started) }
    }

    /// Sends to an upstream if the gate is open, and records the send.
    fn try_send(&mut self, entry: &UpstreamEntry, now: Moment) -> bool {
        let input = GateInput {
            drains: &DrainTable::default(),
            announcements: &self.announcements,
            cold: Some(RULE),
            sends: &self.sends,
            members: &self.members,
            local_daemon: &self.name,
        };
        let may_send = gate_state(&input, entry, now).is_open();
        if may_send {
            self.sends.note(&entry.id, now);
        }
        may_send
    }
}

/// Largest number of sends within any second.
fn max_sends_per_second(sent: &[Moment]) -> usize {
    let within = |first: &Moment| {
        sent.iter().filter(|other| (first.0..first.0 + 1_000).contains(&other.0)).count()
    };
    sent.iter().map(within).max().unwrap_or(0)
}

/// Lets each daemon try to send about ten times a second while the upstream is cold.
fn simulate(fleet: &mut [SimulatedDaemon], entry: &UpstreamEntry, seed: u64) -> Vec<Moment> {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut sent = Vec::new();
    for millis in 0..RULE.lasts_ms {
        let now = later(millis);
        for daemon in fleet.iter_mut() {
            if random.random_bool(0.01) && daemon.try_send(entry, now) {
                sent.push(now);
            }
        }
    }
    sent
}

#[parameterized(
    small = { 8 },
    large = { 84 },
    very_large = { 300 },
)]
fn cold_engine_is_used_without_exceeding_its_limit(daemons: usize) {
    // Guards against an engine that crashes again after each start: every daemon sees it listed and
    // idle, and sends its next prompts there. A limit per daemon does not bound their sum.
    let entry = cold(upstream("e", "app"), later(RULE.lasts_ms));
    let started = Moment(START.0 - 60_000);
    let mut fleet: Vec<SimulatedDaemon> =
        (0..daemons).map(|number| SimulatedDaemon::new(number, 0..daemons, started)).collect();

    let sent = simulate(&mut fleet, &entry, daemons as u64);

    assert!(max_sends_per_second(&sent) <= CRASH_REQUESTS, "{}", max_sends_per_second(&sent));
    let mean = sent.len() * 1_000 / RULE.lasts_ms as usize;
    assert!(mean * 10 >= CRASH_REQUESTS * 7, "{mean} a second");
}

#[test]
fn restarted_daemons_do_not_exceed_the_limit_of_a_cold_engine() {
    // Guards against crashes of cold engines after daemons are killed: the daemons have used their
    // shares, start again within the second, and have full shares, since sends are recorded only in
    // the memory of the process.
    let entry = cold(upstream("e", "app"), later(RULE.lasts_ms));
    let first_start = Moment(START.0 - 60_000);
    let mut fleet: Vec<SimulatedDaemon> =
        (0..84).map(|number| SimulatedDaemon::new(number, 0..84, first_start)).collect();
    let mut sent = Vec::new();
    for round in 0..30 {
        let now = later(round * 20);
        sent.extend(fleet.iter_mut().filter_map(|one| one.try_send(&entry, now).then_some(now)));
    }

    let mut restarted: Vec<SimulatedDaemon> =
        (0..84).map(|number| SimulatedDaemon::new(number, 0..84, later(700))).collect();
    for round in 0..100 {
        let now = later(720 + round * 20);
        sent.extend(
            restarted.iter_mut().filter_map(|one| one.try_send(&entry, now).then_some(now)),
        );
    }

    assert!(max_sends_per_second(&sent) <= CRASH_REQUESTS, "{}", max_sends_per_second(&sent));
    assert!(sent.last().unwrap().0 > later(1_800).0, "used again after a second");
}

#[test]
fn partitioned_daemons_do_not_exceed_the_limit_of_a_cold_engine() {
    // Guards against a crash of a cold engine during a partition: two halves of a fleet have had no
    // contact with each other for ten seconds when an engine starts that both reach. If each half
    // shares the limit among the daemons it can reach, the engine gets twice its limit.
    const DAEMONS: usize = 84;
    let entry = cold(upstream("e", "app"), later(RULE.lasts_ms));
    let mut fleet: Vec<SimulatedDaemon> = (0..DAEMONS)
        .map(|number| {
            let mut daemon = SimulatedDaemon::new(number, 0..DAEMONS, Moment(START.0 - 60_000));
            let same_half =
                (0..DAEMONS).filter(|other| other % 2 == number % 2 && *other != number);
            same_half.for_each(|other| {
                daemon.members.note_from_peer(note(name(other).as_str()), START);
            });
            daemon
        })
        .collect();

    let sent = simulate(&mut fleet, &entry, 7);

    assert!(max_sends_per_second(&sent) <= CRASH_REQUESTS, "{}", max_sends_per_second(&sent));
}

#[test]
fn daemon_that_does_not_know_the_others_sends_no_request_to_a_cold_engine() {
    let entry = cold(upstream("e", "app"), later(RULE.lasts_ms));
    let mut alone = SimulatedDaemon::new(0, 0..1, Moment(0));
    alone.members = MemberTable::new("east".parse().unwrap());

    assert!(!alone.try_send(&entry, START));
}

#[test]
fn warm_engine_gets_all_requests() {
    let mut daemon = SimulatedDaemon::new(0, 0..84, Moment(0));

    let sent = (0..100).filter(|_| daemon.try_send(&upstream("e", "app"), START)).count();

    assert_eq!(sent, 100);
}

/// A daemon that knows one upstream, in data centre `east`.
fn daemon(own_name: &str) -> ServeContext {
    let context = serve_context(own_name);
    context.upstreams.borrow_mut().note_entry(upstream("u", "app"));
    context
}

/// Whether any upstream of the service is closed.
fn is_closed(context: &ServeContext) -> bool {
    let (rule, now) = (app_rule(), Moment::now());
    let upstreams = context.upstreams.borrow();
    with_gate_input(context, &rule, |input| {
        upstreams.serving(&rule.name, now).any(|entry| !gate_state(input, entry, now).is_open())
    })
}

/// Delivers a message to a daemon, encoded as on the wire.
fn deliver(message: &PeerMessage, receiver: &ServeContext) {
    let now = Moment::now();
    apply_message(receiver, PeerMessage::decode(&message.encode(now), now).unwrap(), now);
}

#[test]
fn drained_data_centre_gets_no_request_until_it_is_undrained() {
    let context = daemon("d1");
    let id = upstream("u", "app").id;

    apply_drain(&context, &drain(5, true), Moment::now());
    let while_drained =
        (is_closed(&context), pass_gate(&context, &app_rule(), &id, Moment::now()).is_open());
    apply_drain(&context, &drain(6, false), Moment::now());

    assert_eq!(while_drained, (true, false));
    assert!(!context.drains.borrow().is_drained(&"east".parse().unwrap()));
}

#[test]
fn undrained_data_centre_is_cold_for_the_cold_period() {
    // Guards against a crash of all engines of a data centre within a second after it is undrained:
    // its engines were idle and are cold, though they did not restart, and all daemons send to them.
    let mut drains = DrainTable::default();
    drains.note(&drain(5, true), START);
    drains.note(&drain(6, false), later(8_000));
    let state = |now: Moment| {
        let input = GateInput {
            drains: &drains,
            announcements: &AnnouncementTable::default(),
            cold: Some(RULE),
            sends: &SendLedger::new(Moment(0)),
            members: &SimulatedDaemon::new(0, 0..1, START).members,
            local_daemon: &name(0),
        };
        gate_state(&input, &upstream("u", "app"), now)
    };

    assert_eq!(state(later(8_100)), GateState::Cold);
    assert_eq!(state(later(11_001)), GateState::Open);
}

#[test]
fn drain_reaches_a_daemon_that_can_not_read_the_store() {
    // Guards against daemons that keep sending to a drained data centre: the store refuses a third of
    // them, and read marks of peers that carry only a position do not report the drain.
    let (one, two) = (daemon("d1"), daemon("d2"));
    one.members.borrow_mut().note_listed();
    apply_drain(&one, &drain(5, true), Moment::now());
    one.reads.borrow_mut().operator.note_own(5, Moment::now());

    for message in compose_reads(&one, &note("d1"), Moment::now()) {
        deliver(&message, &two);
    }

    assert!(is_closed(&two));
}

#[test]
fn late_message_does_not_restore_an_ended_drain() {
    let (one, two) = (daemon("d1"), daemon("d2"));
    apply_drain(&one, &drain(5, true), Moment::now());
    let late_message = compose_message(&one, news("d1"), Moment::now());
    apply_drain(&two, &drain(6, false), Moment::now());

    deliver(&late_message, &two);

    assert!(!two.drains.borrow().is_drained(&"east".parse().unwrap()));
}

#[test]
fn drain_missing_from_a_later_complete_list_has_ended() {
    let mut drains = DrainTable::default();
    drains.note(&drain(5, true), START);

    // The complete list of drained data centres at a later position is empty.
    for notice in drains.notices_from_read(&[], 9) {
        drains.note(&notice, later(10));
    }

    assert!(!drains.is_drained(&"east".parse().unwrap()));
    assert_eq!(drains.undrained_since(&"east".parse().unwrap()), Some(later(10)));
}

#[test]
fn upstream_that_turns_cold_is_reported_once() {
    let mut table = UpstreamTable::default();
    table.note_entry(upstream("u", "app"));

    let first = table.note_entry(cold(upstream("u", "app"), later(3_000)));
    let repeated = table.note_entry(cold(upstream("u", "app"), later(3_200)));
    let late = table.note_entry(upstream("u", "app"));

    assert_eq!(
        (first, repeated, late),
        (ListChangeEffect::Cold, ListChangeEffect::Same, ListChangeEffect::Same)
    );
    let until = table.entry(&upstream("u", "app").id).unwrap().cold_until;
    assert_eq!(until, Deadline::from(later(3_200)));
}

#[test]
fn daemon_of_a_drained_data_centre_stays_listed_for_callers() {
    // Only the upstreams of a drained data centre get no requests; its daemons still serve callers.
    let context = daemon("d1");
    apply_drain(&context, &drain(5, true), Moment::now());
    context.members.borrow_mut().note_from_peer(note("d2"), Moment::now());

    assert_eq!(context.members.borrow().caller_addresses(Moment::now(), 0), [address(2)]);
}

/// Largest number of sends within any four seconds.
fn max_sends_per_four_seconds(sent: &[Moment]) -> usize {
    let within = |first: &Moment| {
        sent.iter().filter(|other| (first.0..first.0 + 4_000).contains(&other.0)).count()
    };
    sent.iter().map(within).max().unwrap_or(0)
}

/// A fleet whose daemons all know an upstream's limit.
fn limited_fleet(daemons: usize, entry: &UpstreamEntry, limit: LimitRate) -> Vec<SimulatedDaemon> {
    let started = Moment(START.0 - 60_000);
    let notice = LimitNotice { upstream: entry.id.clone(), rate: Some(limit), as_of: START };
    let mut fleet: Vec<SimulatedDaemon> =
        (0..daemons).map(|number| SimulatedDaemon::new(number, 0..daemons, started)).collect();
    for daemon in &mut fleet {
        daemon.announcements.apply_limit_notice(&notice, START);
    }
    fleet
}

/// How many requests daemons have in flight at a brittle upstream when each sends what it may; each
/// knows the others but for one in `missing`.
fn in_flight_at_a_brittle_upstream(daemons: usize, missing: usize, name: &str) -> usize {
    let entry = UpstreamEntry { slots: 16, ..upstream(name, "app") };
    let started = Moment(START.0 - 60_000);
    let brittle = BrittleNotice { upstream: entry.id.clone(), refusals: Some(2), as_of: START };
    let mut sent = 0;
    for number in 0..daemons {
        let known = (0..daemons).filter(|other| (other + number) % missing > 0 || *other == number);
        let known: Vec<usize> = known.collect();
        let mut daemon = SimulatedDaemon::new(number, known.into_iter(), started);
        daemon.announcements.apply_brittle_notice(&brittle, START);
        while daemon.try_send(&entry, later(10)) {
            daemon.sends.begin(&entry.id);
            sent += 1;
        }
    }
    sent
}

#[parameterized(
    few = { 6, 1_000 },
    many = { 62, 1_000 },
    many_that_lack_others = { 62, 10 },
    more = { 79, 1_000 },
    more_that_lack_others = { 79, 10 },
)]
fn slots_of_a_brittle_upstream_are_not_overrun(daemons: usize, missing: usize) {
    // Guards against upstreams that crash because more daemons than slots draw one.
    for number in 0..57 {
        let sent = in_flight_at_a_brittle_upstream(daemons, missing, &format!("i-{number}"));

        assert!((1..=16).contains(&sent), "i-{number}: {sent}");
    }
}

#[test]
fn brittle_upstream_is_known_to_daemons_without_an_answer_of_their_own() {
    // Guards against upstreams that crash because each daemon learns from its own answers alone.
    let (one, two) = (daemon("d1"), daemon("d2"));
    let id = upstream("u", "app").id;
    let announced = UpstreamAnnouncements { brittle: Some(2), ..UpstreamAnnouncements::default() };
    note_announcements(&one, &id, &announced, Moment::now());

    deliver(&compose_message(&one, news("d1"), Moment::now()), &two);
    let while_brittle = two.announcements.borrow().is_brittle(&id);
    std::thread::sleep(std::time::Duration::from_millis(5));
    note_announcements(&one, &id, &UpstreamAnnouncements::default(), Moment::now());
    deliver(&compose_message(&one, news("d1"), Moment::now()), &two);

    assert!(while_brittle);
    assert!(!two.announcements.borrow().is_brittle(&id));
}

#[parameterized(
    few_and_slow = { 3, 0.5 },
    few = { 6, 2.0 },
    few_and_fast = { 8, 20.0 },
    many_and_slow = { 79, 0.5 },
    many = { 79, 2.0 },
    many_and_fast = { 79, 20.0 },
    very_many_and_slow = { 300, 0.5 },
    very_many_and_fast = { 300, 20.0 },
)]
fn sends_of_all_daemons_use_an_announced_limit_and_do_not_exceed_it(
    daemons: usize,
    per_second: f64,
) {
    let entry = upstream("e", "app");
    let mut fleet = limited_fleet(daemons, &entry, LimitRate::per_second(per_second).unwrap());
    let mut sent = Vec::new();
    for millis in (0..20_000).step_by(5) {
        let now = later(millis);
        sent.extend(fleet.iter_mut().filter_map(|one| one.try_send(&entry, now).then_some(now)));
    }

    let allowed = (per_second * 4.0) as usize;
    let sent_per_second = sent.len() as f64 / 20.0;

    assert!(
        max_sends_per_four_seconds(&sent) <= allowed,
        "{} of {allowed}",
        max_sends_per_four_seconds(&sent)
    );
    assert!(sent_per_second >= per_second * 0.7, "{sent_per_second} a second");
}

#[test]
fn restarted_daemons_do_not_exceed_an_announced_limit() {
    let entry = upstream("e", "app");
    let limit = LimitRate::per_second(2.0).unwrap();
    let mut fleet = limited_fleet(8, &entry, limit);
    let mut sent: Vec<Moment> = Vec::new();
    sent.extend(fleet.iter_mut().filter_map(|one| one.try_send(&entry, START).then_some(START)));

    let mut restarted: Vec<SimulatedDaemon> =
        (0..8).map(|number| SimulatedDaemon::new(number, 0..8, later(500))).collect();
    let notice = LimitNotice { upstream: entry.id.clone(), rate: Some(limit), as_of: START };
    for millis in (500..8_000).step_by(10) {
        let now = later(millis);
        restarted
            .iter_mut()
            .for_each(|one| drop(one.announcements.apply_limit_notice(&notice, now)));
        sent.extend(
            restarted.iter_mut().filter_map(|one| one.try_send(&entry, now).then_some(now)),
        );
    }

    assert!(max_sends_per_four_seconds(&sent) <= 8, "{}", max_sends_per_four_seconds(&sent));
    assert!(sent.len() >= 16, "used again: {}", sent.len());
}

#[test]
fn limit_and_its_removal_reach_daemons_without_an_answer_of_their_own() {
    let (one, two) = (daemon("d1"), daemon("d2"));
    two.members.borrow_mut().note_listed();
    let id = upstream("u", "app").id;
    let limit = LimitRate::per_second(0.0).unwrap();
    let announced = UpstreamAnnouncements {
        limit: AnnouncedLimit::Named(limit),
        ..UpstreamAnnouncements::default()
    };
    let sent = Moment::now();

    note_announcements(&one, &id, &announced, sent);
    deliver(&compose_announcements(&one, &note("d1")).unwrap(), &two);
    let while_limited = two.announcements.borrow().limit(&id);
    std::thread::sleep(std::time::Duration::from_millis(5));
    note_announcements(&one, &id, &UpstreamAnnouncements::default(), Moment::now());
    deliver(&compose_message(&one, news("d1"), Moment::now()), &two);

    assert_eq!(while_limited, Some(limit));
    assert!(
        compose_announcements(&one, &note("d1")).is_none(),
        "the removal of a limit waits for the summary"
    );
    assert_eq!(two.announcements.borrow().limit(&id), None);
}

fn leaving_announcement() -> UpstreamAnnouncements {
    UpstreamAnnouncements { is_leaving: true, ..UpstreamAnnouncements::default() }
}

#[test]
fn leaving_upstream_stays_closed_when_it_is_listed_again() {
    let context = daemon("d1");
    let entry = upstream("u", "app");
    note_announcements(&context, &entry.id, &leaving_announcement(), Moment::now());

    context.upstreams.borrow_mut().note_entry(entry.clone());
    let after_heartbeat = is_closed(&context);
    context.upstreams.borrow_mut().note_removed(&entry.id, Moment::now());
    context.upstreams.borrow_mut().note_entry(entry);
    note_announcements(
        &context,
        &upstream("u", "app").id,
        &UpstreamAnnouncements::default(),
        Moment::now(),
    );

    assert!(after_heartbeat);
    assert!(is_closed(&context), "listed again under the same id");
}

#[test]
fn next_start_of_an_upstream_that_left_is_open() {
    let context = daemon("d1");
    let id = upstream("u", "app").id;
    note_announcements(&context, &id, &leaving_announcement(), Moment::now());

    let next = UpstreamEntry { id: id.started_at(7), ..upstream("u", "app") };
    context.upstreams.borrow_mut().note_entry(next);

    assert!(!is_closed(&context));
}

#[test]
fn leaving_reaches_other_daemons_without_changing_list_digests() {
    let (one, two) = (daemon("d1"), daemon("d2"));
    let digest = one.upstreams.borrow().digest();
    note_announcements(&one, &upstream("u", "app").id, &leaving_announcement(), Moment::now());

    deliver(&compose_announcements(&one, &note("d1")).unwrap(), &two);

    assert!(is_closed(&two));
    // Daemons compare their lists by digest, and read the list again where the digests differ.
    assert_eq!(
        (one.upstreams.borrow().digest(), two.upstreams.borrow().digest()),
        (digest, digest)
    );
}

#[test]
fn summary_reports_a_leaving_upstream_after_a_lost_immediate_message() {
    let (one, two) = (daemon("d1"), daemon("d2"));
    note_announcements(&one, &upstream("u", "app").id, &leaving_announcement(), Moment::now());
    drop(compose_announcements(&one, &note("d1")));

    deliver(&compose_message(&one, news("d1"), Moment::now()), &two);

    assert!(is_closed(&two));
}
