//! Sharing of reads of the platform's store between daemons.
//!
//! Calls to the store are expensive, and all daemons would read the same data. So one daemon, the
//! reader, reads for all data centres and sends the others a read mark: the state that it read and
//! when. The others read only when a mark shows a change or when no mark is fresh enough. A mark is
//! as old as the read behind it, so the age of the last mark alone shows that the reader is cut off
//! or has exited. Its standbys detect that first and read for all; the remaining daemons read only
//! if the standbys have failed too.

use guava_types::{Deadline, Moment};

/// Number of daemons that take over when the reader's mark becomes stale. Two, so that losing the
/// reader and one standby at the same moment does not make all daemons read at once.
pub const STANDBYS: usize = 2;

/// Intervals and ages that decide when the store is read, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadPace {
    /// Interval between two reads of the reader.
    pub interval_ms: u64,
    /// Longest wait of a read that returns at the next change.
    pub wait_ms: u64,
    /// Age of the last mark at which the standbys read.
    pub standby_ms: u64,
    /// Age at which a mark is ignored and all daemons read.
    pub expiry_ms: u64,
}

/// Fractions of the time within which a change must be in force: when the reader reads again, when
/// the standbys read, and when a mark expires. The gap between the first two covers the interval
/// between two marks of the reader; the gap between the last two covers a read of a standby and the
/// delivery of its mark. The remainder is for the daemons' own reads and for requests in flight.
const INTERVAL_FRACTION: f64 = 0.36;
const STANDBY_FRACTION: f64 = 0.55;
const EXPIRY_FRACTION: f64 = 0.65;

impl ReadPace {
    /// Timing with which a change is in force within `limit_ms`.
    pub fn within(limit_ms: u64) -> Self {
        let fraction = |fraction: f64| (limit_ms as f64 * fraction) as u64;
        Self {
            interval_ms: fraction(INTERVAL_FRACTION),
            wait_ms: fraction(INTERVAL_FRACTION),
            standby_ms: fraction(STANDBY_FRACTION),
            expiry_ms: fraction(EXPIRY_FRACTION),
        }
    }

    /// Whether a read is so old that all daemons read themselves.
    pub fn is_expired(self, read: Moment, now: Moment) -> bool {
        Deadline::after(read, self.expiry_ms).passed(now)
    }
}

/// The moment as of which the result of a read is known to be right. The read was sent at `asked`
/// and waited up to `wait_ms` for the first change.
///
/// A read without a result is answered only when its wait is over, so its mark is fresher than the
/// call by that wait. Dated at the moment of the call, a mark would look two waits old before the
/// next one arrives, and reads would have to be twice as frequent.
pub fn read_as_of(asked: Moment, wait_ms: u64, is_empty: bool, answered: Moment) -> Moment {
    let waited = Deadline::after(asked, wait_ms);
    if is_empty && waited.passed(answered) { Moment(asked.0 + wait_ms) } else { asked }
}

/// State of the store as one daemon read it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadMark {
    /// An offset or a digest, depending on what was read.
    pub state: u64,
    /// Moment as of which the state is known to be right, on this daemon's clock.
    pub as_of: Moment,
}

/// The last reads of one thing in the store, by this daemon and by its peers.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReadTracker {
    own: Option<ReadMark>,
    received: Option<ReadMark>,
    /// The last moment as of which a peer's read found what this daemon had then. What it has now
    /// contains that.
    last_confirmed: Moment,
    chain: ReadChain,
}

/// Renewals that an upstream misses at the least before its entry lapses.
const MISSED_RENEWALS: u64 = 2;

/// Known reads, by any daemon, that follow each other so closely that no entry can have lapsed between
/// two of them for want of the store.
#[derive(Clone, Copy, Debug, Default)]
struct ReadChain {
    since: Moment,
    last: Moment,
    /// Whether it follows an earlier one, after a time in which nobody is known to have read.
    is_resumed: bool,
}

impl ReadTracker {
    /// Records a read by this daemon.
    pub fn note_own(&mut self, state: u64, as_of: Moment) {
        self.keep_confirmation();
        self.own = Some(ReadMark { state, as_of });
    }

    /// Records a state that replaces all that this daemon had, and may be older.
    pub fn note_replaced(&mut self, state: u64, as_of: Moment) {
        self.own = Some(ReadMark { state, as_of });
        self.last_confirmed = as_of;
    }

    /// Keeps the moment as of which a peer's read found this daemon's state, before either changes.
    fn keep_confirmation(&mut self) {
        self.last_confirmed = self.confirmed().unwrap_or_default();
    }

    /// Records a state that was copied from a peer which had it confirmed as of a moment. If it contains
    /// all records that peers have reported, it is right as of the last read of any of them.
    pub fn note_copied(&mut self, state: u64, as_of: Moment, is_complete: bool) {
        let received = self.received.filter(|_| is_complete).map(|received| received.as_of);
        let own = self.own.map(|own| own.as_of);
        let latest = own.max(received).unwrap_or_default();
        self.note_own(state, as_of.max(latest));
    }

    /// Whether a read that returned `state` must be sent to peers at once: it shows a change, or
    /// the last known read is so old that all daemons are about to read themselves.
    pub fn is_urgent(&self, state: u64, as_of: Moment, pace: ReadPace) -> bool {
        let is_late = |before: Moment| Deadline::after(before, pace.standby_ms).passed(as_of);
        self.own.is_some_and(|own| own.state != state) || self.freshest().is_some_and(is_late)
    }

