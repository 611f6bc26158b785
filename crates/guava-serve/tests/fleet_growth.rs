//! What the daemons of large deployments send, register and copy, and how it grows.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod support;

use bytes::Bytes;
use guava_serve::{
    CONFIG_PATH, CopyState, CoreRecord, ListChange, ListChangeEffect, ListCopy, ListRevision,
    MAX_LOCAL_CORE, MemberDescriptor, MemberRole, MemberTable, OperatorInput, PageRefusal, PeerKey,
    PeerRole, ReadMark, SPARSE_LOCAL_CORE, ServeContext, SyncInput, SyncStep, TransferBudget,
    UpstreamEntry, UpstreamTable, apply_copy, apply_message, changes_since, compose_attached_reads,
    compose_config, compose_message, compose_page, entries_since, is_copy_sufficient,
    operator_copy_ms, pass_to_attached, registration_pause, sync_step,
};
use guava_types::{ByteCount, CoreShare, FastMap, LinkRate, MemberName, Moment, RequestRate};
use http::{HeaderValue, StatusCode};
use std::net::SocketAddr;
use support::{address, engine, news, note, serve_context, upstream};
use yare::parameterized;

const CENTRES: [&str; 5] = ["east", "west", "south", "north", "middle"];
/// Core daemons of a large deployment.
const CORE: usize = MAX_LOCAL_CORE * CENTRES.len();
const START: Moment = Moment(10_000);
/// Time of one append at the modelled store, and the longest queue that it accepts, in milliseconds.
const APPEND_MS: u64 = 4;
const MAX_QUEUE_MS: u64 = 2_000;

/// One in twenty of the VMs is strong.
fn descriptor(index: usize) -> MemberDescriptor {
    let is_strong = (index / CENTRES.len()).is_multiple_of(20);
    MemberDescriptor {
        name: format!("d{index}").parse().unwrap(),
        data_centre: CENTRES[index % CENTRES.len()].parse().unwrap(),
        peer_address: SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], 7_700)),
        capacity: CoreShare(if is_strong { 1_000 } else { 120 }),
        ..note("d")
    }
}

/// The records of all daemons, in the order of their numbers.
fn records(daemons: usize) -> Vec<CoreRecord> {
    (0..daemons)
        .map(|index| CoreRecord { member: descriptor(index), registered: index as u64 })
        .collect()
}

/// The table of one daemon after it has read the records, when just the first daemons registered.
fn table(daemons: usize, index: usize) -> MemberTable {
    let mut members = MemberTable::new(descriptor(index).data_centre);
    let mut records = records(daemons.min(CORE));
    let own = (index < records.len()).then(|| records.remove(index).registered);
    members.note_records(records, own, START);
    members
}

/// Records that the store holds after all daemons have started at once, records that it refused, and
/// milliseconds until the last daemon knew its role.
fn registered(daemons: usize, writes: RequestRate) -> (usize, usize, u64) {
    let draw = |index: usize| ((index * 7_919) % 1_000) as f64 / 1_000.0;
    let pause = |index| {
        registration_pause(descriptor(index).capacity, writes, draw(index)).as_millis() as u64
    };
    let mut starts: Vec<(u64, usize)> = (0..daemons).map(|index| (pause(index), index)).collect();
    starts.sort_unstable();
    let (mut stored, mut refused, mut last, mut queue_end) = (Vec::new(), 0, 0, 0);
    for (started, index) in starts {
        let visible = stored.iter().filter(|(at, _): &&(u64, CoreRecord)| *at <= started);
        let visible = visible.map(|(_, record)| record.clone()).collect();
        let mut members = MemberTable::new(descriptor(index).data_centre);
        last = started;
        if members.note_records(visible, None, START) {
            continue;
        }
        if queue_end > started + MAX_QUEUE_MS {
            refused += 1;
            continue;
        }
        queue_end = queue_end.max(started) + APPEND_MS;
        let record = CoreRecord { member: descriptor(index), registered: stored.len() as u64 };
        stored.push((queue_end, record));
    }
    (stored.len(), refused, last.max(queue_end))
}

