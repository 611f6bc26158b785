//! Moments and deadlines on a clock that counts suspended time.
//!
//! A VM may be paused and resumed. `std::time::Instant` stands still meanwhile on Linux, so a
//! lease or a grant judged by it would look alive after its term had passed for everybody else.
//! The boot-time clock goes on, hence a thawed process sees its deadlines as passed.

use rustix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// A point on this VM's boot-time clock, in milliseconds; never compared between VMs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Moment(pub u64);

impl Moment {
    /// The current moment.
    pub fn now() -> Self {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
        let nanos = u64::try_from(time.tv_nsec).unwrap_or(0);
        Self(seconds * 1000 + nanos / 1_000_000)
    }

    /// Milliseconds since an earlier moment; zero if it is later.
    pub fn millis_since(self, earlier: Moment) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    /// The moment this many milliseconds earlier.
    pub fn minus_millis(self, millis: u64) -> Self {
        Self(self.0.saturating_sub(millis))
    }
}

/// The moment by which something must have happened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Deadline(pub Moment);

impl Deadline {
    /// The deadline this many milliseconds after a moment.
    pub fn after(start: Moment, millis: u64) -> Self {
        Self(Moment(start.0.saturating_add(millis)))
    }

    /// The deadline this many milliseconds from now.
    pub fn in_millis(millis: u64) -> Self {
        Self::after(Moment::now(), millis)
    }

    /// Whether it has passed at the moment given.
    pub fn passed(self, now: Moment) -> bool {
        self.0 <= now
    }

    /// Milliseconds left at the moment given.
    pub fn millis_left(self, now: Moment) -> u64 {
        self.0.millis_since(now)
    }

    /// Time left from now, for a timer.
    pub fn time_left(self) -> Duration {
        Duration::from_millis(self.millis_left(Moment::now()))
    }

    /// The earlier of two deadlines.
    pub fn earlier(self, other: Deadline) -> Self {
        self.min(other)
    }
}

impl From<Moment> for Deadline {
    fn from(moment: Moment) -> Self {
        Self(moment)
    }
}

/// Milliseconds since the Unix epoch by the wall clock, which may be wrong.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct WallTime(pub u64);

impl WallTime {
    /// The wall clock's reading.
    pub fn now() -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
    }
}

impl fmt::Display for WallTime {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(out)
    }
}
