//! Daemons that reach no upstream: who serves their requests, and who takes over their tasks.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod support;

use guava_policy::ReachChange;
use guava_serve::{
    AcceptedRequest, ConnectionUse, MemberDescriptor, MemberTable, PeerRole, RepeatRule, RouteRule,
    ServeContext, UpstreamEntry, serve_request, watch_reach,
};
use guava_types::Moment;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::sleep;
use std::time::Duration;
use support::scripted::{ScriptStep, ScriptedUpstream};
use support::served::{CallerResult, caller_answer, context, read, run};
use support::{address, config, note, request, route, upstream};

const NOW: Moment = Moment(100_000);

fn member(name: &str, data_centre: &str, callers: SocketAddr) -> MemberDescriptor {
    MemberDescriptor {
        data_centre: data_centre.parse().unwrap(),
        caller_address: callers,
        ..note(name)
    }
}

/// The table of daemon `d0` with three others, of which `d1` and `d2` stand in its data centre.
fn members(cut_off: &[&str]) -> MemberTable {
    let mut members = MemberTable::new("east".parse().unwrap());
    members.note_listed();
    for (name, data_centre, port) in [("d1", "east", 1), ("d2", "east", 2), ("d3", "west", 3)] {
        members.note_from_peer(member(name, data_centre, address(port)), NOW);
        let is_cut_off = cut_off.contains(&name);
        let role = PeerRole { is_cut_off, ..PeerRole::default() };
        members.note_role(&name.parse().unwrap(), role);
    }
    members.note_cut_off(cut_off.contains(&"d0"));
    members
}

fn ports(mut addresses: Vec<SocketAddr>) -> Vec<u16> {
    addresses.sort_unstable();
    addresses.iter().map(SocketAddr::port).collect()
}

#[yare::parameterized(
    none = { &[], &[1, 2, 3, 9] },
    a_peer = { &["d2"], &[1, 3, 9] },
    this_one = { &["d0"], &[1, 2, 3] },
    all_others = { &["d1", "d2", "d3"], &[9] },
    all = { &["d0", "d1", "d2", "d3"], &[1, 2, 3, 9] },
)]
fn callers_are_directed_to_daemons_that_reach_upstreams(cut_off: &[&str], expected: &[u16]) {
    let members = members(cut_off);

    let given = members.all_caller_addresses(Some(address(9)), NOW, 5);

    assert_eq!(ports(given), expected);
}

#[test]
fn requests_are_forwarded_within_the_data_centre_first() {
    let targets: Vec<u16> =
        members(&["d0", "d1"]).forward_targets(NOW).iter().map(SocketAddr::port).collect();

    assert_eq!(targets, [2, 3]);
    assert_eq!(members(&["d0", "d1", "d2", "d3"]).forward_targets(NOW), []);
}

#[test]
fn tasks_at_upstreams_go_to_daemons_that_reach_them() {
    let me = "d0".parse().unwrap();
    let subjects = (0..32).map(|number| format!("task-{number}"));
    let first_of_others: Vec<String> =
        subjects.filter(|subject| members(&[]).rank(&me, subject, NOW) > 0).collect();

    let is_first_alone = |subject: &String| {
        members(&["d1", "d2", "d3"]).rank(&me, subject, NOW) == 0
            && members(&["d0"]).rank(&me, subject, NOW) == usize::MAX
            && members(&["d0"]).local_rank(&me, subject, NOW) == usize::MAX
    };

    assert!(!first_of_others.is_empty());
    assert!(first_of_others.iter().all(is_first_alone));
}

/// A daemon that knows upstreams at which nobody listens, and the daemons to which it may forward.
fn unreached_daemon(upstreams: usize, peers: &[&ScriptedUpstream]) -> Rc<ServeContext> {
    let context = context(&[]);
    let now = Moment::now();
    for number in 0..upstreams {
        let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = closed.local_addr().unwrap();
        let entry = UpstreamEntry { address, ..upstream(&format!("u{number}"), "app") };
        context.upstreams.borrow_mut().note_entry(entry);
    }
    for (number, peer) in peers.iter().enumerate() {
        // The first stands in this data centre, so it is tried first.
        let data_centre = if number == 0 { "east" } else { "west" };
        let peer = member(&format!("peer-{number}"), data_centre, peer.address);
        context.members.borrow_mut().note_from_peer(peer, now);
    }
    context
}

/// A daemon that has lost its links, and the daemons to which it may forward.
fn cut_off_daemon(peers: &[&ScriptedUpstream]) -> Rc<ServeContext> {
    let context = unreached_daemon(0, peers);
    let change = context.reach.borrow_mut().note_unreached_sample(Moment::now());
    assert_eq!(change, Some(ReachChange::Lost));
    context
}

fn app_request(repeat: RepeatRule) -> AcceptedRequest {
    request(route("/x/", "app", repeat))
}

fn serve(context: &Rc<ServeContext>, request: AcceptedRequest) -> CallerResult {
    let config = Rc::new(config(7));
    run(async { read(serve_request(context, &config, request).await).await })
}

