//! The table of upstreams, under late and repeated entries, outages of the list, restarts and
//! leaving.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod support;

use guava_serve::{ListChangeEffect, ListRevision, UpstreamEntry, UpstreamTable, WeightVersion};
use guava_types::{Deadline, Moment};
use support::{engine, id, leaving, model, upstream};

fn table() -> UpstreamTable {
    let mut table = UpstreamTable::default();
    table.note_read(Moment(1_000), false);
    table.note_entry(upstream("a", "app"));
    table.note_entry(upstream("b", "app"));
    table
}

fn serving(table: &UpstreamTable) -> Vec<String> {
    let service = "app".parse().unwrap();
    let mut names: Vec<String> =
        table.serving(&service, Moment::now()).map(|entry| entry.id.to_string()).collect();
    names.sort();
    names
}

#[test]
fn leaving_upstream_gets_no_new_work_even_if_an_older_entry_arrives_later() {
    // Guards against a request that reaches an upstream seconds after it announced leaving: a stale
    // read delivers its previous entry, and the last entry read was considered the newest.
    let mut table = table();

    let change = table.note_entry(leaving(upstream("a", "app")));
    table.note_entry(upstream("a", "app"));

    assert_eq!(change, ListChangeEffect::Leaving);
    assert!(!table.may_send(&id("a")));
    assert_eq!(serving(&table), ["b"]);
}

#[test]
fn removed_upstream_is_dropped_at_once_while_the_list_is_available() {
    let mut table = table();

    let change = table.note_removed(&id("a"), Moment(60_000));

    assert_eq!(change, ListChangeEffect::Removed);
    assert!(!table.may_send(&id("a")));
}

#[test]
fn entries_that_lapsed_in_an_outage_stay_valid_until_upstreams_can_register_again() {
    // Guards against the refusal of every request for two seconds after an outage of the list:
    // entries lapse during the outage, since they can't be renewed, and the list then reports all
    // of them as removed. Running upstreams register again within two seconds.
    let mut table = table();
    table.note_unavailable();
    table.note_read(Moment(20_000), false);

    let change = table.note_removed(&id("a"), Moment(20_001));
    table.note_removed(&id("b"), Moment(20_001));

    assert_eq!(change, ListChangeEffect::Lapsed);
    assert_eq!(serving(&table), ["a", "b"]);
    table.note_entry(upstream("a", "app"));
    assert_eq!(table.drop_lapsed(Moment(21_900)), []);
    assert_eq!(table.drop_lapsed(Moment(22_000)), [id("b")]);
    assert_eq!(serving(&table), ["a"]);
}

#[test]
fn removal_of_one_upstream_after_an_outage_is_final() {
    // Guards against work for an upstream that left, at a daemon that took its own stall for an outage.
    let mut table = table();
    table.note_entry(upstream("c", "app"));
    table.note_unavailable();
    table.note_read(Moment(20_000), false);

    table.note_removed(&id("a"), Moment(20_001));

    assert!(!table.may_send(&id("a")));
    assert_eq!(serving(&table), ["b", "c"]);
}

#[test]
fn lapsed_entries_are_used_only_while_they_outnumber_the_listed_ones() {
    let mut table = table();
    table.note_entry(upstream("c", "app"));
    table.note_unavailable();
    table.note_read(Moment(20_000), false);
    for name in ["a", "b", "c"] {
        table.note_removed(&id(name), Moment(20_001));
    }
    let while_all_lapsed = serving(&table);

    table.note_entry(upstream("a", "app"));
    let with_one_listed = serving(&table);
    table.note_entry(upstream("b", "app"));

    assert_eq!(while_all_lapsed, ["a", "b", "c"]);
    assert_eq!(with_one_listed, ["a", "b", "c"]);
    assert_eq!(serving(&table), ["a", "b"]);
    assert!(!table.may_send(&id("c")));
}

