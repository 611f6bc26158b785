//! Admission: shares, fairness and early refusal.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use guava_policy::{
    AdmitDecision, AdmitOptions, CustomerUse, FairAdmission, QueueAction, RetryBudget,
    WaitingRequest,
};
use guava_types::{CustomerId, Deadline, Moment, RequestRate};

const NOW: Moment = Moment(10_000);
const OPTIONS: AdmitOptions = AdmitOptions { slots: 2, queue: 8, service_ms: 100.0 };

fn customer(name: &str) -> CustomerId {
    name.parse().unwrap()
}

fn request(name: &str, ticket: u64, left_ms: u64) -> WaitingRequest {
    let deadline = Deadline::after(NOW, left_ms);
    WaitingRequest { ticket, customer: customer(name), deadline }
}

fn ample_limits() -> CustomerUse {
    CustomerUse { rate: RequestRate(1_000), concurrency: 1_000, peers_running: 0, daemons: 1 }
}

#[test]
fn single_request_of_a_customer_precedes_the_queue_of_another() {
    // Symptom: a customer with one request waits behind another's hundred.
    // Sequence: one customer fills the slots and the queue; another sends one request.
    // Cause: the queue was first come, first served over all customers.
    let mut admission = FairAdmission::default();
    for ticket in 0..6 {
        admission.arrive(request("flood", ticket, 60_000), &ample_limits(), &OPTIONS, NOW);
    }

    let small = admission.arrive(request("small", 9, 60_000), &ample_limits(), &OPTIONS, NOW);
    admission.started();
    let next = admission.next(&OPTIONS, NOW);

    assert_eq!(small, AdmitDecision::Queue);
    assert_eq!(next, Some(QueueAction::Start(request("small", 9, 60_000))));
}

#[test]
fn earliest_deadline_goes_first_within_a_customer() {
    let mut admission = FairAdmission::default();
    for (ticket, left_ms) in [(0, 60_000), (1, 60_000), (2, 50_000), (3, 9_000)] {
        admission.arrive(request("acme", ticket, left_ms), &ample_limits(), &OPTIONS, NOW);
    }
    admission.started();

    let next = admission.next(&OPTIONS, NOW);
    assert_eq!(next, Some(QueueAction::Start(request("acme", 3, 9_000))));
}

#[test]
fn request_that_cannot_meet_its_deadline_is_refused_at_once() {
    let mut admission = FairAdmission::default();
    for ticket in 0..6 {
        admission.arrive(request("acme", ticket, 60_000), &ample_limits(), &OPTIONS, NOW);
    }

    let late = admission.arrive(request("acme", 7, 20), &ample_limits(), &OPTIONS, NOW);

    assert!(matches!(late, AdmitDecision::TooLate(after) if after.0 > 0), "{late:?}");
}

#[test]
fn queued_request_that_can_no_longer_meet_its_deadline_is_shed() {
    // Symptom: in an overload the engines compute answers whose callers have stopped waiting.
    // Sequence: a request waits in the queue until less time is left than its first token takes.
    // Cause: queued requests were started however late they were.
    let mut admission = FairAdmission::default();
    for ticket in 0..3 {
        admission.arrive(request("acme", ticket, 400), &ample_limits(), &OPTIONS, NOW);
    }
    admission.started();

    let action = admission.next(&OPTIONS, Moment(NOW.0 + 350));

    assert_eq!(action, Some(QueueAction::Shed(request("acme", 2, 400))));
    assert_eq!(admission.starting(), 1);
}

#[test]
fn rate_over_the_limit_is_refused_with_a_retry_delay() {
    let mut admission = FairAdmission::default();
    let usage = CustomerUse { rate: RequestRate(2), ..ample_limits() };
    let options = AdmitOptions { slots: 1_000, ..OPTIONS };

    let decisions: Vec<AdmitDecision> = (0..6)
        .map(|ticket| admission.arrive(request("acme", ticket, 60_000), &usage, &options, NOW))
        .collect();

    assert_eq!(decisions.iter().filter(|d| **d == AdmitDecision::Admit).count(), 4);
    let refused = decisions.last().unwrap();
    assert!(matches!(refused, AdmitDecision::OverLimit(after) if after.0 <= 500), "{refused:?}");
}

#[test]
fn limits_are_split_by_use_and_each_daemon_has_a_share() {
    // Symptom: a customer gets its complete limit at each daemon, or nothing at an idle one.
    // Sequence: nine requests of a limit of ten run at a peer; this daemon gets more.
    // Cause: each daemon counted the limit for itself.
    let mut admission = FairAdmission::default();
    let usage = CustomerUse { concurrency: 10, peers_running: 9, daemons: 2, ..ample_limits() };
    let options = AdmitOptions { slots: 1_000, ..OPTIONS };

    let admitted = (0..10)
        .map(|ticket| admission.arrive(request("acme", ticket, 60_000), &usage, &options, NOW))
        .filter(|decision| *decision == AdmitDecision::Admit)
        .count();

    assert!((1..=5).contains(&admitted), "{admitted}");
}

#[test]
fn abandoned_request_leaves_the_queue() {
    let mut admission = FairAdmission::default();
    for ticket in 0..4 {
        admission.arrive(request("acme", ticket, 60_000), &ample_limits(), &OPTIONS, NOW);
    }

    admission.abandon(&customer("acme"), 2);
    admission.started();

    let next = admission.next(&OPTIONS, NOW);
    assert_eq!(next, Some(QueueAction::Start(request("acme", 3, 60_000))));
    assert_eq!(admission.waiting(), 0);
}

#[test]
fn retries_are_limited_to_a_fraction_of_first_attempts() {
    let mut budget = RetryBudget::default();
    let saved = (0..1_000).filter(|_| budget.spend()).count();

    (0..100).for_each(|_| budget.earn());
    let earned = (0..1_000).filter(|_| budget.spend()).count();

    assert_eq!((saved, earned), (20, 10));
}
