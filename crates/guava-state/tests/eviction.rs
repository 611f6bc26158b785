//! The eviction rule.

use guava_state::{EVICT_AFTER_MS, EvictionWatch};
use guava_types::{Incarnation, Moment};

const SILENT: [Incarnation; 2] = [Incarnation(1), Incarnation(2)];

#[test]
fn minority_evicts_nobody() {
    // Symptom: a change accepted by one daemon is not in force at the others, which serve on.
    // Sequence: a daemon is cut from its peers but reads the log; it takes the silent majority off
    // the roster and is then the majority of what is left.
    // Cause: silence alone is taken for death.
    let mut watch = EvictionWatch::default();
    watch.due(&SILENT, false, 0, Moment(1_000));

    let due = watch.due(&SILENT, false, 0, Moment(1_000_000));

    assert!(due.is_empty());
}

#[test]
fn majority_evicts_after_the_wait_and_once() {
    let mut watch = EvictionWatch::default();
    let start = Moment(1_000);
    let early = watch.due(&SILENT, true, 0, start);
    let over = Moment(start.0 + EVICT_AFTER_MS + 1);

    let mut due = watch.due(&SILENT, true, 0, over);
    let again = watch.due(&SILENT, true, 0, over);

    due.sort_unstable();
    assert!(early.is_empty() && again.is_empty());
    assert_eq!(due, SILENT);
}

#[test]
fn member_that_is_heard_again_starts_anew() {
    let mut watch = EvictionWatch::default();
    watch.due(&SILENT, true, 0, Moment(1_000));
    watch.due(&[], true, 0, Moment(20_000));
    watch.due(&SILENT, true, 0, Moment(21_000));

    let due = watch.due(&SILENT, true, 0, Moment(1_000 + EVICT_AFTER_MS + 1));

    assert!(due.is_empty());
}
