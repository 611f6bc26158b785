//! The list of upstreams: late, with outages, and final about who leaves.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod support;

use guava_serve::{ListChange, UpstreamTable, WeightVersion};
use guava_types::Moment;
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
        table.serving(&service).map(|entry| entry.id.to_string()).collect();
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

    assert_eq!(change, ListChange::Leaving);
    assert!(!table.may_send(&id("a")));
    assert_eq!(serving(&table), ["b"]);
}

#[test]
fn removed_upstream_is_gone_at_once_while_the_list_is_in_reach() {
    let mut table = table();

    let change = table.note_removed(&id("a"), Moment(60_000));

    assert_eq!(change, ListChange::Gone);
    assert!(!table.may_send(&id("a")));
}

#[test]
fn entries_that_lapsed_in_an_outage_count_until_their_upstreams_can_be_back() {
    // Symptom: after an outage of the list every request is refused for two seconds.
    // Sequence: the list is away; entries lapse, since nobody can renew them; the list returns and
    // says that all are removed; living upstreams register again within two seconds.
    // Cause: a removal that only shows the outage was taken for an upstream's end.
    let mut table = table();
    table.note_away();
    table.note_read(Moment(20_000));

    let change = table.note_removed(&id("a"), Moment(20_001));
    table.note_removed(&id("b"), Moment(20_001));

    assert_eq!(change, ListChange::Lapsed);
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
    table.note_away();
    table.note_read(Moment(20_000));

    let change = table.note_removed(&id("a"), Moment(20_001));

    assert_eq!(change, ListChange::Gone);
}

#[test]
fn whole_list_removes_what_it_lacks_and_adds_what_is_new() {
    let mut table = table();
    let entries = vec![upstream("b", "app"), upstream("c", "app")];

    let changes = table.note_list(entries, Moment(60_000));

    assert_eq!(changes, [(id("a"), ListChange::Gone), (id("c"), ListChange::Added)]);
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
