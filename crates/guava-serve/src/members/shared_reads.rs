//! What daemons know of the platform's store through each other.
//!
//! Calls to the store are dear, and all daemons would read the same. So one reads for all data
//! centres, and tells the others how far it has read and when; the others read only when that shows
//! a change, or when nobody's mark is fresh enough. A mark is as old as the read behind it, so a
//! reader that is cut off or gone is noticed by its age alone: first by its standbys, which then
//! read for all, and only if these are gone too by everybody.

use guava_types::{Deadline, Moment};

/// Daemons that take over when the reader's mark grows old. Two, so that the loss of the reader and
/// one more at the same moment does not make all daemons read at once.
pub const STANDBYS: usize = 2;

/// How often the store is read, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadPace {
    /// Pause between two reads of the reader.
    pub pause_ms: u64,
    /// Wait of a read that returns at the next change.
    pub wait_ms: u64,
    /// Age of a mark at which the standbys read.
    pub standby_ms: u64,
    /// Age at which a mark no longer counts.
    pub expiry_ms: u64,
}

/// Parts of the time allowed for a change to be in force: after which the reader reads again, from
/// which the standbys read, and after which nobody relies on a mark any more. Between the first two
/// lies the pause between two marks of the reader; between the last two a read of a standby and its
/// way to the others; the rest is for reads of their own, and requests under way.
const PAUSE_PART: f64 = 0.36;
const STANDBY_PART: f64 = 0.55;
const EXPIRY_PART: f64 = 0.65;

impl ReadPace {
    /// The pace where a change must be in force within so many milliseconds.
    pub fn within(limit_ms: u64) -> Self {
        let part = |part: f64| (limit_ms as f64 * part) as u64;
        Self {
            pause_ms: part(PAUSE_PART),
            wait_ms: part(PAUSE_PART),
            standby_ms: part(STANDBY_PART),
            expiry_ms: part(EXPIRY_PART),
        }
    }
}

/// The moment as of which a read is known to be right that was to wait so many milliseconds for the
/// first change, and found one or not.
///
/// A read that found nothing was answered when its wait was over, no sooner; its mark is younger by
/// that wait than the question. Taken to be as old as the question, a mark would look two waits old
/// before the next one comes, and reads would have to be twice as frequent.
pub fn read_as_of(asked: Moment, wait_ms: u64, is_empty: bool, answered: Moment) -> Moment {
    let waited = Deadline::after(asked, wait_ms);
    if is_empty && waited.passed(answered) { Moment(asked.0 + wait_ms) } else { asked }
}

/// A state as somebody read it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadMark {
    /// The state: an offset, or a digest.
    pub state: u64,
    /// When the read behind it was begun, on this daemon's clock.
    pub as_of: Moment,
}

/// The freshest read of one thing, of this daemon or another.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReadTracker {
    own: Option<ReadMark>,
    heard: Option<ReadMark>,
}

impl ReadTracker {
    /// Notes what this daemon itself read.
    pub fn note_own(&mut self, state: u64, as_of: Moment) {
        self.own = Some(ReadMark { state, as_of });
    }

    /// Whether a read that brought this state is to be told at once: it is news, or nobody has read
    /// for so long that all daemons are about to read themselves.
    pub fn is_urgent(&self, state: u64, as_of: Moment, pace: ReadPace) -> bool {
        let is_late = |before: Moment| Deadline::after(before, pace.standby_ms).passed(as_of);
        self.own.is_some_and(|own| own.state != state) || self.freshest().is_some_and(is_late)
    }

    /// Takes in that all records since a state brought nothing but what a peer has told itself; this
    /// daemon need not read them.
    pub fn note_skipped(&mut self, since: u64, state: u64) {
        if let Some(own) = self.own.as_mut().filter(|own| (since..state).contains(&own.state)) {
            own.state = state;
        }
    }

    /// Notes that this daemon's state changed without a read.
    pub fn note_state(&mut self, state: u64) {
        if let Some(own) = &mut self.own {
            own.state = state;
        }
    }

    /// Notes what another daemon read.
    pub fn note_from_peer(&mut self, mark: ReadMark) {
        if self.heard.is_none_or(|heard| heard.as_of < mark.as_of) {
            self.heard = Some(mark);
        }
    }

    /// What this daemon itself read last, for the others.
    pub fn own(&self) -> Option<ReadMark> {
        self.own
    }

    /// The moment as of which this daemon's state is known to be right.
    pub fn confirmed(&self) -> Option<Moment> {
        let own = self.own?;
        let is_same = |heard: &ReadMark| heard.state == own.state && heard.as_of > own.as_of;
        Some(self.heard.filter(is_same).map_or(own.as_of, |heard| heard.as_of))
    }

    /// The moment as of which any daemon, this one included, read last.
    pub fn freshest(&self) -> Option<Moment> {
        let heard = self.heard.map(|heard| heard.as_of);
        self.own.map(|own| own.as_of).max(heard)
    }

    /// Whether this daemon's own read is the freshest that it knows.
    pub fn is_freshest(&self) -> bool {
        self.own.is_some_and(|own| self.heard.is_none_or(|heard| heard.as_of <= own.as_of))
    }

    /// Whether a daemon must read now that has this turn among all, 0 first.
    pub fn is_due(&self, turn: usize, pace: ReadPace, now: Moment) -> bool {
        let (Some(own), Some(confirmed)) = (self.own, self.confirmed()) else { return true };
        let is_change = |heard: ReadMark| heard.state != own.state && heard.as_of > own.as_of;
        let is_older = |read: Moment, limit_ms: u64| Deadline::after(read, limit_ms).passed(now);
        let is_old = match turn {
            0 => is_older(own.as_of, pace.pause_ms),
            1..=STANDBYS => is_older(confirmed, pace.standby_ms),
            _ => is_older(confirmed, pace.expiry_ms),
        };
        is_old || self.heard.is_some_and(is_change)
    }
}

/// What is known of reads of the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct SharedReads {
    /// From which offset on all records of the operator that this daemon read publish weights or drain
    /// data centres, which it tells by themselves.
    pub published_since: Option<u64>,
    /// The operator's records: the offset up to which they were read.
    pub operator: ReadTracker,
    /// The list of upstreams: its digest.
    pub list: ReadTracker,
}

impl SharedReads {
    /// Notes which records of the operator this daemon read from an offset on. Where all of them are
    /// told by themselves, the others need not read them, which would be a call of each daemon.
    pub fn note_records(&mut self, from: u64, count: usize, are_gossiped: bool) {
        if !are_gossiped {
            self.published_since = None;
        } else if count > 0 {
            self.published_since.get_or_insert(from);
        }
    }
}
