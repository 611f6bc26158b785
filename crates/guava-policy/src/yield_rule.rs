//! Which of several daemons takes a place that becomes free, if requests wait at all of them.
//!
//! Each daemon orders its own queue by customers' use, but the first one that finds a place takes it. A
//! customer whose requests wait at all daemons would get as many places as it has daemons where nobody
//! else waits. So daemons tell each other the lowest use of those that wait at them. A request of a
//! customer that has used far more yields: it takes a place only if that is left free, longer than
//! the others need to find it. No place stays free for want of word from a daemon that is gone.

use guava_types::Moment;

/// Factor by which a customer's use exceeds the mean, and that of one that waits elsewhere, before it
/// yields: no customer is to be ahead of the others by more than a quarter.
pub const YIELD_FACTOR: f64 = 1.25;
/// Time for which a yielding request leaves a place free, in milliseconds: two rounds of the queues in
/// which daemons look for places.
pub const YIELD_MS: u64 = 20;
/// Longest time between two looks at a place that is counted as free in between, in milliseconds.
const LOOK_INTERVAL_MS: u64 = 30;

/// Who waits in a queue: the lowest use of customers with requests of its first rank.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaitingUse {
    /// Rank of the first request in the queue; 0 goes first.
    pub rank: u8,
    /// Lowest use of a customer with a waiting request of this rank, in units of cost.
    pub lowest: f64,
}

/// How long a queue's yielding requests have found places free.
#[derive(Clone, Debug, Default)]
pub struct YieldTimer {
    /// When room was found, and found last, without a look in between that found none.
    room: Option<(Moment, Moment)>,
}

impl YieldTimer {
    /// Whether a request may start that now finds room, or none.
    pub fn may_start(&mut self, must_yield: bool, has_room: bool, now: Moment) -> bool {
        if !has_room || !must_yield {
            self.room = self.room.filter(|_| has_room);
            return has_room;
        }
        let is_continued =
            |(_, last): &(Moment, Moment)| now.millis_since(*last) <= LOOK_INTERVAL_MS;
        let (since, _) = self.room.filter(is_continued).unwrap_or((now, now));
        let may_start = now.millis_since(since) >= YIELD_MS;
        self.room = (!may_start).then_some((since, now));
        may_start
    }
}
