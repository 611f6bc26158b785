//! Answers of peers that are asked where a stream began.

use crate::origin_table::OriginRecord;
use crate::stream_origin::StreamOrigin;
use guava_types::FastSet;
use std::net::SocketAddr;

/// What is known from the answers so far.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QueryState {
    /// Peers that may know it have not answered.
    Open,
    /// It began there.
    Found(StreamOrigin),
    /// No peer that may know it knows where it began, or it began at several places.
    Unknown,
}

/// A question to peers where a stream began.
#[derive(Debug, Default)]
pub struct OriginQuery {
    /// Peers whose answers are awaited; `None` if it is not known which peers answer.
    asked: Option<usize>,
    /// Those that know nothing of it.
    denials: FastSet<SocketAddr>,
    origin: Option<StreamOrigin>,
    is_ambiguous: bool,
}

impl OriginQuery {
    /// A question to so many peers, or `None` if others may answer in their place.
    pub fn new(asked: Option<usize>) -> Self {
        Self { asked, ..Self::default() }
    }

    /// Records a peer's answer.
    pub fn note(&mut self, peer: SocketAddr, record: OriginRecord) {
        match record {
            OriginRecord::Unknown => drop(self.denials.insert(peer)),
            OriginRecord::Ambiguous => self.is_ambiguous = true,
            OriginRecord::Known(origin) => {
                self.is_ambiguous |= self.origin.as_ref().is_some_and(|known| *known != origin);
                self.origin = Some(origin);
            }
        }
    }

    /// What is known so far.
    pub fn state(&self) -> QueryState {
        match &self.origin {
            _ if self.is_ambiguous => QueryState::Unknown,
            Some(origin) => QueryState::Found(origin.clone()),
            None if self.asked.is_some_and(|asked| self.denials.len() >= asked) => {
                QueryState::Unknown
            }
            None => QueryState::Open,
        }
    }

    /// Whether any peer has answered.
    pub fn is_answered(&self) -> bool {
        !self.denials.is_empty() || self.origin.is_some() || self.is_ambiguous
    }
}
