//! Decides from where a daemon obtains what it lacks of the list of upstreams and of the operator's
//! records.
//!
//! The reader reads the store. The others copy from peers, and read the store only if no peer gives
//! them what they lack, so that the store's load does not grow with the daemons. A daemon that lacks
//! much waits longer before it does: when upstreams register by the thousand, all daemons lack the
//! same records at the same time.

use crate::members::member_table::NO_RANK;
use std::fmt;

/// Number of records that a daemon reads from the store soon if no peer gives them: as many as one
/// call returns.
const MAX_READ_GAP: u64 = 500;
/// Longest time for which a daemon waits for a peer that has the list or a configuration, in
/// milliseconds: at least, and the time over which those that wait in vain are spread.
const START_TIMEOUT_MS: u64 = 5_000;
const START_SPREAD_MS: f64 = 10_000.0;
/// Part of the time within which a change must be in force for which a daemon tries to copy it from
/// peers before it reads it from the store.
const COPY_TIME_DIVISOR: u64 = 7;

/// Longest time for which a daemon waits for a peer at its start, in milliseconds; `draw` is in 0..1.
pub fn start_timeout_ms(draw: f64) -> u64 {
    START_TIMEOUT_MS + (draw * START_SPREAD_MS) as u64
}

/// Divisor of the square of the number of daemons that gives the time between the reads of two ranks,
/// in milliseconds.
const RANK_STEP_DIVISOR: usize = 32;

/// How long the daemon of a rank waits for a peer, in milliseconds. When all daemons start together,
/// the reader may be the last of them, or not start at all. Others then read one after the other: the
/// more daemons there are, the longer is the list, and the more of them may ask for it. A daemon that
/// takes part in no reading, or has not read the daemons' records yet, waits longest: it can't tell how
/// many others ask.
fn peer_timeout_ms(rank: usize, daemons: usize, longest_ms: u64) -> u64 {
    if rank == NO_RANK {
        return longest_ms;
    }
    let graded_ms = rank.saturating_mul(daemons * daemons / RANK_STEP_DIVISOR);
    longest_ms.min(u64::try_from(graded_ms).unwrap_or(u64::MAX))
}

/// State on which it depends whether the operator's records are copied from peers.
#[derive(Clone, Copy, Debug)]
pub struct OperatorInput {
    /// This daemon's rank for reading the store; 0 is the reader.
    pub rank: usize,
    /// Number of daemons that are ranked.
    pub daemons: usize,
    /// Whether this daemon has a configuration.
    pub has_config: bool,
    /// Whether a peer has reported records that this daemon lacks.
    pub is_told: bool,
    /// For how long this daemon has been due to read, in milliseconds.
    pub waited_ms: u64,
    /// How long it waits for a peer at its start, in milliseconds.
    pub start_timeout_ms: u64,
    /// Longest time until a published configuration is in force, in milliseconds.
    pub config_limit_ms: u64,
}

/// For how much longer a daemon asks its peers for the operator's records, in milliseconds; 0 if it is
/// to read the store. A change that a peer reported is copied; if none reports, only the store can
/// tell.
pub fn operator_copy_ms(input: &OperatorInput) -> u64 {
    let timeout_ms = match (input.has_config, input.is_told) {
        (false, _) => peer_timeout_ms(input.rank, input.daemons, input.start_timeout_ms),
        (true, true) => input.config_limit_ms / COPY_TIME_DIVISOR,
        (true, false) => 0,
    };
    if input.rank == 0 { 0 } else { timeout_ms.saturating_sub(input.waited_ms) }
}

/// State on which the decision depends.
#[derive(Clone, Copy, Debug)]
pub struct SyncInput {
    /// Whether the list is unknown, differs from a peer's, or was not confirmed for too long.
    pub is_due: bool,
    /// This daemon's rank for reading the store; 0 is the reader.
    pub rank: usize,
    /// Number of daemons that are ranked.
    pub daemons: usize,
    /// Whether this daemon has read or copied the list before, and does not need the whole list again.
    pub is_known: bool,
    /// Whether a peer has reported a recent read.
    pub has_fresh_mark: bool,
    /// Whether it is attached to core daemons, which may have what they have not told yet.
    pub is_attached: bool,
    /// Number of records that are known to be lacking.
    pub gap: u64,
    /// For how long this daemon has been due without progress, in milliseconds.
    pub waited_ms: u64,
    /// How long it waits for a peer at most if it lacks much, in milliseconds.
    pub copy_timeout_ms: u64,
    /// Longest time until a change of the list is in force, in milliseconds.
    pub change_limit_ms: u64,
}

