//! The load that an upstream reports of itself in an answer.
//!
//! The text is parsed here, in the same way for every protocol; each protocol's client decides which
//! header holds it. A report is never required, and one that can't be parsed is ignored.

use guava_types::Moment;
use serde_with::{DeserializeFromStr, SerializeDisplay};
use snafu::Snafu;
use std::fmt;
use std::str::FromStr;

/// Largest number of requests or slots that is accepted.
const MAX_COUNT: u32 = 100_000;
/// Slowest pace that is accepted, in percent: a mistaken value must not close an upstream.
const MAX_PACE_PERCENT: u32 = 10_000;

/// Why a text is no report of load.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum ReportedLoadError {
    /// Fewer than three fields, or more than four.
    #[snafu(display("expected 3 or 4 fields, found {found}"))]
    FieldCount {
        /// Number of fields.
        found: usize,
    },
    /// A field is no unsigned number.
    #[snafu(display("expected an unsigned number, found {found:?}"))]
    NotNumber {
        /// The offending field.
        found: Box<str>,
    },
    /// A number is outside the accepted range.
    #[snafu(display("{field}: {found} is out of range"))]
    OutOfRange {
        /// Name of the field.
        field: &'static str,
        /// The number.
        found: u32,
    },
}

/// How long work takes at an upstream at present, in percent of the usual time; 100 is as usual.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct PacePercent(pub u32);

impl PacePercent {
    /// Work takes as long as usual.
    pub const USUAL: Self = Self(100);

    /// Factor by which work takes longer than usual.
    pub fn factor(self) -> f64 {
        f64::from(self.0) / f64::from(Self::USUAL.0)
    }
}

impl fmt::Display for PacePercent {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(out)
    }
}

impl FromStr for PacePercent {
    type Err = ReportedLoadError;

    fn from_str(text: &str) -> Result<Self, ReportedLoadError> {
        let percent = number(text)?;
        if percent == 0 || percent > MAX_PACE_PERCENT {
            return Err(ReportedLoadError::OutOfRange { field: "pace", found: percent });
        }
        Ok(Self(percent))
    }
}

/// Load of an upstream as it reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that it can run at the same time, at least one.
    pub slots: u32,
    /// How long work takes at present; `None` if it is not stated.
    pub pace: Option<PacePercent>,
}

impl FromStr for ReportedLoad {
    type Err = ReportedLoadError;

    /// Parses `running,waiting,slots` or `running,waiting,slots,pace`.
    fn from_str(text: &str) -> Result<Self, ReportedLoadError> {
        let fields: Vec<&str> = text.split(',').collect();
        let (running, waiting, slots, pace) = match fields[..] {
            [running, waiting, slots] => (running, waiting, slots, None),
            [running, waiting, slots, pace] => (running, waiting, slots, Some(pace)),
            _ => return Err(ReportedLoadError::FieldCount { found: fields.len() }),
        };
        let slots = count("slots", slots)?;
        if slots == 0 {
            return Err(ReportedLoadError::OutOfRange { field: "slots", found: slots });
        }
        Ok(Self {
            running: count("running", running)?,
            waiting: count("waiting", waiting)?,
            slots,
            pace: pace.map(str::parse).transpose()?,
        })
    }
}

impl fmt::Display for ReportedLoad {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{},{},{}", self.running, self.waiting, self.slots)?;
        self.pace.map_or(Ok(()), |pace| write!(out, ",{pace}"))
    }
}

/// A reported load, and when it was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadObservation {
    /// The load.
    pub load: ReportedLoad,
    /// When the answer that carried it arrived.
    pub received: Moment,
}

fn number(text: &str) -> Result<u32, ReportedLoadError> {
    let text = text.trim();
    text.parse().map_err(|_| ReportedLoadError::NotNumber { found: text.into() })
}

fn count(field: &'static str, text: &str) -> Result<u32, ReportedLoadError> {
    let found = number(text)?;
    if found > MAX_COUNT {
        return Err(ReportedLoadError::OutOfRange { field, found });
    }
    Ok(found)
}
