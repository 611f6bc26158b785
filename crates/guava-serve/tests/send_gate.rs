//! Which upstreams may get a request: those of drained data centres none, cold ones a few.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod support;

use guava_policy::{
    AnnouncedLimit, AnnouncementTable, ColdRule, LimitNotice, SendLedger, UpstreamAnnouncements,
};
use guava_serve::{
    DrainNotice, DrainTable, GateInput, GateState, ListChangeEffect, MemberTable, PeerMessage,
    ServeContext, ServiceRule, UpstreamEntry, UpstreamTable, apply_drain, apply_message,
    closed_upstreams, compose_announcements, compose_message, compose_reads, gate_state,
    note_announcements, pass_gate,
};
use guava_types::{Deadline, LimitRate, MemberName, Moment};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use support::{address, news, note, serve_context, upstream};
use yare::parameterized;

/// What the upstreams of the tests bear.
const RULE: ColdRule = ColdRule { lasts_ms: 3_000, per_second: 30 };
/// Requests in any second of which a cold upstream ends.
const ENDS_OF: usize = 35;
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

/// A daemon of a fleet, as far as it knows the others.
struct PlayedDaemon {
    name: MemberName,
    members: MemberTable,
    announcements: AnnouncementTable,
    sends: SendLedger,
}

impl PlayedDaemon {
    fn new(number: usize, known: impl Iterator<Item = usize>, started: Moment) -> Self {
        let mut members = MemberTable::new("east".parse().unwrap());
        let others = known.filter(|other| *other != number);
        others.for_each(|other| members.note_record(note(name(other).as_str()), started));
        members.note_listed();
        let announcements = AnnouncementTable::default();
        Self { name: name(number), members, announcements, sends: SendLedger::new(started) }
    }

    /// Sends to an upstream if it may.
    fn try_send(&mut self, entry: &UpstreamEntry, now: Moment) -> bool {
        let input = GateInput {
            drains: &DrainTable::default(),
            announcements: &self.announcements,
            cold: Some(RULE),
            sends: &self.sends,
            members: &self.members,
            me: &self.name,
        };
        let may_send = gate_state(&input, entry, now).is_open();
        if may_send {
            self.sends.note(&entry.id, now);
        }
        may_send
    }
}

/// Most sends in any second.
fn busiest_second(sent: &[Moment]) -> usize {
    let within = |first: &Moment| {
        sent.iter().filter(|other| (first.0..first.0 + 1_000).contains(&other.0)).count()
    };
    sent.iter().map(within).max().unwrap_or(0)
}