#[parameterized(
    three_hundred = { 300, 1_600 },
    thousand = { 1_000, 3_200 },
    two_thousand = { 2_000, 6_400 },
)]
fn first_registrations_are_bounded_and_not_refused(daemons: usize, writes: u64) {
    // Guards against appends that wait for each other until the store refuses them.
    let (stored, refused, _) = registered(daemons, RequestRate(writes));

    assert_eq!(refused, 0);
    assert!(stored <= 2 * CORE, "{stored} records");
}

#[test]
fn roles_are_known_within_five_seconds_of_the_first_start_of_a_thousand_daemons() {
    let (_, _, last_ms) = registered(1_000, RequestRate(3_200));

    assert!(last_ms < 5_000, "{last_ms} ms");
}

#[parameterized(three_hundred = { 300 }, thousand = { 1_000 }, two_thousand = { 2_000 })]
fn daemons_that_read_the_same_records_agree_on_a_bounded_core(daemons: usize) {
    let tables: Vec<MemberTable> =
        (0..daemons).step_by(7).map(|index| table(daemons, index)).collect();

    for (members, index) in tables.iter().zip((0..daemons).step_by(7)) {
        let is_first = index / CENTRES.len() < MAX_LOCAL_CORE;
        let role = if is_first { MemberRole::Core } else { MemberRole::Attached };
        assert_eq!(members.role(), role, "d{index}");
        assert!(members.peer_addresses(true).len() <= MAX_LOCAL_CORE);
        assert!(members.peer_addresses(false).len() <= CORE);
    }
}

#[parameterized(thousand = { 1_000 }, two_thousand = { 2_000 })]
fn attached_daemons_spread_over_the_core_of_their_data_centre(daemons: usize) {
    // Guards against core daemons that tell most of the fleet.
    let mut attached: FastMap<SocketAddr, usize> = FastMap::default();
    for index in (0..daemons).filter(|index| index / CENTRES.len() >= MAX_LOCAL_CORE) {
        let uplinks = table(daemons, index).uplinks(&descriptor(index).name, START);
        assert_eq!(uplinks.len(), 3);
        uplinks.into_iter().for_each(|uplink| *attached.entry(uplink).or_default() += 1);
    }

    let mean = 3 * (daemons - CORE) / CORE;
    let weak = (0..daemons).filter(|index| descriptor(*index).capacity.0 < 1_000);
    let of = |index| attached.get(&descriptor(index).peer_address).copied().unwrap_or(0);
    let most = weak.map(of).max().unwrap();
    assert!(most <= 3 * mean + 6, "{most} on one weak VM, the mean is {mean}");
}

#[test]
fn attached_daemon_takes_part_in_no_shared_task() {
    let members = table(1_000, 999);
    let me: MemberName = "d999".parse().unwrap();

    assert_eq!(members.role(), MemberRole::Attached);
    assert_eq!(members.reader_rank(&me, START), usize::MAX);
    assert_eq!(members.local_rank(&me, "store", START), usize::MAX);
    assert_eq!(members.sender_rank(&me, "u1"), Some(usize::MAX));
}

#[test]
fn silent_core_daemons_are_replaced_as_uplinks() {
    let mut members = table(1_000, 999);
    let me: MemberName = "d999".parse().unwrap();
    let later = Moment(START.0 + 5_000);
    let first = members.uplinks(&me, START);
    let alive = (0..320).map(descriptor).filter(|it| !first.contains(&it.peer_address));
    alive.for_each(|descriptor| {
        members.note_from_peer(descriptor, later);
    });

    let next = members.uplinks(&me, later);

    assert!(next.iter().all(|uplink| !first.contains(uplink)));
}