    /// Records that all records from `since` up to `state` hold only what a peer has already sent
    /// by gossip, so this daemon need not read them.
    pub fn note_skipped(&mut self, since: u64, state: u64) {
        self.keep_confirmation();
        if let Some(own) = self.own.as_mut().filter(|own| (since..state).contains(&own.state)) {
            own.state = state;
        }
    }

    /// Records a state that this daemon reached without a read; the moment of its last read stays.
    pub fn note_state(&mut self, state: u64) {
        self.keep_confirmation();
        if let Some(own) = &mut self.own {
            own.state = state;
        }
    }

    /// Records a read by another daemon, unless a fresher one is already known.
    pub fn note_from_peer(&mut self, mark: ReadMark) {
        if self.received.is_none_or(|received| received.as_of < mark.as_of) {
            self.keep_confirmation();
            self.received = Some(mark);
        }
    }

    /// Records that the store was read, by this daemon at `read` or as peers reported. Upstreams renew
    /// their entries every `renewal_ms`; 0 if that is not known.
    pub fn note_available(&mut self, read: Option<Moment>, renewal_ms: u64) {
        let Some(freshest) = self.freshest().max(read) else { return };
        if freshest.millis_since(self.chain.last) > MISSED_RENEWALS * renewal_ms {
            self.chain.since = freshest;
            self.chain.is_resumed = renewal_ms > 0 && self.chain.last != Moment::default();
        }
        self.chain.last = self.chain.last.max(freshest);
    }

    /// Whether the store is known to have been readable ever since this daemon's own read, so that
    /// what is missing now has not lapsed in an outage.
    pub fn is_unbroken(&self) -> bool {
        self.own.is_some_and(|own| self.chain.since <= own.as_of)
    }

    /// When the store was read again after a time in which entries may have lapsed, as far as is known
    /// here; `None` if there was none.
    pub fn outage_end(&self) -> Option<Moment> {
        self.chain.is_resumed.then_some(self.chain.since)
    }

    /// This daemon's last read, to be sent to its peers.
    pub fn own(&self) -> Option<ReadMark> {
        self.own
    }

    /// The moment as of which this daemon's state is known to be right, by its own read or by a
    /// peer's read of the same state; `None` before its first read.
    pub fn confirmed(&self) -> Option<Moment> {
        let own = self.own?;
        let received = self.received.filter(|received| received.state == own.state);
        let received = received.map_or(own.as_of, |received| received.as_of);
        Some(own.as_of.max(received).max(self.last_confirmed))
    }

    /// Moment of the last read by another daemon.
    pub fn received(&self) -> Option<Moment> {
        self.received.map(|received| received.as_of)
    }

    /// Whether the freshest known read, by whichever daemon, found the state that this daemon has.
    pub fn is_confirmed(&self) -> bool {
        let Some(own) = self.own else { return false };
        self.received.is_none_or(|it| it.state == own.state || it.as_of <= own.as_of)
    }

    /// The earliest moment at which a change found by a read at `now` can have been made: this
    /// daemon's state was last known to be right then.
    ///
    /// A process that did not run reads late, and so does one whose reader was lost; a change that
    /// was dated at its read would look as recent as that read.
    pub fn changed_since(&self, now: Moment) -> Moment {
        self.confirmed().unwrap_or(now)
    }

    /// Moment of the last known read by any daemon, this one included.
    pub fn freshest(&self) -> Option<Moment> {
        let received = self.received.map(|received| received.as_of);
        self.own.map(|own| own.as_of).max(received)
    }

    /// Whether this daemon's own read is the freshest known.
    pub fn is_freshest(&self) -> bool {
        self.own.is_some_and(|own| self.received.is_none_or(|received| received.as_of <= own.as_of))
    }

    /// Whether the daemon of this rank (0 is the reader) must read now.
    pub fn is_due(&self, rank: usize, pace: ReadPace, now: Moment) -> bool {
        let (Some(own), Some(confirmed)) = (self.own, self.confirmed()) else { return true };
        let is_older = |read: Moment, limit_ms: u64| Deadline::after(read, limit_ms).passed(now);
        let is_stale = match rank {
            0 => is_older(own.as_of, pace.interval_ms),
            1..=STANDBYS => is_older(confirmed, pace.standby_ms),
            _ => pace.is_expired(confirmed, now),
        };
        is_stale || !self.is_confirmed()
    }
}

/// Read state of everything that daemons read from the store for each other.
#[derive(Clone, Copy, Debug, Default)]
pub struct SharedReads {
    /// Offset from which all operator records that this daemon read publish weights or drain data
    /// centres, which it sends to its peers by gossip; `None` if the last one read does not.
    pub published_since: Option<u64>,
    /// Reads of the operator's records; the state is the offset up to which they were read.
    pub operator: ReadTracker,
    /// Reads of the list of upstreams; the state is its digest.
    pub list: ReadTracker,
}

impl SharedReads {
    /// Records that this daemon copied a configuration: its peers must not take what it has read since
    /// for records that gossip told them.
    pub fn note_copied(&mut self) {
        self.published_since = None;
    }

    /// Records that a peer sent by gossip all operator records from `since` up to `state`, so that
    /// this daemon need not read them, and neither need those to which it passes its marks.
    pub fn note_gossiped(&mut self, since: u64, state: u64) {
        self.operator.note_skipped(since, state);
        if self.operator.own().is_some_and(|own| own.state == state) {
            self.published_since = Some(since);
        }
    }

    /// Records that this daemon read `count` operator records from an offset on. If all of them are
    /// sent by gossip, its peers need not read them, which would cost one call for each daemon.
    pub fn note_records(&mut self, from: u64, count: usize, are_gossiped: bool) {
        if !are_gossiped {
            self.published_since = None;
        } else if count > 0 {
            self.published_since.get_or_insert(from);
        }
    }
}
