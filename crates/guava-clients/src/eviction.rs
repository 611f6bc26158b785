//! Which connection is closed first if bytes or places are short.
//!
//! First those whose clients the process waits for in the midst of a request or an answer, by the bytes
//! that they hold times how long they have stood there. A client that behaves sends a request as fast as
//! its link carries it and takes its answer as it comes, so its product stays small. Then those that
//! wait for a request, the ones that never made one before the others, longest first: whoever has
//! nothing under way loses nothing but the connection. A connection with a request in service that does
//! not wait for its client is never closed.

use crate::connection_entry::ConnectionEntry;

/// How long a client may stand still in the midst of something before it may be closed for others, in
/// milliseconds: a lost packet is sent again within that.
pub(crate) const MIN_STALL_MS: u64 = 500;

/// Order in which connections are closed; the greatest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum EvictionRank {
    /// It waits for a request after earlier ones, for so many milliseconds.
    Waiting(u64),
    /// It waits for its first request.
    Unused(u64),
    /// It stands still in the midst of something, with so many bytes times milliseconds.
    Stalled(u128),
}

impl EvictionRank {
    /// Whether it may be closed for its bytes. One that has served and waits holds few, and its client
    /// would have to connect again.
    pub(crate) fn gives_bytes(self) -> bool {
        !matches!(self, Self::Waiting(_))
    }

    /// The rank of a connection; `None` if it may not be closed for others.
    pub(crate) fn of(entry: &ConnectionEntry, now_ms: u64) -> Option<Self> {
        if entry.is_closing {
            return None;
        }
        if let Some(since_ms) = entry.stalled_since_ms() {
            let stalled_ms = now_ms.saturating_sub(since_ms);
            let weight = entry.bytes as u128 * u128::from(stalled_ms);
            return (stalled_ms >= MIN_STALL_MS).then_some(Self::Stalled(weight));
        }
        let waiting_ms = now_ms.saturating_sub(entry.waiting_since_ms()?);
        Some(match entry.has_served {
            true => Self::Waiting(waiting_ms),
            false => Self::Unused(waiting_ms),
        })
    }
}
