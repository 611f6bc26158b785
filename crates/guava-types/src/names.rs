//! Names that operators choose: customers, models, services, data centres.

use serde_with::{DeserializeFromStr, SerializeDisplay};
use snafu::Snafu;
use std::fmt;
use std::str::FromStr;

/// Longest accepted name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// What stands for a name that could not be read.
const UNSET: &str = "unset";

/// Why a text is no name.
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(display(
    "expected 1 to {MAX_NAME_BYTES} of a-z 0-9 '.' '_' '-', starting with a letter or digit, \
     found {found:?}"
))]
pub struct NameError {
    found: Box<str>,
}

impl NameError {
    /// The error for a text that is no name.
    pub fn of(text: &str) -> Self {
        Self { found: text.chars().take(MAX_NAME_BYTES).collect() }
    }
}

/// Whether a text is a name.
pub(crate) fn is_name(text: &str) -> bool {
    let inner = |byte: u8| {
        byte.is_ascii_lowercase() || byte.is_ascii_digit() || matches!(byte, b'.' | b'_' | b'-')
    };
    let starts = text.bytes().next().is_some_and(|byte| byte.is_ascii_alphanumeric());
    starts && text.len() <= MAX_NAME_BYTES && text.bytes().all(inner)
}

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
        )]
        pub struct $name(Box<str>);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl Default for $name {
            fn default() -> Self {
                Self(UNSET.into())
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(out)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(&self.0, out)
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                if is_name(text) {
                    Ok(Self(text.into()))
                } else {
                    Err(NameError::of(text))
                }
            }
        }
    };
}

name!(
    /// A customer: the root of every cache key, call key and answer.
    CustomerId
);
name!(
    /// A data centre.
    DataCentre
);
name!(
    /// A daemon's configured name.
    MemberName
);
name!(
    /// A language model, whatever its version.
    ModelName
);
name!(
    /// One set of weights of a model.
    VersionName
);
name!(
    /// A plain service beside the engines.
    ServiceName
);
