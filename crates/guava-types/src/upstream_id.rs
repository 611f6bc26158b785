//! Identity of one start of an upstream.
//!
//! An upstream may crash and start again under its name. It then holds nothing of before: not its
//! cached parts, not its count of orders, and it is not leaving any more. So the moment of its start
//! belongs to its identity, and whatever is kept by id is forgotten with the start that it was
//! learnt of.

use crate::names::{NameError, is_name};
use serde_with::{DeserializeFromStr, SerializeDisplay};
use std::fmt;
use std::str::FromStr;

/// Stands between the name and the start; no name contains it.
const START_MARK: char = '@';

/// A server that does work: engine, service instance or KV store; `NAME`, or `NAME@START` where it
/// tells when it started.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr)]
pub struct UpstreamId(Box<str>);

impl UpstreamId {
    /// The same upstream, started at a Unix time in milliseconds.
    pub fn started_at(&self, start_ms: u64) -> Self {
        Self(format!("{}{START_MARK}{start_ms}", self.name()).into())
    }

    /// Its name, which outlives its starts.
    pub fn name(&self) -> &str {
        self.0.split_once(START_MARK).map_or(&self.0, |(name, _)| name)
    }

    /// When it started, in milliseconds of Unix time, if it tells.
    pub fn start_ms(&self) -> Option<u64> {
        let (_, start) = self.0.split_once(START_MARK)?;
        start.parse().ok()
    }

    /// Whether this is an earlier start of the same upstream than another. One that does not tell
    /// its start is earlier than one that does.
    pub fn is_before(&self, other: &Self) -> bool {
        self.name() == other.name() && self.start_ms() < other.start_ms()
    }

    /// Name and start as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for UpstreamId {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(out)
    }
}

impl fmt::Debug for UpstreamId {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(&self.0, out)
    }
}

impl FromStr for UpstreamId {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, NameError> {
        let is_valid = match text.split_once(START_MARK) {
            None => is_name(text),
            // Written otherwise, as with a leading zero, one start would have two ids.
            Some((name, start)) => {
                let read: Option<u64> = start.parse().ok();
                is_name(name) && read.is_some_and(|read| read.to_string() == start)
            }
        };
        if is_valid { Ok(Self(text.into())) } else { Err(NameError::of(text)) }
    }
}