#[test]
fn digest_of_the_list_does_not_depend_on_what_a_daemon_keeps_in_use() {
    // Guards against a daemon that takes a peer's position for its own though it lacks records.
    let mut table = table();
    let empty = UpstreamTable::default().digest();
    let complete = table.digest();
    table.note_unavailable();
    table.note_read(Moment(20_000), false);
    for name in ["a", "b"] {
        table.note_removed(&id(name), Moment(20_001));
    }
    let after_lapse = table.digest();
    let listed_again = table.note_entry(upstream("a", "app"));
    table.note_entry(upstream("b", "app"));

    table.drop_lapsed(Moment(23_000));

    assert_eq!(after_lapse, empty);
    assert_eq!(listed_again, ListChangeEffect::Added, "peers are told");
    assert_eq!(table.digest(), complete);
    assert_eq!(serving(&table), ["a", "b"]);
}

#[test]
fn removal_after_a_daemon_s_own_trouble_is_final() {
    // Guards against work for upstreams that left, at a daemon that alone can't read the store.
    let mut table = table();
    table.note_unavailable();
    table.note_read(Moment(20_000), true);

    let change = table.note_removed(&id("a"), Moment(20_001));

    assert_eq!(change, ListChangeEffect::Removed);
}

#[test]
fn copied_list_does_not_end_an_outage() {
    // Guards against work for upstreams that left, at a daemon that alone can't read the store.
    let mut table = table();
    table.note_unavailable();
    table.note_copied();

    let change = table.note_removed(&id("a"), Moment(20_001));

    assert!(!table.is_unavailable());
    assert_eq!(change, ListChangeEffect::Removed);
    assert!(table.note_read(Moment(30_000), false));
    assert_eq!(table.note_removed(&id("b"), Moment(30_001)), ListChangeEffect::Lapsed);
}

#[test]
fn upstream_that_was_leaving_before_an_outage_is_removed_at_once() {
    let mut table = table();
    table.note_entry(leaving(upstream("a", "app")));
    table.note_unavailable();
    table.note_read(Moment(20_000), false);

    let change = table.note_removed(&id("a"), Moment(20_001));

    assert_eq!(change, ListChangeEffect::Removed);
}

#[test]
fn complete_list_removes_missing_upstreams_and_adds_new_ones() {
    let mut table = table();
    let entries = vec![upstream("b", "app"), upstream("c", "app")];

    let changes = table.note_list(entries, ListRevision(10), Moment(60_000));

    assert_eq!(changes, [(id("a"), ListChangeEffect::Removed), (id("c"), ListChangeEffect::Added)]);
    assert_eq!(serving(&table), ["b", "c"]);
}

#[test]
fn version_that_an_upstream_reported_is_not_lowered_by_the_list() {
    let mut table = UpstreamTable::default();
    table.note_entry(engine("e", 1));
    table.note_version(&id("e"), &model(), WeightVersion(2));

    table.note_entry(engine("e", 1));

    assert_eq!(table.entry(&id("e")).unwrap().versions[&model()], WeightVersion(2));
}

fn engine_started(start_ms: u64, version: u64) -> UpstreamEntry {
    let entry = engine("e", version);
    UpstreamEntry { id: entry.id.started_at(start_ms), ..entry }
}

#[test]
fn restarted_upstream_gets_requests_though_its_earlier_start_was_leaving() {
    // Guards against a healthy upstream that never gets a request: it announced leaving, crashed
    // and restarted under its name, and leaving was final for the name instead of the start.
    let mut table = UpstreamTable::default();
    table.note_entry(leaving(engine_started(100, 1)));

    let change = table.note_entry(engine_started(200, 1));

    assert_eq!(change, ListChangeEffect::Restarted);
    assert!(table.may_send(&id("e@200")));
    assert!(!table.may_send(&id("e@100")));
    assert_eq!(table.count(), 1);
}

