//! Streams that go on at the software version that began them.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod support;

use guava_serve::{
    AcceptedRequest, MAX_CANDIDATES, RepeatRule, ServeContext, UpstreamEntry, UpstreamTable,
    serve_request,
};
use guava_types::Moment;
use std::rc::Rc;
use std::time::{Duration, Instant};
use support::scripted::{ScriptStep, ScriptedUpstream, chunk, last_chunk, stream_head};
use support::served::{CallerResult, caller_answer, context, read, run};
use support::{config, engine, id, request, route, upstream};
use yare::parameterized;

/// Time within which a stream that can't go on is refused.
const AT_ONCE: Duration = Duration::from_millis(500);

/// A stream of three events: the first engine breaks off after one, the others go on after that.
fn engines(count: usize) -> Vec<ScriptedUpstream> {
    let going_on = || {
        ScriptedUpstream::with_script(|_, head| match head.contains("x-resume: 1") {
            true => vec![stream_head(), chunk("id: 2\ndata: b\n\n"), last_chunk()],
            false => vec![
                stream_head(),
                chunk("id: 1\ndata: a\n\n"),
                ScriptStep::Wait(20),
                ScriptStep::Reset,
            ],
        })
    };
    (0..count).map(|_| going_on()).collect()
}

/// A daemon before upstreams with these software versions.
fn daemon(upstreams: &[(&ScriptedUpstream, &str)]) -> Rc<ServeContext> {
    let context = context(&[]);
    for (index, (scripted, software)) in upstreams.iter().enumerate() {
        // An empty version is one that the list does not state.
        let software = software.parse().ok();
        let entry = upstream(&format!("u{index}"), "app");
        let entry = UpstreamEntry { address: scripted.address, software, ..entry };
        context.upstreams.borrow_mut().note_entry(entry);
    }
    context
}

fn stream_request() -> AcceptedRequest {
    request(route("/x/", "app", RepeatRule::ResumableStream))
}

fn serve(context: &Rc<ServeContext>, request: AcceptedRequest) -> CallerResult {
    run(async { read(serve_request(context, &Rc::new(config(1)), request).await).await })
}

const FIRST: &str = "id: 1\ndata: a\n\n";
const REST: &str = "id: 2\ndata: b\n\n";

#[test]
fn broken_stream_is_resumed_at_the_version_that_began_it() {
    let engines = engines(4);
    let upstreams =
        [(&engines[0], "v1"), (&engines[1], "v2"), (&engines[2], "v1"), (&engines[3], "v2")];

    for _ in 0..8 {
        let context = daemon(&upstreams);
        let result = serve(&context, stream_request());

        assert_eq!(result, caller_answer(200, format!("{FIRST}{REST}").into_bytes(), true));
    }

    let runs = |versions: [usize; 2]| -> (usize, usize) {
        let requests: Vec<String> =
            versions.iter().flat_map(|index| engines[*index].requests()).collect();
        let resumed = requests.iter().filter(|head| head.contains("x-resume")).count();
        (requests.len() - resumed, resumed)
    };
    for (begun, resumed) in [runs([0, 2]), runs([1, 3])] {
        assert_eq!(begun, resumed);
    }
}

#[parameterized(other_version = { "v1", "v2" }, version_not_stated = { "", "" })]
fn broken_stream_ends_at_once_without_another_upstream_of_its_version(one: &str, other: &str) {
    let engines = engines(2);
    let context = daemon(&[(&engines[0], one), (&engines[1], other)]);

    let begun = Instant::now();
    let result = serve(&context, stream_request());

    assert_eq!(result, caller_answer(200, FIRST.as_bytes().to_vec(), false));
    assert!(begun.elapsed() < AT_ONCE, "{:?}", begun.elapsed());
    assert_eq!(engines[0].requests().len() + engines[1].requests().len(), 1);
}

#[test]
fn upstreams_of_a_rare_version_are_found_in_a_large_service() {
    // Guards against streams that are refused since a daemon's subset has none of their version.
    let mut table = UpstreamTable::default();
    for index in 0..1_000 {
        let software = if index % 500 == 3 { "v0" } else { "v1" };
        let entry = engine(&format!("e{index}"), 1);
        table.note_entry(UpstreamEntry { software: Some(software.parse().unwrap()), ..entry });
    }
    let (service, now) = ("llm".parse().unwrap(), Moment::now());
    let of = |software: &str| {
        let daemon = "d1".parse().unwrap();
        table.candidates_of(&service, &software.parse().unwrap(), &daemon, now).len()
    };

    assert_eq!((of("v0"), of("v1"), of("v2")), (2, MAX_CANDIDATES, 0));
}

#[test]
fn software_version_of_a_start_stays_known_if_a_peer_does_not_state_it() {
    let mut table = UpstreamTable::default();
    let stated = engine("e1", 1);
    table.note_entry(stated.clone());

    table.note_entry(UpstreamEntry { software: None, slots: 9, ..stated.clone() });

    assert_eq!(table.entry(&id("e1")).unwrap().software, stated.software);
}