/// What to do now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SyncStep {
    /// Nothing: the list is known to be right.
    Idle,
    /// Copy from a peer; if that fails, read the store at once if `may_read`.
    Copy {
        /// Whether the store is read if no peer gives what is lacking.
        may_read: bool,
        /// Longest time for the attempt, in milliseconds: a peer that is down doesn't answer.
        timeout_ms: u64,
    },
    /// Read the store.
    Read,
}

/// What an attempt to copy led to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CopyState {
    /// Whether a peer gave a copy.
    pub is_copied: bool,
    /// Whether the list is now known to be right as of the freshest read.
    pub is_confirmed: bool,
    /// Whether the list is now known to be right as of a recent moment.
    pub is_recent: bool,
    /// Number of reported records that are still lacking.
    pub gap: u64,
    /// Whether the list differs from the peer's by records that only the whole list contains.
    pub has_diverged: bool,
}

/// Whether a daemon in this state need not read the store after a copy: it has all that peers have
/// reported, will copy the whole list, or has time to ask another peer, as the one that gave the copy
/// may be about to get the newest records itself.
pub fn is_copy_sufficient(input: &SyncInput, copy: &CopyState) -> bool {
    let has_time = input.waited_ms < input.change_limit_ms / COPY_TIME_DIVISOR;
    let is_complete = copy.is_confirmed || copy.gap == 0 || copy.has_diverged;
    copy.is_copied && (has_time || (is_complete && copy.is_recent))
}

/// Why a daemon that is not the reader reads the list, or the operator's records, from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadCause {
    /// It has never had them, and no peer gave it.
    Unknown,
    /// No peer has reported a recent read.
    Stale,
    /// No peer gave what is lacking.
    NoCopy,
    /// The copy lacks records that a peer has reported.
    Behind,
    /// The copy has all reported records, and yet the list differs from a peer's.
    Diverged,
}

impl fmt::Display for ReadCause {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(match self {
            Self::Unknown => "unknown",
            Self::Stale => "stale",
            Self::NoCopy => "no-copy",
            Self::Behind => "behind",
            Self::Diverged => "diverged",
        })
    }
}

/// Why a daemon in this state reads the operator's records; `None` if it is their reader.
pub fn operator_read_cause(input: &OperatorInput) -> Option<ReadCause> {
    match (input.rank, input.has_config, input.is_told) {
        (0, ..) => None,
        (_, false, _) => Some(ReadCause::Unknown),
        (_, true, true) => Some(ReadCause::NoCopy),
        (_, true, false) => Some(ReadCause::Stale),
    }
}

/// Why a daemon in this state reads the list; `gap` is what it lacks after its attempt to copy. `None`
/// if it is the list's reader.
pub fn read_cause(input: &SyncInput, is_copied: bool, gap: u64) -> Option<ReadCause> {
    if input.rank == 0 {
        return None;
    }
    Some(match (input.is_known, input.has_fresh_mark, is_copied, gap) {
        (false, ..) => ReadCause::Unknown,
        (true, false, ..) => ReadCause::Stale,
        (true, true, false, _) => ReadCause::NoCopy,
        (true, true, true, 0) => ReadCause::Diverged,
        (true, true, true, _) => ReadCause::Behind,
    })
}

/// Decides from where to obtain what is lacking.
pub fn sync_step(input: &SyncInput) -> SyncStep {
    if !input.is_due {
        return SyncStep::Idle;
    }
    if input.rank == 0 {
        return SyncStep::Read;
    }
    let lacks_much = !input.is_known || input.gap > MAX_READ_GAP;
    if !lacks_much {
        return if input.has_fresh_mark || input.is_attached {
            let timeout_ms = input.change_limit_ms / COPY_TIME_DIVISOR;
            SyncStep::Copy { may_read: true, timeout_ms }
        } else {
            SyncStep::Read
        };
    }
    let timeout_ms = peer_timeout_ms(input.rank, input.daemons, input.copy_timeout_ms);
    match timeout_ms.saturating_sub(input.waited_ms) {
        0 => SyncStep::Read,
        timeout_ms => SyncStep::Copy { may_read: false, timeout_ms },
    }
}