fn answers(head: &str, body: &str) -> ScriptedUpstream {
    let head = format!("HTTP/1.1 {head}\r\ncontent-length: {}\r\n", body.len());
    ScriptedUpstream::start(vec![vec![ScriptStep::SendBytes(format!("{head}\r\n{body}"))]])
}

fn unserved() -> ScriptedUpstream {
    answers("503 Unavailable\r\nguava-unserved: 1", "")
}

#[test]
fn answer_of_another_daemon_is_relayed() {
    let peer = answers("200 OK", "done");

    let result = serve(&cut_off_daemon(&[&peer]), app_request(RepeatRule::NonIdempotent));

    assert_eq!(result, caller_answer(200, b"done".to_vec(), true));
    assert!(peer.requests()[0].contains("guava-forwarded: 7"), "{:?}", peer.requests());
}

#[test]
fn request_that_another_daemon_can_not_serve_goes_to_one_more() {
    let (first, second) = (unserved(), answers("200 OK", "done"));

    let result = serve(&cut_off_daemon(&[&first, &second]), app_request(RepeatRule::NonIdempotent));

    assert_eq!(result, caller_answer(200, b"done".to_vec(), true));
}

#[test]
fn non_idempotent_request_whose_answer_another_daemon_lost_is_not_sent_again() {
    let first = ScriptedUpstream::start(vec![vec![ScriptStep::Reset]]);
    let second = answers("200 OK", "done");

    let result = serve(&cut_off_daemon(&[&first, &second]), app_request(RepeatRule::NonIdempotent));

    assert_eq!((result, second.requests().len()), (CallerResult::Lost, 0));
}

#[test]
fn stream_that_another_daemon_may_have_begun_is_not_begun_again() {
    // Guards against a stream that two daemons know by the same id, at two software versions.
    let first = ScriptedUpstream::start(vec![vec![ScriptStep::Reset]]);
    let second = answers("200 OK", "done");

    let result =
        serve(&cut_off_daemon(&[&first, &second]), app_request(RepeatRule::ResumableStream));

    assert_eq!((result, second.requests().len()), (CallerResult::Lost, 0));
}

#[test]
fn stream_that_is_taken_up_goes_to_one_more_daemon_where_an_answer_is_lost() {
    let first = ScriptedUpstream::start(vec![vec![ScriptStep::Reset]]);
    let second = answers("200 OK", "done");
    let stream = app_request(RepeatRule::ResumableStream);
    let taken_up = AcceptedRequest { resumes: Some("first".into()), ..stream };

    let result = serve(&cut_off_daemon(&[&first, &second]), taken_up);

    assert_eq!(result, caller_answer(200, b"done".to_vec(), true));
}

#[test]
fn idempotent_request_whose_answer_another_daemon_lost_goes_to_one_more() {
    let first = ScriptedUpstream::start(vec![vec![ScriptStep::Reset]]);
    let second = answers("200 OK", "done");

    let result = serve(&cut_off_daemon(&[&first, &second]), app_request(RepeatRule::Idempotent));

    assert_eq!(result, caller_answer(200, b"done".to_vec(), true));
}

#[test]
fn refusal_of_a_second_daemon_is_none_of_what_the_first_may_have_run() {
    // Guards against a caller that is told "not run" of a request that may have run.
    let first = ScriptedUpstream::start(vec![vec![ScriptStep::Reset]]);
    let second = answers("503 Full", "");

    let result = serve(&cut_off_daemon(&[&first, &second]), app_request(RepeatRule::Idempotent));

    assert_eq!((result, second.requests().len()), (CallerResult::Lost, 1));
}

#[test]
fn answer_of_another_daemon_to_another_request_is_not_relayed() {
    // Guards against a stray answer, or a daemon that took over the address of another.
    let first = answers("200 OK\r\nx-request: r0", "stray");
    let second = answers("200 OK", "done");

    let result = serve(&cut_off_daemon(&[&first, &second]), app_request(RepeatRule::NonIdempotent));

    assert_eq!((result, second.requests().len()), (CallerResult::Lost, 0));
}

#[test]
fn answer_that_another_daemon_breaks_off_is_not_complete() {
    let head = "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf";
    let script = vec![ScriptStep::SendBytes(head.to_owned()), ScriptStep::Close];
    let peer = ScriptedUpstream::start(vec![script]);

    let result = serve(&cut_off_daemon(&[&peer]), app_request(RepeatRule::NonIdempotent));

    assert_eq!(result, caller_answer(200, b"half".to_vec(), false));
}

#[test]
fn forwarded_request_is_not_forwarded_again() {
    let peer = answers("200 OK", "done");
    let request = AcceptedRequest { is_forwarded: true, ..app_request(RepeatRule::Idempotent) };

    let result = serve(&cut_off_daemon(&[&peer]), request);

    assert_eq!((result, peer.requests().len()), (CallerResult::NotRun, 0));
}

