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
    /// Share of a processor core that a process may use.
    CoreShare,
    "millicores"
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

/// Requests a second that an upstream takes, to the thousandth.
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
pub struct LimitRate(u64);

/// Thousandths of a request a second to one request a second.
const THOUSAND: u64 = 1_000;

impl LimitRate {
    /// A rate in requests a second; nothing if that is negative or no number.
    pub fn per_second(requests: f64) -> Option<Self> {
        // The cast is to the nearest value that there is: rates beyond any real one stay very large.
        let thousandths = (requests * THOUSAND as f64).round() as u64;
        (requests.is_finite() && requests >= 0.0).then_some(Self(thousandths))
    }

    /// A rate in thousandths of a request a second.
    pub fn from_thousandths(thousandths: u64) -> Self {
        Self(thousandths)
    }

    /// The rate in requests a second.
    pub fn as_per_second(self) -> f64 {
        self.0 as f64 / THOUSAND as f64
    }

    /// The rate in thousandths of a request a second.
    pub fn thousandths(self) -> u64 {
        self.0
    }
}

impl fmt::Display for LimitRate {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{} requests/s", self.as_per_second())
    }
}

impl FromStr for LimitRate {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let expected = "a number and the unit, as in \"2.7 requests/s\"";
        text.strip_suffix("requests/s")
            .and_then(|number| number.trim_end().parse().ok())
            .and_then(Self::per_second)
            .ok_or_else(|| UnitError { expected, found: text.into() })
    }
}
