//! How long an upstream works on a stream or request that the daemon has given up, also while the
//! daemon's thread gets no turn.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod support;

use guava_serve::{RepeatRule, serve_request};
use std::rc::Rc;
use std::thread::sleep;
use std::time::{Duration, Instant};
use support::scripted::{ScriptStep, ScriptedUpstream, chunk, stream_head};
use support::served::{CallerResult, context, read, run};
use support::{config, request, route};
use yare::parameterized;

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
