//! Which time counts as an outage of the store.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod support;

use guava_serve::{
    OutageChange, StoreOutages, VersionUse, WeightVersion, apply_message, compose_reads,
};
use guava_types::Moment;
use support::{model, note, published, serve_context};

const NOW: Moment = Moment(100_000);

/// Outages of a daemon that knows of a read at `NOW`.
fn outages() -> StoreOutages {
    let mut outages = StoreOutages::default();
    outages.note_reads(NOW, false, NOW);
    outages
}

#[test]
fn gap_in_which_this_daemon_did_not_try_to_read_is_no_outage() {
    // Guards against a process that did not run and takes its own pause for an outage.
    let mut outages = outages();

    let change = outages.note_reads(NOW, false, Moment(NOW.0 + 8_000));

    assert_eq!(change, None);
    assert_eq!(outages.available_since(), Some(NOW));
}

#[test]
fn outage_begins_when_this_daemon_and_all_others_failed_to_read() {
    let mut outages = outages();

    let early = outages.note_reads(NOW, true, Moment(NOW.0 + 3_500));
    let late = outages.note_reads(NOW, true, Moment(NOW.0 + 3_501));

    assert_eq!((early, late), (None, Some(OutageChange::Began)));
    assert_eq!(outages.available_since(), None);
}

#[test]
fn outage_ends_with_the_first_read() {
    let mut outages = outages();
    outages.note_reads(NOW, true, Moment(NOW.0 + 3_501));

    let read = Moment(NOW.0 + 6_000);
    let change = outages.note_reads(read, false, Moment(NOW.0 + 6_010));

    assert_eq!(change, Some(OutageChange::Ended));
    assert_eq!(outages.available_since(), Some(read));
}

#[test]
fn daemon_that_was_away_does_not_report_the_store_as_available_meanwhile() {
    // Guards against a real outage that a daemon refutes because it did not run in it.
    let mut outages = outages();

    let read = Moment(NOW.0 + 9_000);
    outages.note_reads(read, false, read);

    assert_eq!(outages.available_since(), Some(read));
}

#[test]
fn time_limit_goes_on_in_an_outage_that_only_this_daemon_saw() {
    // Guards against old weights in use for as much longer as a daemon was cut off.
    let (reader, cut_off) = (serve_context("d1"), serve_context("d2"));
    reader.members.borrow_mut().note_listed();
    for context in [&reader, &cut_off] {
        let mut targets = context.targets.borrow_mut();
        targets.offer(&model(), published(2, NOW));
        targets.outages().note_reads(NOW, false, NOW);
    }
    let back = Moment(NOW.0 + 8_000);
    for at in (NOW.0..=back.0).step_by(1_000).map(Moment) {
        reader.targets.borrow_mut().outages().note_reads(at, false, at);
        cut_off.targets.borrow_mut().outages().note_reads(NOW, true, at);
    }
    reader.reads.borrow_mut().operator.note_own(7, back);
    cut_off.targets.borrow_mut().outages().note_reads(back, false, back);

    let reads = compose_reads(&reader, &note("d1"), back);
    reads.into_iter().for_each(|message| apply_message(&cut_off, message, back));

    let limits = cut_off.bounds.version_limits;
    let at = Moment(NOW.0 + 9_000);
    let verdict = cut_off.targets.borrow().judge(&model(), WeightVersion(1), limits, at);
    assert_eq!(verdict, VersionUse::Forbidden);
}

#[test]
fn outage_that_peers_saw_too_still_counts() {
    let mut outages = outages();
    outages.note_reads(NOW, true, Moment(NOW.0 + 4_000));
    outages.note_reads(Moment(NOW.0 + 6_000), false, Moment(NOW.0 + 6_000));

    let change = outages.note_available(Moment(NOW.0 + 6_000));

    assert_eq!(change, None);
}
