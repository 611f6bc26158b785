//! Idempotency keys, which carry the start of their own window.
//!
//! A logged key is a version 7 UUID (RFC 9562): its timestamp tells every daemon alike when its
//! window ends, whoever reads it. A pinned key names the incarnation that minted it and the moment
//! on that incarnation's clock; only that incarnation ever dispatches it.

use crate::{CustomerId, Deadline, Incarnation, Moment, WallTime};
use serde_with::{DeserializeFromStr, SerializeDisplay};
use snafu::Snafu;
use std::fmt;
use std::str::FromStr;
use uuid::Uuid;

/// How long after its minting a key may be repeated, in milliseconds.
const WINDOW_MS: u64 = 3_600_000;

const PINNED_PREFIX: &str = "pin-";

/// Why a text is no idempotency key.
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(display(
    "expected a version 7 UUID or a key minted by POST /v1/keys, found {} bytes of other text",
    length
))]
pub struct KeyError {
    length: usize,
}

/// Key minted by one incarnation and dispatched by it alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PinnedKey {
    /// The only incarnation that dispatches it.
    pub incarnation: Incarnation,
    /// When it was minted, on that incarnation's clock.
    pub issued: Moment,
    /// Tells keys of one moment apart.
    pub nonce: u64,
}

impl PinnedKey {
    /// The end of the key's window on its incarnation's clock.
    pub fn window_end(&self) -> Deadline {
        Deadline::after(self.issued, WINDOW_MS)
    }
}

/// An idempotency key as the caller sent it.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, SerializeDisplay, DeserializeFromStr,
)]
pub enum CallerKey {
    /// Recorded in the log before its dispatch.
    Logged(Uuid),
    /// Held in the memory of the incarnation that minted it.
    Pinned(PinnedKey),
}

impl CallerKey {
    /// The wall time at which a logged key was minted; nothing for a pinned key.
    pub fn issued_wall(&self) -> Option<WallTime> {
        let Self::Logged(uuid) = self else { return None };
        let (seconds, nanos) = uuid.get_timestamp()?.to_unix();
        Some(WallTime(seconds.saturating_mul(1000).saturating_add(u64::from(nanos) / 1_000_000)))
    }

    /// The wall time at which a logged key's window ends; nothing for a pinned key.
    pub fn window_end_wall(&self) -> Option<WallTime> {
        self.issued_wall().map(|issued| WallTime(issued.0.saturating_add(WINDOW_MS)))
    }
}

impl fmt::Display for CallerKey {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Logged(uuid) => uuid.hyphenated().fmt(out),
            Self::Pinned(key) => {
                write!(
                    out,
                    "{PINNED_PREFIX}{}-{:x}-{:016x}",
                    key.incarnation, key.issued.0, key.nonce
                )
            }
        }
    }
}

fn parse_pinned(text: &str) -> Option<PinnedKey> {
    let mut parts = text.split('-');
    let incarnation = parts.next()?.parse().ok()?;
    let issued = Moment(u64::from_str_radix(parts.next()?, 16).ok()?);
    let nonce = u64::from_str_radix(parts.next()?, 16).ok()?;
    parts.next().is_none().then_some(PinnedKey { incarnation, issued, nonce })
}

impl FromStr for CallerKey {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, KeyError> {
        let key = match text.strip_prefix(PINNED_PREFIX) {
            Some(rest) => parse_pinned(rest).map(Self::Pinned),
            None => Uuid::try_parse(text)
                .ok()
                .filter(|uuid| uuid.get_version_num() == 7)
                .map(Self::Logged),
        };
        key.ok_or(KeyError { length: text.len() })
    }
}

/// An idempotency key within its customer: equal keys of two customers are two keys.
#[derive(
    Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, SerializeDisplay, DeserializeFromStr,
)]
pub struct CallKey {
    /// Whose key.
    pub customer: CustomerId,
    /// The key.
    pub key: CallerKey,
}

impl fmt::Display for CallKey {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}/{}", self.customer, self.key)
    }
}

impl FromStr for CallKey {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, KeyError> {
        let error = || KeyError { length: text.len() };
        let (customer, key) = text.split_once('/').ok_or_else(error)?;
        Ok(Self { customer: customer.parse().map_err(|_| error())?, key: key.parse()? })
    }
}
