//! Sizes and rates.

use serde_with::{DeserializeFromStr, SerializeDisplay};
use snafu::Snafu;
use std::fmt;
use std::str::FromStr;

/// Why a text is no size or rate.
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(display("expected {expected}, found {found:?}"))]
pub struct UnitError {
    expected: &'static str,
    found: Box<str>,
}

macro_rules! unit {
    ($(#[$doc:meta])* $name:ident, $unit:literal) => {
        $(#[$doc])*
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
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(out, concat!("{} ", $unit), self.0)
            }
        }

        impl FromStr for $name {
            type Err = UnitError;

            fn from_str(text: &str) -> Result<Self, UnitError> {
                let expected = concat!("a whole number and the unit, as in \"10 ", $unit, "\"");
                text.strip_suffix($unit)
                    .and_then(|number| number.trim_end().parse().ok())
                    .map(Self)
                    .ok_or_else(|| UnitError { expected, found: text.into() })
            }
        }
    };
}

unit!(
    /// A number of tokens.
    TokenCount,
    "tokens"
);
unit!(
    /// A number of bytes.
    ByteCount,
    "B"
);
unit!(
    /// Throughput of a link to a memory or disk tier.
    LinkRate,
    "B/s"
);
unit!(
    /// Prefill or decode throughput.
    TokenRate,
    "tokens/s"
);
unit!(
    /// Arrivals of requests.
    RequestRate,
    "requests/s"
);