#[test]
fn attached_daemon_takes_the_place_of_a_lost_core() {
    // Guards against daemons that stay alone after all core daemons were lost for good.
    let mut members = table(1_000, 999);
    members.sweep(START);
    members.sweep(Moment(START.0 + 3_000));
    members.sweep(Moment(START.0 + 10_000));

    let mut left = records(1_000);
    left.truncate(CORE);
    let is_placed = members.note_records(left, None, Moment(START.0 + 10_000));

    assert!(!is_placed, "it is to register");
    assert_eq!(members.role(), MemberRole::Core);
}

#[test]
fn deployment_size_includes_daemons_that_are_attached_elsewhere() {
    // Guards against shares of a budget that are too large, since each daemon knows few others.
    let mut core = table(1_000, 0);
    for index in 1..320 {
        core.note_from_peer(descriptor(index), START);
        let role = PeerRole { attached: 6, ..PeerRole::default() };
        core.note_role(&descriptor(index).name, role);
    }
    let mut attached = table(1_000, 999);
    let own_role = core.own_role(START);
    attached.note_role(&descriptor(1).name, own_role);

    let (size, told) = (core.deployment_size(START), attached.deployment_size(START));

    assert!((900..1_100).contains(&size), "{size}");
    assert!(told >= size, "{told} and {size}");
}

#[test]
fn callers_get_attached_daemons_as_often_as_core_daemons() {
    let mut core = table(1_000, 0);
    for index in 1..320 {
        core.note_from_peer(descriptor(index), START);
        let role = PeerRole { attached: 6, ..PeerRole::default() };
        core.note_role(&descriptor(index).name, role);
    }
    for index in 990..996 {
        core.note_from_peer(descriptor(index), START);
        core.note_role(
            &descriptor(index).name,
            PeerRole { role: MemberRole::Attached, ..PeerRole::default() },
        );
    }

    let callers = core.caller_addresses(START, 5).len();

    assert!((6 + 3..=6 + 5).contains(&callers), "{callers}");
}

#[test]
fn marks_for_attached_daemons_keep_the_age_of_the_read() {
    // Guards against old reads that look fresh after they were passed on.
    let context = serve_context("d2");
    let now = Moment::now();
    let read = Moment(now.0 - 700);
    let digest = context.upstreams.borrow().digest();
    context.reads.borrow_mut().list.note_own(digest, Moment(now.0 - 1_500));
    context.reads.borrow_mut().list.note_from_peer(ReadMark { state: digest, as_of: read });

    let marks = compose_attached_reads(&context, &note("d2"), now);

    assert_eq!(marks.last().unwrap().list, Some(ReadMark { state: digest, as_of: read }));
}

#[test]
fn changes_are_passed_to_attached_daemons_with_the_mark_of_the_read_that_found_them() {
    // Guards against attached daemons that read the store because they have a part of the changes.
    let context = serve_context("d2");
    let now = Moment::now();
    let empty = context.upstreams.borrow().digest();
    context.reads.borrow_mut().list.note_own(empty, Moment(now.0 - 5_000));
    let mark = |state, age_ms| ReadMark { state, as_of: Moment(now.0 - age_ms) };
    context.reads.borrow_mut().list.note_from_peer(mark(empty, 500));
    context.upstreams.borrow_mut().note_entry(engine("e1", 1));
    context.attached_change_gossip.borrow_mut().note(ListChange::Entry(engine("e1", 1)), now);
    let before = compose_attached_reads(&context, &note("d2"), now);

    let digest = context.upstreams.borrow().digest();
    context.reads.borrow_mut().list.note_from_peer(mark(digest, 100));

    let after = compose_attached_reads(&context, &note("d2"), now);
    assert!(before.iter().all(|message| message.list.is_none() && message.listed.is_empty()));
    assert_eq!(after.last().unwrap().list, Some(mark(digest, 100)));
    assert_eq!(after.last().unwrap().listed.len(), 1);
}