/// Each daemon tries to send a few times a second for as long as the upstream is cold.
fn play(fleet: &mut [PlayedDaemon], entry: &UpstreamEntry, seed: u64) -> Vec<Moment> {
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
fn engine_that_returns_cold_is_used_and_not_overrun(daemons: usize) {
    // Symptom: an engine that has just started ends, again and again.
    // Sequence: it is listed; every daemon sees an idle engine and sends its next prompts there.
    // Cause: each daemon kept to a limit of its own, and they are many.
    let entry = cold(upstream("e", "app"), later(RULE.lasts_ms));
    let started = Moment(START.0 - 60_000);
    let mut fleet: Vec<PlayedDaemon> =
        (0..daemons).map(|number| PlayedDaemon::new(number, 0..daemons, started)).collect();

    let sent = play(&mut fleet, &entry, daemons as u64);

    assert!(busiest_second(&sent) <= ENDS_OF, "{}", busiest_second(&sent));
    let mean = sent.len() * 1_000 / RULE.lasts_ms as usize;
    assert!(mean * 10 >= ENDS_OF * 7, "{mean} a second");
}

#[test]
fn daemons_that_start_beside_a_cold_engine_do_not_overrun_it() {
    // Symptom: engines that are cold end when daemons are killed.
    // Sequence: daemons that may send to a cold engine have used their shares; they are killed, start
    // again within the second, and have full shares.
    // Cause: what was sent is known only in the memory of the process that sent it.
    let entry = cold(upstream("e", "app"), later(RULE.lasts_ms));
    let old = Moment(START.0 - 60_000);
    let mut fleet: Vec<PlayedDaemon> =
        (0..84).map(|number| PlayedDaemon::new(number, 0..84, old)).collect();
    let mut sent = Vec::new();
    for round in 0..30 {
        let now = later(round * 20);
        sent.extend(fleet.iter_mut().filter_map(|one| one.try_send(&entry, now).then_some(now)));
    }

    let mut again: Vec<PlayedDaemon> =
        (0..84).map(|number| PlayedDaemon::new(number, 0..84, later(700))).collect();
    for round in 0..100 {
        let now = later(720 + round * 20);
        sent.extend(again.iter_mut().filter_map(|one| one.try_send(&entry, now).then_some(now)));
    }

    assert!(busiest_second(&sent) <= ENDS_OF, "{}", busiest_second(&sent));
    assert!(sent.last().unwrap().0 > later(1_800).0, "used again after a second");
}

#[test]
fn daemons_that_do_not_hear_each_other_do_not_overrun_a_cold_engine() {
    // Symptom: a cold engine ends while daemons are cut off from each other.
    // Sequence: two halves of a fleet have not heard each other for ten seconds; an engine that both
    // reach starts.
    // Cause: each half shared the whole limit among those that it heard.
    const DAEMONS: usize = 84;
    let entry = cold(upstream("e", "app"), later(RULE.lasts_ms));
    let mut fleet: Vec<PlayedDaemon> = (0..DAEMONS)
        .map(|number| {
            let mut daemon = PlayedDaemon::new(number, 0..DAEMONS, Moment(START.0 - 60_000));
            let near = (0..DAEMONS).filter(|other| other % 2 == number % 2 && *other != number);
            near.for_each(|other| {
                daemon.members.note_from_peer(note(name(other).as_str()), START);
            });
            daemon
        })
        .collect();

    let sent = play(&mut fleet, &entry, 7);

    assert!(busiest_second(&sent) <= ENDS_OF, "{}", busiest_second(&sent));
}

#[test]
fn daemon_that_does_not_know_the_others_sends_nothing_to_a_cold_engine() {
    let entry = cold(upstream("e", "app"), later(RULE.lasts_ms));
    let mut alone = PlayedDaemon::new(0, 0..1, Moment(0));
    alone.members = MemberTable::new("east".parse().unwrap());

    assert!(!alone.try_send(&entry, START));
}

#[test]
fn warm_engine_gets_all() {
    let mut daemon = PlayedDaemon::new(0, 0..84, Moment(0));

    let sent = (0..100).filter(|_| daemon.try_send(&upstream("e", "app"), START)).count();

    assert_eq!(sent, 100);
}

/// A daemon that knows an upstream in a data centre.
fn daemon(own_name: &str) -> ServeContext {
    let context = serve_context(own_name);
    context.upstreams.borrow_mut().note_entry(upstream("u", "app"));
    context
}

fn is_closed(context: &ServeContext) -> bool {
    !closed_upstreams(context, &app_rule(), Moment::now()).is_empty()
}

fn pass(message: &PeerMessage, to: &ServeContext) {
    let now = Moment::now();
    apply_message(to, PeerMessage::decode(&message.encode(now), now).unwrap(), now);
}

#[test]
fn drained_data_centre_gets_nothing_until_it_is_taken_back() {
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
fn data_centre_that_was_taken_back_is_cold_for_a_while() {
    // Symptom: all engines of a data centre end within a second of its return.
    // Sequence: it is taken back; its engines have rested and are cold; all daemons find them idle.
    // Cause: an engine was taken for cold only after a start.
    let mut drains = DrainTable::default();
    drains.note(&drain(5, true), START);
    drains.note(&drain(6, false), later(8_000));
    let state = |now: Moment| {
        let input = GateInput {
            drains: &drains,
            announcements: &AnnouncementTable::default(),
            cold: Some(RULE),
            sends: &SendLedger::new(Moment(0)),
            members: &PlayedDaemon::new(0, 0..1, START).members,
            me: &name(0),
        };
        gate_state(&input, &upstream("u", "app"), now)
    };

    assert_eq!(state(later(8_100)), GateState::Cold);
    assert_eq!(state(later(11_001)), GateState::Open);
}

#[test]
fn peer_tells_a_daemon_that_does_not_reach_the_store() {
    // Symptom: a third of the daemons goes on sending to a data centre that was emptied.
    // Sequence: the store turns them away; they hear the others, who say only how far they have read.
    // Cause: what was read had to be read by everybody.
    let (one, two) = (daemon("d1"), daemon("d2"));
    one.members.borrow_mut().note_listed();
    apply_drain(&one, &drain(5, true), Moment::now());
    one.reads.borrow_mut().operator.note_own(5, Moment::now());

    for message in compose_reads(&one, &note("d1"), Moment::now()) {
        pass(&message, &two);
    }

    assert!(is_closed(&two));
}

#[test]
fn late_word_brings_no_drain_back() {
    let (one, two) = (daemon("d1"), daemon("d2"));
    apply_drain(&one, &drain(5, true), Moment::now());
    let old = compose_message(&one, news("d1"), Moment::now());
    apply_drain(&two, &drain(6, false), Moment::now());

    pass(&old, &two);

    assert!(!two.drains.borrow().is_drained(&"east".parse().unwrap()));
}

#[test]
fn drain_that_ended_while_the_history_was_forgotten_is_over() {
    let mut drains = DrainTable::default();
    drains.note(&drain(5, true), START);

    // All that is drained, as of a later position: nothing.
    for notice in drains.notices_from_read(&[], 9) {
        drains.note(&notice, later(10));
    }

    assert!(!drains.is_drained(&"east".parse().unwrap()));
    assert_eq!(drains.undrained_since(&"east".parse().unwrap()), Some(later(10)));
}

#[test]
fn upstream_that_turns_cold_is_news_once() {
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
fn address_of_a_drained_daemon_is_still_told_to_callers() {
    // Only upstreams of a drained data centre rest; its daemons serve.
    let context = daemon("d1");
    apply_drain(&context, &drain(5, true), Moment::now());
    context.members.borrow_mut().note_from_peer(note("d2"), Moment::now());

    assert_eq!(context.members.borrow().caller_addresses(Moment::now()), [address(2)]);
}

/// Most sends in any four seconds.
fn busiest_span(sent: &[Moment]) -> usize {
    let within = |first: &Moment| {
        sent.iter().filter(|other| (first.0..first.0 + 4_000).contains(&other.0)).count()
    };
    sent.iter().map(within).max().unwrap_or(0)
}

/// A fleet whose daemons all know of an upstream's limit.
fn limited_fleet(daemons: usize, entry: &UpstreamEntry, limit: LimitRate) -> Vec<PlayedDaemon> {
    let started = Moment(START.0 - 60_000);
    let notice = LimitNotice { upstream: entry.id.clone(), rate: Some(limit), as_of: START };
    let mut fleet: Vec<PlayedDaemon> =
        (0..daemons).map(|number| PlayedDaemon::new(number, 0..daemons, started)).collect();
    for daemon in &mut fleet {
        daemon.announcements.note_notice(&notice, START);
    }
    fleet
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
fn upstream_with_a_limit_gets_that_from_all_daemons_and_no_more(daemons: usize, per_second: f64) {
    let entry = upstream("e", "app");
    let mut fleet = limited_fleet(daemons, &entry, LimitRate::per_second(per_second).unwrap());
    let mut sent = Vec::new();
    for millis in (0..20_000).step_by(5) {
        let now = later(millis);
        sent.extend(fleet.iter_mut().filter_map(|one| one.try_send(&entry, now).then_some(now)));
    }

    let allowed = (per_second * 4.0) as usize;
    let got = sent.len() as f64 / 20.0;

    assert!(busiest_span(&sent) <= allowed, "{} of {allowed}", busiest_span(&sent));
    assert!(got >= per_second * 0.7, "{got} a second");
}

#[test]
fn daemons_that_start_beside_a_limit_do_not_overrun_it() {
    let entry = upstream("e", "app");
    let limit = LimitRate::per_second(2.0).unwrap();
    let mut fleet = limited_fleet(8, &entry, limit);
    let mut sent: Vec<Moment> = Vec::new();
    sent.extend(fleet.iter_mut().filter_map(|one| one.try_send(&entry, START).then_some(START)));

    let mut again: Vec<PlayedDaemon> =
        (0..8).map(|number| PlayedDaemon::new(number, 0..8, later(500))).collect();
    let notice = LimitNotice { upstream: entry.id.clone(), rate: Some(limit), as_of: START };
    for millis in (500..8_000).step_by(10) {
        let now = later(millis);
        again.iter_mut().for_each(|one| drop(one.announcements.note_notice(&notice, now)));
        sent.extend(again.iter_mut().filter_map(|one| one.try_send(&entry, now).then_some(now)));
    }

    assert!(busiest_span(&sent) <= 8, "{}", busiest_span(&sent));
    assert!(sent.len() >= 16, "used again: {}", sent.len());
}

#[test]
fn limit_and_its_end_reach_daemons_that_had_no_answer() {
    let (one, two) = (daemon("d1"), daemon("d2"));
    two.members.borrow_mut().note_listed();
    let id = upstream("u", "app").id;
    let limit = LimitRate::per_second(0.0).unwrap();
    let named = UpstreamAnnouncements {
        limit: AnnouncedLimit::Named(limit),
        ..UpstreamAnnouncements::default()
    };
    let sent = Moment::now();

    note_announcements(&one, &id, &named, sent);
    pass(&compose_announcements(&one, &note("d1")).unwrap(), &two);
    let while_limited = two.announcements.borrow().limit(&id);
    std::thread::sleep(std::time::Duration::from_millis(5));
    note_announcements(&one, &id, &UpstreamAnnouncements::default(), Moment::now());
    pass(&compose_message(&one, news("d1"), Moment::now()), &two);

    assert_eq!(while_limited, Some(limit));
    assert!(compose_announcements(&one, &note("d1")).is_none(), "an end can wait for the summary");
    assert_eq!(two.announcements.borrow().limit(&id), None);
}

fn says_leaving() -> UpstreamAnnouncements {
    UpstreamAnnouncements { is_leaving: true, ..UpstreamAnnouncements::default() }
}

#[test]
fn list_that_has_a_leaving_upstream_as_serving_brings_it_no_work() {
    let context = daemon("d1");
    let entry = upstream("u", "app");
    note_announcements(&context, &entry.id, &says_leaving(), Moment::now());

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
    assert!(is_closed(&context), "listed anew under the same id");
}

#[test]
fn next_start_of_an_upstream_that_left_gets_work() {
    let context = daemon("d1");
    let id = upstream("u", "app").id;
    note_announcements(&context, &id, &says_leaving(), Moment::now());

    let next = UpstreamEntry { id: id.started_at(7), ..upstream("u", "app") };
    context.upstreams.borrow_mut().note_entry(next);

    assert!(!is_closed(&context));
}

#[test]
fn leaving_reaches_daemons_that_had_no_answer_and_leaves_their_lists_alike() {
    let (one, two) = (daemon("d1"), daemon("d2"));
    let digest = one.upstreams.borrow().digest();
    note_announcements(&one, &upstream("u", "app").id, &says_leaving(), Moment::now());

    pass(&compose_announcements(&one, &note("d1")).unwrap(), &two);

    assert!(is_closed(&two));
    // Daemons compare their lists by a digest, and read the list where these differ.
    assert_eq!(
        (one.upstreams.borrow().digest(), two.upstreams.borrow().digest()),
        (digest, digest)
    );
}

#[test]
fn summary_tells_of_a_leaving_upstream_whose_first_note_was_lost() {
    let (one, two) = (daemon("d1"), daemon("d2"));
    note_announcements(&one, &upstream("u", "app").id, &says_leaving(), Moment::now());
    drop(compose_announcements(&one, &note("d1")));

    pass(&compose_message(&one, news("d1"), Moment::now()), &two);

    assert!(is_closed(&two));
}
