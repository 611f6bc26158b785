//! How long an upstream works on a stream or request that the daemon has given up, also while the
//! daemon's thread gets no turn.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod support;

use guava_serve::{RepeatRule, serve_request};
use guava_types::Deadline;
use std::rc::Rc;
use std::thread::sleep;
use std::time::{Duration, Instant};
use support::scripted::{ScriptStep, ScriptedUpstream, chunk, last_chunk, stream_head};
use support::served::{CallerResult, context, read, run};
use support::{config, id, request, route};
use yare::parameterized;

/// How long two upstreams may work on one stream.
const MAX_OVERLAP: Duration = Duration::from_millis(400);
/// How long an upstream may work on a request whose caller has left.
const MAX_GONE: Duration = Duration::from_millis(500);
/// How long the daemon's thread gets no turn.
const STALL: Duration = Duration::from_millis(700);

/// An upstream that sends this, and then nothing until its client closes the connection.
fn silent_after(head: Vec<ScriptStep>) -> ScriptedUpstream {
    ScriptedUpstream::start(vec![[head, vec![ScriptStep::AwaitClose]].concat()])
}

fn first_event() -> Vec<ScriptStep> {
    vec![stream_head(), chunk("id: 1\ndata: one\n\n")]
}

fn await_close(upstream: &ScriptedUpstream) -> Instant {
    let started = Instant::now();
    loop {
        if let Some(closed) = upstream.closed().first() {
            return *closed;
        }
        assert!(started.elapsed() < Duration::from_secs(5), "the connection stays open");
        sleep(Duration::from_millis(5));
    }
}

/// Blocks the thread once an upstream has a request.
async fn stall_after_send(upstream: ScriptedUpstream) {
    while upstream.begun().is_empty() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    sleep(STALL);
}

#[test]
fn silent_engine_is_closed_though_the_daemon_gets_no_turn() {
    // Guards against two engines that work on one stream for as long as the daemon stands still.
    let engine = silent_after(first_event());
    let slow = ScriptedUpstream::start(vec![vec![
        ScriptStep::Wait(1_000),
        stream_head(),
        chunk("id: 2\ndata: two\n\n"),
        last_chunk(),
    ]]);

    let result = run(async {
        let context = context(&[&engine, &slow]);
        context.upstreams.borrow_mut().note_crashed(&id("u1"), Deadline::in_millis(400));
        let mut route = route("/x/", "app", RepeatRule::ResumableStream);
        route.time_limit_ms = 10_000;
        tokio::task::spawn_local(stall_after_send(slow.clone()));
        read(serve_request(&context, &Rc::new(config(1)), request(route)).await).await
    });

    let body = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n".to_owned();
    assert_eq!(result, CallerResult::Answer { status: 200, body, is_complete: true });
    let overlap = await_close(&engine).saturating_duration_since(slow.begun()[0]);
    assert!(overlap < MAX_OVERLAP, "{overlap:?}");
}

#[parameterized(
    before_the_head = { Vec::new(), RepeatRule::NonIdempotent },
    before_the_first_event = { vec![stream_head()], RepeatRule::ResumableStream },
    within_the_stream = { first_event(), RepeatRule::ResumableStream },
)]
fn request_whose_caller_left_is_closed_though_the_daemon_gets_no_turn(
    head: Vec<ScriptStep>,
    repeat: RepeatRule,
) {
    // Guards against upstreams that work on for callers that have left.
    let engine = silent_after(head);

    let left = run(async {
        let context = context(&[&engine]);
        let config = Rc::new(config(1));
        let serving = async {
            read(serve_request(&context, &config, request(route("/x/", "app", repeat))).await).await
        };
        assert!(tokio::time::timeout(Duration::from_millis(300), serving).await.is_err());
        let left = Instant::now();
        sleep(STALL);
        left
    });

    let worked_on = await_close(&engine).saturating_duration_since(left);
    assert!(worked_on < MAX_GONE, "{worked_on:?}");
}

#[test]
fn request_that_timed_out_is_closed_though_the_daemon_gets_no_turn() {
    // Guards against upstreams that work on after the daemon has answered that the time is over.
    let engine = silent_after(Vec::new());

    let answered = run(async {
        let context = context(&[&engine]);
        let mut route = route("/x/", "app", RepeatRule::NonIdempotent);
        route.time_limit_ms = 200;
        let result = read(serve_request(&context, &Rc::new(config(1)), request(route)).await).await;
        assert_eq!(result, CallerResult::TimedOut);
        let answered = Instant::now();
        sleep(STALL);
        answered
    });

    let worked_on = await_close(&engine).saturating_duration_since(answered);
    assert!(worked_on < MAX_GONE, "{worked_on:?}");
}
