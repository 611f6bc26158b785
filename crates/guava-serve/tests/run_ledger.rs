//! Permits to send a request: how many runs they stand for, and when these stop counting.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod support;

use guava_serve::{
    AcceptedRequest, AnswerMarks, NotRunProof, PermitGround, RepeatRule, RouteRule, RunLedger,
    SendBar, SendPermit, SendRecord,
};
use support::{request, route};

fn record(repeat: RepeatRule, max_attempts: u32, run_limit: Option<u32>) -> SendRecord {
    let route = RouteRule { max_attempts, ..route("/x/", "app", repeat) };
    SendRecord::new(&AcceptedRequest { run_limit, ..request(route) })
}

fn refusal(answered: Option<&str>) -> AnswerMarks {
    AnswerMarks { is_not_run: true, request: answered.map(Into::into), ..AnswerMarks::default() }
}

#[yare::parameterized(
    non_idempotent = { RepeatRule::NonIdempotent, 3, None, 1 },
    idempotent = { RepeatRule::Idempotent, 3, None, 3 },
    stream_that_may_be_resumed = { RepeatRule::ResumableStream, 2, None, 2 },
    stream_that_may_not = { RepeatRule::Stream, 2, None, 1 },
    route_without_a_number = { RepeatRule::Idempotent, 0, None, 1 },
    forwarded = { RepeatRule::Idempotent, 3, Some(2), 2 },
    forwarded_with_more_than_the_route_permits = { RepeatRule::Idempotent, 3, Some(9), 3 },
    non_idempotent_forwarded_with_more = { RepeatRule::NonIdempotent, 3, Some(9), 1 },
    forwarded_without_any = { RepeatRule::Idempotent, 3, Some(0), 0 },
)]
fn request_gets_as_many_permits_as_it_may_run(
    repeat: RepeatRule,
    max_attempts: u32,
    run_limit: Option<u32>,
    expected: usize,
) {
    let mut record = record(repeat, max_attempts, run_limit);

    let permits: Vec<SendPermit> = (0..4).map_while(|_| record.permit(false).ok()).collect();

    assert_eq!(permits.len(), expected);
    assert!(record.permit(false).is_err());
}

#[test]
fn runs_of_a_dropped_permit_stay_counted() {
    let mut ledger = RunLedger::new(1);

    assert!(ledger.permit(1, PermitGround::First).is_some());

    assert_eq!((ledger.runs(), ledger.bar()), (1, Some(SendBar::MayHaveRun)));
}

#[test]
fn runs_of_an_unspent_permit_come_back() {
    let mut record = record(RepeatRule::NonIdempotent, 1, None);
    let permit = record.permit(false).unwrap();

    record.ledger.give_back(permit);
    record.unreached += 1;

    let next = record.permit(false).unwrap();
    assert_eq!((next.first(), next.ground()), (1, PermitGround::NotRun));
}

#[test]
fn runs_of_a_spent_permit_come_back_with_proof() {
    let mut ledger = RunLedger::new(1);
    let spent = ledger.permit(1, PermitGround::First).unwrap().spend();

    let proof = NotRunProof::of_refusal(&refusal(Some("r1")), "r1", false).unwrap();
    ledger.give_back(spent.restore(proof));

    assert_eq!(ledger.runs(), 0);
}

#[yare::parameterized(
    refusal_of_this_request = { refusal(Some("r1")), false, true },
    refusal_of_another_request = { refusal(Some("r0")), true, false },
    unnamed_first_answer = { refusal(None), true, true },
    unnamed_later_answer = { refusal(None), false, false },
    other_answer = { AnswerMarks { request: Some("r1".into()), ..AnswerMarks::default() }, true, false },
)]
fn only_a_refusal_of_the_request_itself_proves_that_it_did_not_run(
    marks: AnswerMarks,
    is_first_answer: bool,
    expected: bool,
) {
    let proof = NotRunProof::of_refusal(&marks, "r1", is_first_answer);

    assert_eq!(proof.is_some(), expected);
}

#[yare::parameterized(
    non_idempotent = { RepeatRule::NonIdempotent, 3, false, 1 },
    one_is_kept_for_a_lost_answer = { RepeatRule::Idempotent, 3, true, 2 },
    the_only_one = { RepeatRule::Idempotent, 1, true, 1 },
    none_is_kept_without_a_further_send = { RepeatRule::ResumableStream, 3, false, 3 },
)]
fn peer_gets_the_runs_that_are_not_needed_here(
    repeat: RepeatRule,
    max_attempts: u32,
    is_sent_again: bool,
    expected: u32,
) {
    let mut record = record(repeat, max_attempts, None);

    let permit = record.permit_forward(is_sent_again).unwrap();

    assert_eq!((permit.runs(), record.ledger.runs()), (expected, expected));
}

#[test]
fn further_runs_are_permitted_as_repeats_or_resumptions() {
    let mut record = record(RepeatRule::ResumableStream, 3, None);

    let grounds: Vec<PermitGround> =
        [false, false, true].map(|resumes| record.permit(resumes).unwrap().ground()).into();

    let expected = [PermitGround::First, PermitGround::Repeatable, PermitGround::Resumption];
    assert_eq!(grounds, expected);
}

#[test]
fn request_is_not_sent_a_fifth_time_though_it_has_not_run() {
    let mut record = record(RepeatRule::Idempotent, 9, None);
    record.unreached = 4;

    assert_eq!(record.permit(false).unwrap_err(), SendBar::Attempts);
}
