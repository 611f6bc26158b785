//! Random and sequential identifiers.

use serde_with::{DeserializeFromStr, SerializeDisplay};
use snafu::Snafu;
use std::fmt;
use std::str::FromStr;

/// Why a text is no identifier.
#[derive(Debug, Snafu, PartialEq, Eq)]
pub enum IdError {
    /// Not 32 hexadecimal digits.
    #[snafu(display("expected 32 hexadecimal digits, found {found:?}"))]
    NotHex {
        /// The offending text.
        found: Box<str>,
    },
    /// Not an unsigned number.
    #[snafu(display("expected an unsigned number, found {found:?}"))]
    NotNumber {
        /// The offending text.
        found: Box<str>,
    },
}

macro_rules! hex_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
        )]
        pub struct $name(pub u128);

        impl fmt::Display for $name {
            fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(out, "{:032x}", self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(out, "{}({:08x})", stringify!($name), self.0 >> 96)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                let not_hex = || IdError::NotHex { found: text.into() };
                if text.len() != 32 {
                    return Err(not_hex());
                }
                u128::from_str_radix(text, 16).map(Self).map_err(|_| not_hex())
            }
        }
    };
}

hex_id!(
    /// One start of a daemon; never reused.
    Incarnation
);
hex_id!(
    /// Identity of one log record or intent, kept across retries of its append.
    RecordId
);
hex_id!(
    /// What a request is, whichever attempt of its caller's: the same for the same caller, path and
    /// body; or what a part of prompts is. A hash, so that it tells nothing of them.
    RequestDigest
);

hex_id!(
    /// A stream: a digest of its caller's customer and of the id of the attempt that began it.
    StreamKey
);

impl StreamKey {
    /// The key of the stream that an attempt of a customer began. Customers may use the same ids.
    pub fn of(customer: &str, attempt: &str) -> Self {
        Self(RequestDigest::of(customer, attempt, b"stream").0)
    }

    /// Its bytes, for messages.
    pub fn to_bytes(self) -> Vec<u8> {
        self.0.to_be_bytes().to_vec()
    }

    /// A key from a message's bytes; `None` if they are not as many as a key has.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(|bytes| Self(u128::from_be_bytes(bytes)))
    }
}

impl Incarnation {
    /// A fresh random value.
    pub fn random() -> Self {
        Self(rand::random())
    }
}

impl RecordId {
    /// A fresh random value.
    pub fn random() -> Self {
        Self(rand::random())
    }
}

impl RequestDigest {
    /// The digest of a caller's name, a path with its query, and a body.
    pub fn of(caller: &str, path: &str, body: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in [caller.as_bytes(), path.as_bytes(), body] {
            // Lengths keep two requests apart whose parts only run together to the same bytes.
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Self::from_hash(&hasher)
    }

    /// The digest of a part of prompts, by its id.
    pub fn of_part(id: &str) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(b"part:").update(id.as_bytes());
        Self::from_hash(&hasher)
    }

    fn from_hash(hasher: &blake3::Hasher) -> Self {
        let mut half = [0; 16];
        hasher.finalize_xof().fill(&mut half);
        Self(u128::from_be_bytes(half))
    }

    /// Its bytes, for messages.
    pub fn to_bytes(self) -> Vec<u8> {
        self.0.to_be_bytes().to_vec()
    }

    /// A digest from a message's bytes; nothing if they are none.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(|bytes| Self(u128::from_be_bytes(bytes)))
    }
}

/// Position of a record in the platform's log; also the revision of a configured object.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    SerializeDisplay,
    DeserializeFromStr,
)]
pub struct Offset(pub u64);

impl Offset {
    /// The offset after this one.
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl fmt::Display for Offset {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(out)
    }
}

impl FromStr for Offset {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        text.parse().map(Self).map_err(|_| IdError::NotNumber { found: text.into() })
    }
}
