//! Tests of the eviction rule.

use guava_state::{EVICT_AFTER_MS, EvictionWatch};
use guava_types::{Incarnation, Moment};

const SILENT: [Incarnation; 2] = [Incarnation(1), Incarnation(2)];

#[test]
fn minority_evicts_nobody() {
    // Guards against a change that is accepted by one daemon while the others, which continue to
    // serve, don't have it. A daemon that reads the log but reaches no peer would evict the silent
    // majority and become the majority of the remaining roster, if silence alone sufficed.
    let mut watch = EvictionWatch::default();
    watch.due(&SILENT, false, 0, Moment(1_000));

    let due = watch.due(&SILENT, false, 0, Moment(1_000_000));

    assert!(due.is_empty());
}

#[test]
fn majority_evicts_once_after_the_full_silence() {
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
fn member_that_was_reachable_again_is_silent_only_from_then_on() {
    let mut watch = EvictionWatch::default();
    watch.due(&SILENT, true, 0, Moment(1_000));
    watch.due(&[], true, 0, Moment(20_000));
    watch.due(&SILENT, true, 0, Moment(21_000));

    let due = watch.due(&SILENT, true, 0, Moment(1_000 + EVICT_AFTER_MS + 1));

    assert!(due.is_empty());
}