#[test]
fn state_of_an_earlier_start_is_dropped_at_a_restart() {
    // Guards against a restarted engine that refuses every request for two seconds: it had reported
    // version 2 and was loading, and restarts with version 1 as in its list entry. Versions only
    // grow, so that of the earlier start must not be kept.
    let mut table = UpstreamTable::default();
    table.note_entry(engine_started(100, 1));
    table.note_version(&id("e@100"), &model(), WeightVersion(2));
    table.note_loading(&id("e@100"), Deadline(Moment(90_000)));

    table.note_entry(engine_started(200, 1));
    table.note_version(&id("e@100"), &model(), WeightVersion(3));

    let known = table.version(&id("e@200"), &model(), &[], Moment(50_000));
    assert_eq!(known, Some(WeightVersion(1)));
    assert!(!table.is_loading(&id("e@200"), Moment(50_000)));
}

#[test]
fn late_data_on_an_earlier_start_changes_nothing() {
    // Guards against requests to an upstream that was removed, because the last data to arrive was
    // considered the newest. After the second start is listed, an entry, a removal and a complete
    // list from before it arrive late; after the second start is removed, an entry of the first
    // arrives once more.
    let mut table = UpstreamTable::default();
    table.note_entry(engine_started(200, 1));

    let entry = table.note_entry(leaving(engine_started(100, 1)));
    let removal = table.note_removed(&id("e@100"), Moment(60_000));
    let list = table.note_list(vec![engine_started(100, 1)], ListRevision(10), Moment(60_000));

    assert_eq!((entry, removal), (ListChangeEffect::Same, ListChangeEffect::Same));
    assert_eq!(list, []);
    assert!(table.may_send(&id("e@200")));
    table.note_removed(&id("e@200"), Moment(61_000));
    assert_eq!(table.note_entry(engine_started(100, 1)), ListChangeEffect::Same);
    assert_eq!(table.count(), 0);
}

#[test]
fn engine_of_a_service_that_is_not_configured_does_not_count_for_new_weights() {
    // Guards against stores that stay full because prompt parts of old weights are never freed:
    // another writer lists an engine of a service that the configuration does not name. Its weights
    // never change, and it counted among the engines that new weights must reach.
    let mut table = UpstreamTable::default();
    table.note_entry(engine("known", 2));
    table.note_entry(UpstreamEntry { service: "odd".parse().unwrap(), ..engine("odd", 1) });

    table.note_services(["llm".parse().unwrap()].into_iter().collect());

    let names: Vec<&str> = table.entries().map(|entry| entry.id.as_str()).collect();
    assert_eq!(names, ["known"]);
}

#[test]
fn complete_list_does_not_undo_later_records_from_a_peer() {
    // Guards against a list whose read took so long that it is older than the known records.
    let mut table = table();
    assert!(table.order().admit_from_peer("a", ListRevision(12)));
    assert!(table.order().admit_from_peer("c", ListRevision(13)));
    let listed_late = UpstreamEntry { revision: ListRevision(11), ..upstream("d", "app") };

    let entries = vec![upstream("b", "app"), upstream("c", "app"), listed_late];
    let changes = table.note_list(entries, ListRevision(10), Moment(60_000));

    assert_eq!(changes, [(id("d"), ListChangeEffect::Added)]);
    assert_eq!(serving(&table), ["a", "b", "d"]);
    assert!(!table.order().admit_from_peer("d", ListRevision(10)));
}

#[test]
fn records_from_peers_take_bounded_memory() {
    // Guards against names that accumulate at a daemon that never needs to read the list.
    let mut table = table();
    for revision in 1..=20_000 {
        assert!(table.order().admit_from_peer(&format!("u{revision}"), ListRevision(revision)));
    }

    assert!(!table.order().admit_from_peer("u1", ListRevision(1)));
    assert!(!table.order().admit_from_peer("u20000", ListRevision(19_999)));
    assert!(table.order().admit_from_peer("u1", ListRevision(20_001)));
}

#[test]
fn entry_from_a_peer_is_removed_by_the_first_read_without_it() {
    // Guards against work for a server that left, by a daemon that starts while its store is silent.
    let mut table = UpstreamTable::default();
    table.note_entry(upstream("a", "app"));
    table.note_unavailable();
    table.note_read(Moment(20_000), false);

    let changes = table.note_list(Vec::new(), ListRevision(7), Moment(20_000));

    assert_eq!(changes, [(id("a"), ListChangeEffect::Removed)]);
}
