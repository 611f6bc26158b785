//! Why a client's connection is closed, or what it asks for is refused.

use std::fmt;

/// Why a connection was closed or refused before its client ended it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CloseReason {
    /// It waited too long for a request.
    Idle,
    /// A head was not complete in time.
    SlowHead,
    /// An answer was not taken in time.
    UntakenAnswer,
    /// The bytes that clients hold reached their limit.
    Bytes,
    /// Another connection needed the place.
    Places,
    /// No place could be made for it.
    NoPlace,
    /// A request got no memory; its connection stays open.
    NoBytes,
}

impl CloseReason {
    /// All reasons, in the order of their indices.
    pub const ALL: [Self; 7] = [
        Self::Idle,
        Self::SlowHead,
        Self::UntakenAnswer,
        Self::Bytes,
        Self::Places,
        Self::NoPlace,
        Self::NoBytes,
    ];

    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::SlowHead => "slow-head",
            Self::UntakenAnswer => "untaken-answer",
            Self::Bytes => "bytes",
            Self::Places => "places",
            Self::NoPlace => "no-place",
            Self::NoBytes => "no-bytes",
        }
    }

    pub(crate) fn index(self) -> usize {
        self as usize
    }
}

impl fmt::Display for CloseReason {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(self.name())
    }
}
