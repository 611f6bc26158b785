//! What is known of one client's connection.

use crate::client_limits::{CONNECTION_BYTES, ClientTimes};
use crate::close_reason::CloseReason;

/// A piece of an answer that the client has not taken.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UntakenPiece {
    pub(crate) number: u64,
    pub(crate) since_ms: u64,
}

/// State of a connection. Times are those of the process's `RunClock`.
#[derive(Debug)]
pub(crate) struct ConnectionEntry {
    /// Index of its listener.
    pub(crate) listener: usize,
    pub(crate) times: ClientTimes,
    /// Bytes that it holds.
    pub(crate) bytes: usize,
    pub(crate) is_closing: bool,
    /// Whether its close is to drop what its client has not taken.
    pub(crate) is_abortive: bool,
    /// Whether it carries several requests at a time.
    pub(crate) is_multiplexed: bool,
    /// Whether a request of it has been answered.
    pub(crate) has_served: bool,
    /// Requests in service.
    pub(crate) in_service: usize,
    /// Since when it is in its present state, if it waits for a request.
    pub(crate) idle_since_ms: u64,
    /// When the first byte of an incomplete head was read, and how many bytes of it are held.
    pub(crate) head: Option<(u64, usize)>,
    /// Since when a request's body is incomplete; one for each request.
    pub(crate) bodies: Vec<UntakenPiece>,
    /// Since when nothing more could be written.
    pub(crate) blocked_since_ms: Option<u64>,
    /// Since when its client sends ahead of an answer.
    pub(crate) ahead_since_ms: Option<u64>,
    /// Pieces of answers that are not taken.
    pub(crate) untaken: Vec<UntakenPiece>,
}

impl ConnectionEntry {
    pub(crate) fn new(listener: usize, times: ClientTimes, now_ms: u64) -> Self {
        Self {
            listener,
            times,
            bytes: CONNECTION_BYTES,
            is_closing: false,
            is_abortive: false,
            is_multiplexed: false,
            has_served: false,
            in_service: 0,
            idle_since_ms: now_ms,
            head: None,
            bodies: Vec::new(),
            blocked_since_ms: None,
            ahead_since_ms: None,
            untaken: Vec::new(),
        }
    }

    /// Since when an answer is not taken.
    fn untaken_since_ms(&self) -> Option<u64> {
        let pieces = self.untaken.iter().map(|piece| piece.since_ms);
        pieces.chain(self.blocked_since_ms).min()
    }

    /// Since when the process waits for the client in the midst of a request or an answer.
    pub(crate) fn stalled_since_ms(&self) -> Option<u64> {
        let bodies = self.bodies.iter().map(|body| body.since_ms);
        let head = self.head.map(|(since_ms, _)| since_ms);
        bodies.chain(head).chain(self.ahead_since_ms).chain(self.untaken_since_ms()).min()
    }

    /// Since when it waits for a request; `None` if one is in service or on its way.
    pub(crate) fn waiting_since_ms(&self) -> Option<u64> {
        (self.in_service == 0 && self.stalled_since_ms().is_none()).then_some(self.idle_since_ms)
    }

    /// What it has taken too long for.
    pub(crate) fn overdue(&self, now_ms: u64) -> Option<CloseReason> {
        let is_over = |since_ms: u64, limit_ms: u64| now_ms.saturating_sub(since_ms) > limit_ms;
        if self.head.is_some_and(|(since_ms, _)| is_over(since_ms, self.times.head_ms)) {
            return Some(CloseReason::SlowHead);
        }
        if self.waiting_since_ms().is_some_and(|since| is_over(since, self.times.idle_ms)) {
            return Some(CloseReason::Idle);
        }
        let is_untaken =
            self.untaken_since_ms().is_some_and(|since| is_over(since, self.times.answer_ms));
        is_untaken.then_some(CloseReason::UntakenAnswer)
    }
}
