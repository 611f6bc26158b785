//! The list of upstreams: late, with outages, and final about who leaves.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod support;

use guava_serve::{ListChangeEffect, ListRevision, UpstreamEntry, UpstreamTable, WeightVersion};
use guava_types::{Deadline, Moment};
use support::{engine, id, leaving, model, upstream};

fn table() -> UpstreamTable {
    let mut table = UpstreamTable::default();
    table.note_read(Moment(1_000));
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
fn leaving_upstream_gets_no_new_work_even_if_an_older_entry_says_ready() {
    // Symptom: a request reaches an upstream seconds after it announced that it leaves.
    // Sequence: its entry says that it leaves; a stale read brings the entry before that.
    // Cause: the last entry read was taken for the newest.
    let mut table = table();

    let change = table.note_entry(leaving(upstream("a", "app")));
    table.note_entry(upstream("a", "app"));

    assert_eq!(change, ListChangeEffect::Leaving);
    assert!(!table.may_send(&id("a")));
    assert_eq!(serving(&table), ["b"]);
}

#[test]
fn removed_upstream_is_gone_at_once_while_the_list_is_in_reach() {
    let mut table = table();

    let change = table.note_removed(&id("a"), Moment(60_000));

    assert_eq!(change, ListChangeEffect::Removed);
    assert!(!table.may_send(&id("a")));
}

#[test]
fn entries_that_lapsed_in_an_outage_count_until_their_upstreams_can_be_back() {
    // Symptom: after an outage of the list every request is refused for two seconds.
    // Sequence: the list is away; entries lapse, since nobody can renew them; the list returns and
    // says that all are removed; living upstreams register again within two seconds.
    // Cause: a removal that only shows the outage was taken for an upstream's end.
    let mut table = table();
    table.note_unavailable();
    table.note_read(Moment(20_000));

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
fn upstream_that_was_leaving_before_the_outage_does_not_come_back() {
    let mut table = table();
    table.note_entry(leaving(upstream("a", "app")));
    table.note_unavailable();
    table.note_read(Moment(20_000));

    let change = table.note_removed(&id("a"), Moment(20_001));

    assert_eq!(change, ListChangeEffect::Removed);
}

#[test]
fn whole_list_removes_what_it_lacks_and_adds_what_is_new() {
    let mut table = table();
    let entries = vec![upstream("b", "app"), upstream("c", "app")];

    let changes = table.note_list(entries, ListRevision(10), Moment(60_000));

    assert_eq!(changes, [(id("a"), ListChangeEffect::Removed), (id("c"), ListChangeEffect::Added)]);
    assert_eq!(serving(&table), ["b", "c"]);
}

#[test]
fn weights_that_an_upstream_reported_are_not_undone_by_the_list() {
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
fn upstream_that_starts_again_is_served_though_the_one_before_was_leaving() {
    // Symptom: a healthy upstream gets no request for good.
    // Sequence: it announces that it leaves, crashes, and starts again under its name.
    // Cause: leaving was final for the name, not for the start.
    let mut table = UpstreamTable::default();
    table.note_entry(leaving(engine_started(100, 1)));

    let change = table.note_entry(engine_started(200, 1));

    assert_eq!(change, ListChangeEffect::Restarted);
    assert!(table.may_send(&id("e@200")));
    assert!(!table.may_send(&id("e@100")));
    assert_eq!(table.count(), 1);
}

#[test]
fn nothing_learnt_of_an_earlier_start_holds_for_the_next() {
    // Symptom: an engine that starts again refuses every request for two seconds.
    // Sequence: it was found to have weights 2, and to be loading; it crashes, and starts again with
    // the weights 1 that its list entry names.
    // Cause: weights only grow, and the ones of the start before were kept.
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
fn late_word_on_an_earlier_start_changes_nothing() {
    // Symptom: requests go to an upstream that is gone.
    // Sequence: its second start is listed; an entry, a removal and a whole list of before arrive
    // late; then the second start is removed, and an entry of the first arrives once more.
    // Cause: the last word was taken for the newest.
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
fn entry_of_a_service_that_nobody_named_is_no_engine_to_bring_to_new_weights() {
    // Symptom: parts of old weights are never freed, and the stores stay full.
    // Sequence: another writer lists an engine of a service that the configuration does not name;
    // its weights never change.
    // Cause: it counted among the engines that new weights must reach.
    let mut table = UpstreamTable::default();
    table.note_entry(engine("known", 2));
    table.note_entry(UpstreamEntry { service: "odd".parse().unwrap(), ..engine("odd", 1) });

    table.note_services(["llm".parse().unwrap()].into_iter().collect());

    let names: Vec<&str> = table.entries().map(|entry| entry.id.as_str()).collect();
    assert_eq!(names, ["known"]);
}

#[test]
fn whole_list_does_not_undo_what_a_peer_has_told_of_later_records() {
    // Guards against a list that took long to read and is older than what is known.
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
fn order_of_told_records_takes_bounded_memory() {
    // Guards against names that pile up at a daemon that never needs to read.
    let mut table = table();
    for revision in 1..=20_000 {
        assert!(table.order().admit_from_peer(&format!("u{revision}"), ListRevision(revision)));
    }

    assert!(!table.order().admit_from_peer("u1", ListRevision(1)));
    assert!(!table.order().admit_from_peer("u20000", ListRevision(19_999)));
    assert!(table.order().admit_from_peer("u1", ListRevision(20_001)));
}