#[test]
fn request_is_refused_if_no_other_daemon_can_serve_it() {
    let peers = [unserved(), unserved()];

    let result =
        serve(&cut_off_daemon(&[&peers[0], &peers[1]]), app_request(RepeatRule::Idempotent));

    assert_eq!(result, CallerResult::NotRun);
}

#[test]
fn request_that_reaches_neither_of_two_upstreams_is_forwarded_before_the_links_count_as_lost() {
    // Guards against a request that is refused though another daemon reaches its upstreams.
    let peer = answers("200 OK", "done");

    let result = serve(&unreached_daemon(2, &[&peer]), app_request(RepeatRule::NonIdempotent));

    assert_eq!(result, caller_answer(200, b"done".to_vec(), true));
}

/// A peer that loses the answer to each request, and the upstreams that are listed before it does.
struct LosingPeer {
    peer: ScriptedUpstream,
    may_reset: Arc<AtomicBool>,
}

impl LosingPeer {
    fn start() -> Self {
        let may_reset = Arc::new(AtomicBool::new(false));
        let is_due = Arc::clone(&may_reset);
        let peer = ScriptedUpstream::with_script(move |_, _| {
            while !is_due.load(Ordering::SeqCst) {
                sleep(Duration::from_millis(1));
            }
            vec![ScriptStep::Reset]
        });
        Self { peer, may_reset }
    }

    /// Serves a request at a daemon that reaches neither of two upstreams. While the peer holds it,
    /// these upstreams are listed.
    fn serve_beside(
        &self,
        upstreams: &[&ScriptedUpstream],
        request: AcceptedRequest,
    ) -> CallerResult {
        let context = unreached_daemon(2, &[&self.peer]);
        let listed: Vec<UpstreamEntry> = upstreams
            .iter()
            .enumerate()
            .map(|(number, scripted)| UpstreamEntry {
                address: scripted.address,
                ..upstream(&format!("late-{number}"), "app")
            })
            .collect();
        let config = Rc::new(config(7));
        run(async {
            let serving = serve_request(&context, &config, request);
            let listing = async {
                while self.peer.requests().is_empty() {
                    tokio::time::sleep(Duration::from_millis(1)).await;
                }
                listed.into_iter().for_each(|one| {
                    context.upstreams.borrow_mut().note_entry(one);
                });
                self.may_reset.store(true, Ordering::SeqCst);
            };
            read(futures_util::future::join(serving, listing).await.0).await
        })
    }

    /// Runs that the peer may use, over all requests; all that the route permits if it is told nothing.
    fn handed_over(&self, permitted: u32) -> u32 {
        let heads = self.peer.requests();
        let runs = heads.iter().map(|head| {
            let stated = head.lines().find_map(|line| line.strip_prefix("guava-runs: "));
            stated.map_or(permitted, |runs| runs.trim().parse().unwrap())
        });
        runs.sum()
    }
}

#[test]
fn non_idempotent_request_whose_answer_a_peer_lost_is_not_sent_from_here() {
    // Guards against a second run after a forward of a daemon that has lost some links only.
    let losing = LosingPeer::start();
    let sound = answers("200 OK", "done");

    let result = losing.serve_beside(&[&sound], app_request(RepeatRule::NonIdempotent));

    let sends = (losing.peer.requests().len(), sound.requests().len());
    assert_eq!((result, sends), (CallerResult::Lost, (1, 0)));
}

#[yare::parameterized(one = { 1 }, two = { 2 }, three = { 3 })]
fn idempotent_request_runs_no_more_often_over_all_daemons_than_its_route_permits(permitted: u32) {
    // Guards against runs here in addition to those that a peer may have used.
    let losing = LosingPeer::start();
    let resetting = [(); 3].map(|()| ScriptedUpstream::start(vec![vec![ScriptStep::Reset]]));
    let route =
        RouteRule { max_attempts: permitted, ..route("/x/", "app", RepeatRule::Idempotent) };

    losing.serve_beside(&resetting.each_ref(), request(route));

    let sends = resetting.iter().map(|one| one.requests().len() as u32).sum::<u32>();
    let handed_over = losing.handed_over(permitted);
    assert!(sends + handed_over <= permitted, "{sends} beside {handed_over}");
}

#[test]
fn connections_from_before_the_links_were_lost_carry_no_request_after() {
    // Guards against requests on connections that look open though the other end is gone.
    let peer = answers("200 OK", "done");
    let context = unreached_daemon(1, &[&peer]);

    let is_new = run(async {
        let idle = context.pool.open(peer.address, ConnectionUse::Requests).await.unwrap();
        context.pool.keep(idle, Some(60_000));
        tokio::task::spawn_local(watch_reach(Rc::clone(&context)));
        let request = app_request(RepeatRule::NonIdempotent);
        serve_request(&context, &Rc::new(config(7)), request).await;
        while !context.reach.borrow().is_lost() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        context.pool.reuse_or_open(peer.address, ConnectionUse::Requests).await.unwrap().is_new()
    });

    assert!(is_new);
}