#[test]
fn changes_that_a_peer_reports_are_passed_to_attached_daemons_once() {
    let context = serve_context("d2");
    let now = Moment::now();
    let attached = serve_context("d3");
    let mut hello = compose_message(&attached, news("d3"), now);
    hello.role.role = MemberRole::Attached;
    apply_message(&context, hello, now);
    let digest = context.upstreams.borrow().digest();
    context.reads.borrow_mut().list.note_own(digest, now);
    let change = ListChange::Entry(engine("e1", 1));

    pass_to_attached(&context, change.clone(), ListChangeEffect::Added, now);
    pass_to_attached(&context, change.clone(), ListChangeEffect::Same, now);

    let marks = compose_attached_reads(&context, &note("d2"), now);
    assert_eq!(marks.last().unwrap().listed, [change]);
    assert!(compose_message(&context, news("d2"), now).listed.is_empty());
}

/// Milliseconds until all daemons have the list after the reader has it, when each asks the peers
/// that its table names until one sends it; and the bytes that the busiest weak VM sent.
fn copied(daemons: usize, upstreams: u64) -> (u64, u64) {
    const ENTRY_BYTES: u64 = 60;
    const RETRY_MS: u64 = 350;
    let tables: Vec<MemberTable> = (0..daemons).map(|index| table(daemons, index)).collect();
    let link = |index| if descriptor(index).capacity.0 < 1_000 { 2_500_000 } else { 125_000_000 };
    let mut budgets: Vec<TransferBudget> =
        (0..daemons).map(|index| TransferBudget::new(LinkRate(link(index)), START)).collect();
    let places: FastMap<SocketAddr, usize> =
        (0..daemons).map(|index| (descriptor(index).status_address(), index)).collect();
    let mut has_list = vec![false; daemons];
    has_list[0] = true;
    let mut sent = vec![0; daemons];
    let size = upstreams * ENTRY_BYTES;
    for step in 0.. {
        let elapsed_ms = step * 50;
        let now = Moment(START.0 + elapsed_ms);
        let before = has_list.clone();
        let due = |index: usize| (index as u64 * 50) % RETRY_MS == elapsed_ms % RETRY_MS;
        for index in (0..daemons).filter(|index| !before[*index] && due(*index)) {
            let draw = (index as u64) << 20 | step;
            for source in tables[index].list_sources(draw, START) {
                let source = places[&source];
                if before[source] && budgets[source].is_open(now) {
                    budgets[source].take(ByteCount(size));
                    sent[source] += size;
                    has_list[index] = true;
                    break;
                }
            }
        }
        if has_list.iter().all(|has| *has) || elapsed_ms > 30_000 {
            let weak = (0..daemons).filter(|index| descriptor(*index).capacity.0 < 1_000);
            return (elapsed_ms, weak.map(|index| sent[index]).max().unwrap());
        }
    }
    unreachable!("the loop returns")
}

#[test]
fn a_list_reaches_twice_as_many_daemons_in_little_more_time() {
    let (once_ms, once_sent) = copied(1_000, 10_000);
    let (twice_ms, twice_sent) = copied(2_000, 20_000);
    // Half of a weak VM's link, a second of it at once, and one list.
    let allowed = |ms: u64, list: u64| 1_250 * (ms + 1_000) + list;

    assert!(once_sent <= allowed(once_ms, 600_000), "{once_sent} bytes in {once_ms} ms");
    assert!(twice_sent <= allowed(twice_ms, 1_200_000), "{twice_sent} bytes in {twice_ms} ms");
    assert!(once_ms <= 3_500, "{once_ms} ms");
    assert!(twice_ms <= 2 * once_ms, "{once_ms} ms and {twice_ms} ms");
}

#[test]
fn pages_contain_every_entry_once_and_few_bytes_for_each() {
    let context = serve_context("d1");
    let now = Moment::now();
    for index in 0..2_000 {
        let name = format!("i-{index:08x}");
        let entry = UpstreamEntry {
            address: address(index),
            revision: ListRevision(u64::from(index)),
            ..engine(&name, 1)
        };
        context.upstreams.borrow_mut().note_entry(entry);
    }
    let whole = Some("whole-since=0");
    assert_eq!(compose_page(&context, whole, now), Err(PageRefusal::Unavailable));
    context.upstreams.borrow_mut().note_read(now, false);
    let digest = context.upstreams.borrow().digest();
    context.reads.borrow_mut().list.note_own(digest, now);

    let page = compose_page(&context, whole, now).unwrap();

    assert!(page.len() < 600 * 70, "{} bytes", page.len());
    assert_eq!(compose_page(&context, Some("after=xyz"), now), Err(PageRefusal::Malformed));
}

