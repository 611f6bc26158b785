//! How many requests a cold upstream gets from all daemons together.

use guava_policy::{SendWindow, cold_share};
use guava_types::Moment;
use yare::parameterized;

#[parameterized(
    one_daemon = { 30, 1 },
    a_few = { 30, 8 },
    as_many_as_may_send = { 30, 10 },
    many = { 30, 84 },
    very_many = { 30, 1_000 },
    a_low_limit = { 3, 84 },
)]
fn shares_add_up_to_the_limit(limit: u32, daemons: usize) {
    let sum: u32 = (0..daemons).map(|place| cold_share(limit, daemons, place)).sum();

    assert_eq!(sum, limit);
}

#[test]
fn share_counts_in_any_second() {
    let mut window = SendWindow::default();
    let at = |millis: u64| Moment(50_000 + millis);

    window.note(at(0));
    window.note(at(900));

    assert!(!window.has_room(2, at(1_000)), "two within the last second");
    assert!(window.has_room(2, at(1_200)), "the first one is over");
    assert!(!window.has_room(0, at(9_000)), "no share at all");
    assert!(window.is_over(at(2_100)) && !window.is_over(at(1_500)));
}
