//! What daemons tell each other for the order of their queues: customers' use, and refused callers.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod support;

use guava_policy::{UseReport, UseRow};
use guava_serve::{
    AcceptedRequest, MAX_TOLD_RETURNS, MessageAudience, PeerMessage, RepeatRule, ServeContext,
    apply_config, apply_message, compose_message, first_attempt, note_return, sweep_queue_state,
};
use guava_types::{CustomerId, Deadline, Moment, ServiceName};
use support::{config, news, request, route, serve_context};
use yare::parameterized;

const NOW: Moment = Moment(100_000);

/// A daemon in contact with others, whose configuration has the service `llm` and the customer `acme`.
fn daemon(name: &str) -> ServeContext {
    let context = serve_context(name);
    apply_config(&context, config(1));
    context
}

fn llm() -> ServiceName {
    "llm".parse().unwrap()
}

fn acme() -> CustomerId {
    "acme".parse().unwrap()
}

fn charge(context: &ServeContext, cost: f64) {
    let mut ledgers = context.customer_ledgers.borrow_mut();
    ledgers.entry(llm()).or_default().charge(Some(&acme()), cost, NOW);
}

/// What a daemon believes that `acme` has used.
fn used(context: &ServeContext, now: Moment) -> f64 {
    let ledgers = context.customer_ledgers.borrow();
    ledgers.get(&llm()).map_or(0.0, |ledger| ledger.used(Some(&acme()), now))
}

/// Sends the summary of one daemon to another.
fn tell(from: &ServeContext, to: &ServeContext, now: Moment) {
    let message = compose_message(from, news(from.identity.name.as_str()), now);
    apply_message(to, PeerMessage::decode(&message.encode(now), now).unwrap(), now);
}

/// A request with its own body, which arrives at the moment given.
fn call(number: u32, arrived: Moment) -> AcceptedRequest {
    let body = number.to_le_bytes().to_vec().into();
    AcceptedRequest { arrived, body, ..request(route("/app/", "app", RepeatRule::Idempotent)) }
}

#[test]
fn use_is_told_only_while_requests_wait_somewhere() {
    let (busy, crowded) = (daemon("d1"), daemon("d2"));
    charge(&busy, 40.0);
    tell(&busy, &crowded, NOW);
    let before = used(&crowded, NOW);

    crowded.use_gossip.borrow_mut().note_crowd(NOW);
    tell(&crowded, &busy, NOW);
    tell(&busy, &crowded, NOW);

    assert_eq!((before, used(&crowded, NOW)), (0.0, 40.0));
    let later = Moment(NOW.0 + 3_000);
    assert!(compose_message(&busy, news("d1"), later).uses.is_none());
}

#[test]
fn use_that_a_dead_daemon_reported_ends_when_it_is_silent() {
    // Guards against a customer that is held back for good by the use that a lost VM reported.
    let (dead, other) = (daemon("d1"), daemon("d2"));
    charge(&dead, 1e9);
    dead.use_gossip.borrow_mut().note_crowd(NOW);
    tell(&dead, &other, NOW);
    let silent_ms = other.members.borrow().silent_ms(&"east".parse().unwrap());

    let silent = Moment(NOW.0 + silent_ms);
    let uses = [Moment(silent.0 - 1), silent].map(|now| used(&other, now));
    sweep_queue_state(&other, silent);

    assert!(uses[0] > 0.0 && uses[1] == 0.0, "{uses:?}");
    assert!(other.customer_ledgers.borrow().is_empty());
}

#[parameterized(
    unknown_service = { "other", "acme", 1.0 },
    unknown_customer = { "llm", "stranger", 1.0 },
    negative = { "llm", "acme", -1.0 },
    not_a_number = { "llm", "acme", f64::NAN },
    infinite = { "llm", "acme", f64::INFINITY },
    too_large = { "llm", "acme", 1e30 },
)]
fn bad_row_of_a_report_is_counted_and_the_others_hold(service: &str, customer: &str, amount: f64) {
    // Guards against a peer with another configuration, or a broken one, that upsets all queues.
    let context = daemon("d2");
    let row = |service: &str, customer: &str, amount: f64| UseRow {
        service: service.parse().unwrap(),
        customer: customer.parse().unwrap(),
        amount,
    };
    let rows = vec![row(service, customer, amount), row("llm", "acme", 7.0)];
    let mut message = compose_message(&daemon("d1"), news("d1"), NOW);
    message.uses = Some(UseReport { as_of: NOW, is_crowded: true, rows, waiting: Vec::new() });

    apply_message(&context, PeerMessage::decode(&message.encode(NOW), NOW).unwrap(), NOW);

    assert_eq!(used(&context, NOW), 7.0);
    assert!(context.metrics.text().contains("ignored_reports_total{kind=\"use\"} 1"));
}

#[test]
fn report_that_waited_at_a_relay_counts_with_its_age() {
    let (one, two) = (daemon("d1"), daemon("d2"));
    charge(&one, 8.0);
    one.use_gossip.borrow_mut().note_crowd(NOW);
    let sent = compose_message(&one, news("d1"), NOW).for_relay().encode(NOW);

    let later = Moment(NOW.0 + 2_000);
    let relayed = PeerMessage::decode_waiting(&sent, NOW, later).unwrap().relayed().encode(later);
    apply_message(&two, PeerMessage::decode(&relayed, later).unwrap(), later);

    assert!((used(&two, later) - 4.0).abs() < 1e-3, "{}", used(&two, later));
}

#[test]
fn refused_caller_keeps_its_place_at_another_daemon() {
    let (one, two) = (daemon("d1"), daemon("d2"));
    note_return(&one, &call(1, NOW), NOW, Deadline::after(NOW, 1_000), NOW);
    tell(&one, &two, Moment(NOW.0 + 250));

    let early = Moment(NOW.0 + 500);
    let at_early = first_attempt(&two, &call(1, early), early);
    let due = Moment(NOW.0 + 1_000);
    let at_due = first_attempt(&two, &call(1, due), due);
    let other = first_attempt(&two, &call(2, due), due);

    assert_eq!((at_early, at_due, other), (early, NOW, due));
}

#[test]
fn each_group_of_daemons_is_told_all_refusals_in_bounded_messages() {
    let context = daemon("d1");
    for number in 0..150 {
        note_return(&context, &call(number, NOW), NOW, Deadline::after(NOW, 2_000), NOW);
    }
    let mut gossip = context.return_gossip.borrow_mut();
    let mut told = |audience| {
        let mut messages = (0..4).map(|_| gossip.take(audience, NOW).len());
        [(); 4].map(|()| messages.next().unwrap())
    };

    let (peers, relays) = (told(MessageAudience::Peers), told(MessageAudience::Relays));

    assert_eq!(peers, [MAX_TOLD_RETURNS, MAX_TOLD_RETURNS, 22, 0]);
    assert_eq!(relays, peers);
}