#[parameterized(thousand = { 1_000 }, two_thousand = { 2_000 })]
fn core_is_smaller_where_daemons_use_subsets_of_the_upstreams(daemons: usize) {
    for index in (0..daemons).step_by(7) {
        let mut members = table(daemons, index);

        members.note_sparse(true);

        let is_first = index / CENTRES.len() < SPARSE_LOCAL_CORE;
        let role = if is_first { MemberRole::Core } else { MemberRole::Attached };
        assert_eq!(members.role(), role, "d{index}");
        assert!(members.peer_addresses(false).len() <= SPARSE_LOCAL_CORE * CENTRES.len());
        assert_eq!(members.uplinks(&descriptor(index).name, START).len(), 3);
    }
}

#[test]
fn core_daemon_that_knows_the_others_by_contact_only_leaves_a_smaller_core() {
    // Guards against daemons that registered early and take all that they hear from for core daemons.
    let mut members = MemberTable::new(descriptor(0).data_centre);
    members.note_records(Vec::new(), Some(30), START);
    for index in (5..300).step_by(CENTRES.len()) {
        members.note_from_peer(descriptor(index), START);
        let registered = Some(index as u64 / 5);
        members.note_role(&descriptor(index).name, PeerRole { registered, ..PeerRole::default() });
    }

    members.note_sparse(true);

    assert_eq!(members.role(), MemberRole::Attached);
    assert_eq!(members.peer_addresses(true).len(), SPARSE_LOCAL_CORE);
}

/// Changes that a peer gave as of now, with the digest of its list.
fn changes_of(peer: &ServeContext, changes: Vec<ListChange>) -> ListCopy {
    let digest = Some(peer.upstreams.borrow().digest());
    let (position, as_of) = (ListRevision(20), Moment::now());
    ListCopy { changes, is_whole: false, position, as_of, digest, end: Some(position) }
}

#[test]
fn copies_that_do_not_lead_to_the_peers_list_are_followed_by_the_whole_list() {
    // Guards against an upstream that is used for good though its removal was skipped.
    let (context, peer) = (serve_context("d1"), serve_context("d2"));
    for name in ["a", "b"] {
        context.upstreams.borrow_mut().note_entry(upstream(name, "app"));
    }
    peer.upstreams.borrow_mut().note_entry(upstream("a", "app"));
    apply_copy(&context, changes_of(&peer, Vec::new()));
    let after_one = context.upstreams.borrow().is_diverged();
    apply_copy(&context, changes_of(&peer, Vec::new()));
    let after_two = context.upstreams.borrow().is_diverged();
    let is_confirmed = context.reads.borrow().list.own().is_some();
    let position = context.upstreams.borrow().list_position();

    let entries = vec![ListChange::Entry(upstream("a", "app"))];
    apply_copy(&context, ListCopy { is_whole: true, ..changes_of(&peer, entries) });

    assert_eq!((after_one, after_two), (false, true));
    assert!(
        !is_confirmed && position == ListRevision(0),
        "the record that is lacking is not skipped"
    );
    assert!(!context.upstreams.borrow().is_diverged());
    assert_eq!(context.upstreams.borrow().digest(), peer.upstreams.borrow().digest());
}

/// A daemon that knows much or little of the list, as the newest mark shows.
fn sync_input(rank: usize, gap: u64, waited_ms: u64) -> SyncInput {
    SyncInput {
        is_due: true,
        rank,
        daemons: CORE,
        is_known: true,
        has_fresh_mark: true,
        is_attached: false,
        gap,
        waited_ms,
        copy_timeout_ms: 9_000,
        change_limit_ms: 2_100,
    }
}

