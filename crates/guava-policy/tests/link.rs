//! Observed rates of links, and how observations lose weight with age.

use guava_policy::LinkTable;
use guava_types::{ByteCount, LinkRate, Moment, UpstreamId};

const CONFIGURED: LinkRate = LinkRate(1_000_000);

#[test]
fn slow_link_is_observed_and_used_again_later() {
    // Symptom: imports queue for seconds on a link that runs at a tenth of its rate.
    // Sequence: a link becomes slow; its configured rate stays.
    // Cause: estimates used the configured rate.
    let mut links = LinkTable::default();
    let store: UpstreamId = "store-0".parse().unwrap();
    for round in 0..6 {
        // 100 kB in a second: a tenth of the configured rate.
        links.note(&store, ByteCount(100_000), 1_000, CONFIGURED, Moment(round));
    }

    let observed = links.rate(&store, CONFIGURED, Moment(10));
    let later = links.rate(&store, CONFIGURED, Moment(60_000));

    assert!(observed.0 < 130_000, "{observed}");
    assert!(later.0 > 900_000, "{later}");
}

#[test]
fn healthy_link_keeps_its_rate() {
    let mut links = LinkTable::default();
    let store: UpstreamId = "store-0".parse().unwrap();
    links.note(&store, ByteCount(100_000), 90, CONFIGURED, Moment(0));

    assert_eq!(links.rate(&store, CONFIGURED, Moment(1)), CONFIGURED);
}
