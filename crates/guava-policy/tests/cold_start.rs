//! How many requests a cold upstream gets from all daemons together.

use guava_policy::cold_share;
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
    let share = |rank| cold_share(limit, daemons, rank).requests;
    let sum: u64 = (0..daemons).map(share).sum();

    assert_eq!(sum, u64::from(limit));
}
