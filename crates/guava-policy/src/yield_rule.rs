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
/// Time for which a yielding request leaves a place free, in milliseconds: as long as a round of the
/// queues, in which each daemon where requests wait looks for places.
const YIELD_MS: u64 = 20;
/// Longest time between two looks at a place that is counted as free in between, in milliseconds.
const LOOK_INTERVAL_MS: u64 = 2 * YIELD_MS;

/// Who waits in a queue: the lowest use of customers with requests of its first rank.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaitingUse {
    /// Rank of the first request in the queue; 0 goes first.
    pub rank: u8,
    /// Lowest use of a customer with a waiting request of this rank, in units of cost.
    pub lowest: f64,
}

/// What a request does whose turn it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TurnStep {
    /// It starts.
    Start,
    /// It leaves the room to requests that wait elsewhere.
    Yield,
    /// It finds no room.
    NoRoom,
}

impl TurnStep {
    /// Name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Start => "start",
            Self::Yield => "yield",
            Self::NoRoom => "no-room",
        }
    }
}

/// How long a queue's yielding requests have found places free.
#[derive(Clone, Debug, Default)]
pub struct YieldTimer {
    /// When room was found, and found last, without a look in between that found none.
    room: Option<(Moment, Moment)>,
}

impl YieldTimer {
    /// Decides on a request that is to yield or not, and that now finds room or none.
    pub fn judge(&mut self, must_yield: bool, has_room: bool, now: Moment) -> TurnStep {
        if !has_room {
            // A request that need not yield may find no room for its size where this one does.
            if must_yield {
                self.room = None;
            }
            return TurnStep::NoRoom;
        }
        if !must_yield {
            return TurnStep::Start;
        }
        let is_continued =
            |(_, last): &(Moment, Moment)| now.millis_since(*last) <= LOOK_INTERVAL_MS;
        let (since, _) = self.room.filter(is_continued).unwrap_or((now, now));
        let is_over = now.millis_since(since) >= YIELD_MS;
        self.room = (!is_over).then_some((since, now));
        if is_over { TurnStep::Start } else { TurnStep::Yield }
    }
}