#[parameterized(
    small = { 8, 100, 7 },
    large = { 120, 4_000, 8 },
    twice_as_large = { 240, 4_000, 2 },
)]
fn without_a_reader_the_others_read_one_after_the_other(daemons: usize, ms: u64, expected: usize) {
    // Guards against seconds without a list when the reader and its standbys don't start.
    let reads = |rank: &usize| {
        let unknown = SyncInput { daemons, is_known: false, ..sync_input(*rank, 0, ms) };
        sync_step(&unknown) == SyncStep::Read
    };

    assert_eq!((1..daemons).filter(reads).count(), expected);
}

#[test]
fn daemons_that_lack_many_records_don_t_ask_the_store_for_them() {
    // Guards against reads by all daemons while upstreams register by the thousand.
    let any_rank = usize::MAX;

    let (soon, late) = (
        sync_step(&sync_input(any_rank, 9_000, 4_000)),
        sync_step(&sync_input(any_rank, 9_000, 9_000)),
    );

    assert_eq!(soon, SyncStep::Copy { may_read: false, timeout_ms: 5_000 });
    assert_eq!(late, SyncStep::Read);
    assert_eq!(sync_step(&sync_input(0, 9_000, 0)), SyncStep::Read);
    let few = sync_step(&sync_input(any_rank, 3, 0));
    assert_eq!(few, SyncStep::Copy { may_read: true, timeout_ms: 300 });
    let alone = SyncInput { has_fresh_mark: false, ..sync_input(any_rank, 3, 0) };
    assert_eq!(sync_step(&alone), SyncStep::Read, "no peer tells what it reads");
    let attached = SyncInput { is_attached: true, ..alone };
    assert_eq!(sync_step(&attached), few, "its core daemons may have what they don't tell");
}

#[test]
fn changes_since_a_revision_are_few_and_tell_removals() {
    let mut table = UpstreamTable::default();
    for number in 0..1_000 {
        let entry = engine(&format!("e{number}"), 1);
        table.note_entry(UpstreamEntry { revision: ListRevision(number), ..entry });
    }
    table.note_entry(UpstreamEntry { revision: ListRevision(1_000), ..engine("e7", 2) });
    table.note_removed(&"e8".parse().unwrap(), START);
    table.note_removal(&"e8".parse().unwrap(), ListRevision(1_001));

    let changes = changes_since(&table, ListRevision(999), 600).unwrap();

    let ids: Vec<String> = changes.iter().map(|change| change.id().to_string()).collect();
    assert_eq!(ids, ["e999", "e7", "e8"]);
    assert!(matches!(changes[2], ListChange::Removed(..)));
    assert_eq!(entries_since(&table, ListRevision(0), 10_000).len(), 999);
}

/// A daemon that has read the operator's records up to 7, and holds a configuration's record and the
/// daemons' key.
fn config_holder(record: Bytes, now: Moment) -> (ServeContext, PeerKey) {
    let context = serve_context("d1");
    let key = PeerKey::random();
    context.peer_key.set(Some(key));
    *context.config_record.borrow_mut() = Some(record);
    context.reads.borrow_mut().operator.note_own(7, now);
    (context, key)
}

#[test]
fn configuration_is_given_only_to_daemons_that_know_the_key() {
    let now = Moment::now();
    let (context, key) = config_holder("record".into(), now);
    let me = note("d1");
    let tag = |key: PeerKey, responder: &SocketAddr| -> HeaderValue {
        key.call_tag(CONFIG_PATH, responder).parse().unwrap()
    };
    let compose = |tag: Option<&HeaderValue>| compose_config(&context, &me, None, tag, now);

    let given = compose(Some(&tag(key, &me.status_address())));

    assert!(given.is_ok());
    assert_eq!(compose(None), Err(StatusCode::UNAUTHORIZED));
    let other_key = tag(PeerKey::random(), &me.status_address());
    assert_eq!(compose(Some(&other_key)), Err(StatusCode::UNAUTHORIZED));
    let other_daemon = tag(key, &address(9));
    assert_eq!(compose(Some(&other_daemon)), Err(StatusCode::UNAUTHORIZED));
}

