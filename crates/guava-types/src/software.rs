//! Versions of the upstreams' software.

use serde_with::{DeserializeFromStr, SerializeDisplay};
use snafu::Snafu;
use std::fmt;
use std::str::FromStr;

/// Longest accepted software version, in bytes.
pub const MAX_SOFTWARE_VERSION_BYTES: usize = 128;

/// Why a text is no software version.
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(display("expected 1 to {MAX_SOFTWARE_VERSION_BYTES} bytes, found {length}"))]
pub struct SoftwareVersionError {
    length: usize,
}

/// Version of an upstream's software, as the upstream states it. Versions have no order.
#[derive(Clone, PartialEq, Eq, Hash, SerializeDisplay, DeserializeFromStr)]
pub struct SoftwareVersion(Box<str>);

impl SoftwareVersion {
    /// The version as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(out)
    }
}

impl fmt::Debug for SoftwareVersion {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(&self.0, out)
    }
}

impl FromStr for SoftwareVersion {
    type Err = SoftwareVersionError;

    fn from_str(text: &str) -> Result<Self, SoftwareVersionError> {
        if (1..=MAX_SOFTWARE_VERSION_BYTES).contains(&text.len()) {
            Ok(Self(text.into()))
        } else {
            Err(SoftwareVersionError { length: text.len() })
        }
    }
}
