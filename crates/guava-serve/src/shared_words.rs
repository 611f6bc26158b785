//! What daemons know of the platform's store through each other.
//!
//! Calls to the store are dear, and all daemons would read the same. So a few read, and tell the
//! others how far they have read and when; the others read only when that shows a change, or when
//! nobody's word is fresh enough. A word is as old as the read behind it, so readers that are cut
//! off or gone are noticed by its age alone.

use guava_types::{Deadline, Moment};

/// Daemons of each data centre that read for all of it. When it is lost the others read themselves
/// until another one's turn comes, so one is enough.
pub const READERS: usize = 1;

/// How often the store is read, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadPace {
    /// Pause between two reads of a reader.
    pub pause_ms: u64,
    /// Wait of a read that returns at the next change. Such a read is worth what it was when it was
    /// asked, so others see its age grow to twice the wait.
    pub wait_ms: u64,
    /// Age at which a word no longer counts.
    pub expiry_ms: u64,
}

/// Part of the time allowed for a change to be in force after which a reader reads again, and after
/// which others no longer count on a reader's word. The rest is for the messages between them, a
/// read of their own, and requests under way.
const PAUSE_PART: f64 = 0.4;
const WAIT_PART: f64 = 0.26;
const EXPIRY_PART: f64 = 0.65;

impl ReadPace {
    /// The pace where a change must be in force within so many milliseconds.
    pub fn within(limit_ms: u64) -> Self {
        let part = |part: f64| (limit_ms as f64 * part) as u64;
        Self { pause_ms: part(PAUSE_PART), wait_ms: part(WAIT_PART), expiry_ms: part(EXPIRY_PART) }
    }
}

/// A state as somebody read it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharedWord {
    /// The state: an offset, or a digest.
    pub state: u64,
    /// When the read behind it was begun, on this daemon's clock.
    pub as_of: Moment,
}

/// The freshest word on one thing, of this daemon or another.
#[derive(Clone, Copy, Debug, Default)]
pub struct WordKeeper {
    own: Option<SharedWord>,
    heard: Option<SharedWord>,
}

impl WordKeeper {
    /// Notes what this daemon itself read.
    pub fn note_own(&mut self, state: u64, as_of: Moment) {
        self.own = Some(SharedWord { state, as_of });
    }

    /// Notes that this daemon's state changed without a read.
    pub fn note_state(&mut self, state: u64) {
        if let Some(own) = &mut self.own {
            own.state = state;
        }
    }

    /// Notes what another daemon read.
    pub fn note_heard(&mut self, word: SharedWord) {
        if self.heard.is_none_or(|heard| heard.as_of < word.as_of) {
            self.heard = Some(word);
        }
    }

    /// What this daemon itself read last, for the others.
    pub fn own(&self) -> Option<SharedWord> {
        self.own
    }

    /// The moment as of which this daemon's state is known to be right.
    pub fn confirmed(&self) -> Option<Moment> {
        let own = self.own?;
        let is_same = |heard: &SharedWord| heard.state == own.state && heard.as_of > own.as_of;
        Some(self.heard.filter(is_same).map_or(own.as_of, |heard| heard.as_of))
    }

    /// The moment as of which any daemon, this one included, read last.
    pub fn freshest(&self) -> Option<Moment> {
        let heard = self.heard.map(|heard| heard.as_of);
        self.own.map(|own| own.as_of).max(heard)
    }

    /// Whether this daemon must read now.
    pub fn is_due(&self, is_reader: bool, pace: ReadPace, now: Moment) -> bool {
        let (Some(own), Some(confirmed)) = (self.own, self.confirmed()) else { return true };
        if is_reader {
            return Deadline::after(own.as_of, pace.pause_ms).passed(now);
        }
        let is_news = |heard: SharedWord| heard.state != own.state && heard.as_of > own.as_of;
        let is_expired = Deadline::after(confirmed, pace.expiry_ms).passed(now);
        self.heard.is_some_and(is_news) || is_expired
    }
}

/// The words on what the store holds.
#[derive(Clone, Copy, Debug, Default)]
pub struct SharedWords {
    /// The operator's records: the offset up to which they were read.
    pub operator: WordKeeper,
    /// The list of upstreams: its digest.
    pub list: WordKeeper,
}