#[test]
fn configuration_is_not_sent_to_a_daemon_that_has_it() {
    // Guards against daemons that send each other whole configurations while the store is away.
    let now = Moment::now();
    let (context, key) = config_holder(vec![7; 100_000].into(), now);
    let me = note("d1");
    let tag = key.call_tag(CONFIG_PATH, &me.status_address()).parse().unwrap();
    let length = |query| compose_config(&context, &me, Some(query), Some(&tag), now).unwrap().len();

    assert!(length("state=7") < 1_000);
    assert!(length("state=6") > 100_000);
}

#[test]
fn configuration_is_given_to_no_more_peers_at_once_than_the_link_carries() {
    // Guards against copies that share a link, all outlast their time, and begin again.
    let now = Moment::now();
    let (context, key) = config_holder(vec![7; 1_000_000].into(), now);
    let me = note("d1");
    let tag = key.call_tag(CONFIG_PATH, &me.status_address()).parse().unwrap();
    let compose = |query, now| compose_config(&context, &me, query, Some(&tag), now);

    let given = (0..200).filter(|_| compose(None, now).is_ok()).count();

    // Half of the link for a second, and a begun copy.
    assert_eq!(given, 125 / 2 + 1);
    assert_eq!(compose(None, now), Err(StatusCode::SERVICE_UNAVAILABLE));
    assert!(compose(Some("state=7"), now).is_ok(), "who has it is told so");
    assert!(compose(None, Moment(now.0 + 100)).is_ok());
}

#[test]
fn copied_configuration_is_not_told_as_published_weights() {
    // Guards against daemons that skip a configuration which a peer copied after weights were published.
    let context = serve_context("d2");
    let now = Moment::now();
    context.reads.borrow_mut().operator.note_own(7, now);
    context.reads.borrow_mut().note_gossiped(6, 7);

    context.reads.borrow_mut().note_copied();
    context.reads.borrow_mut().operator.note_own(9, now);

    let marks = compose_attached_reads(&context, &note("d2"), now);
    assert_eq!(marks.last().unwrap().published_since, None);
}

#[parameterized(
    at_once = { false, 0, 0 },
    records_read = { true, 150, 0 },
    while_others_register = { false, 3_500, 0 },
    records_unavailable = { false, 9_000, 1 },
)]
fn daemon_that_starts_reads_the_daemons_records_first(
    is_listed: bool,
    waited_ms: u64,
    expected: usize,
) {
    // Guards against the whole list read from the store by each daemon after the loss of all.
    let daemons = if is_listed { CORE } else { 1 };
    let state = sync_input(usize::MAX, 0, waited_ms);
    let has_fresh_mark = false;
    let list = SyncInput { daemons, is_known: false, has_fresh_mark, ..state };
    let operator = OperatorInput {
        rank: usize::MAX,
        daemons,
        has_config: false,
        is_told: true,
        waited_ms,
        start_timeout_ms: 9_000,
        config_limit_ms: 5_000,
    };

    let reads = usize::from(sync_step(&list) == SyncStep::Read);

    assert_eq!(reads, expected);
    assert_eq!(usize::from(operator_copy_ms(&operator) == 0), expected);
}

#[parameterized(
    recent_and_complete = { true, true, 2_000, true },
    behind_at_first = { false, true, 200, true },
    behind_for_long = { false, true, 400, false },
    complete_but_old = { true, false, 400, false },
)]
fn copy_saves_the_read_of_the_store(
    is_complete: bool,
    is_recent: bool,
    waited_ms: u64,
    expected: bool,
) {
    let input = sync_input(usize::MAX, 3, waited_ms);
    let gap = if is_complete { 0 } else { 3 };
    let copy =
        CopyState { is_copied: true, is_confirmed: false, is_recent, gap, has_diverged: false };

    assert_eq!(is_copy_sufficient(&input, &copy), expected);
    assert!(!is_copy_sufficient(&input, &CopyState { is_copied: false, ..copy }));
}
