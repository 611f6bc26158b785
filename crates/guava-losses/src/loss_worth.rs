//! What requests are worth, by their route, and how much of it a loss costs.

use guava_types::FastMap;
use snafu::Snafu;
use std::str::FromStr;

/// Worth of a request whose route is given none.
const DEFAULT_WORTH: f64 = 1.0;
/// Fraction of its worth that a late answer loses if none is given.
const DEFAULT_LATE: f64 = 0.5;

/// Why a worth can't be read.
#[derive(Debug, Snafu)]
#[snafu(display("found {text:?}, allowed: {allowed}"))]
pub struct WorthError {
    text: Box<str>,
    allowed: &'static str,
}

/// Worth of a request of a route, as in `/draft=5`.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteWorth {
    /// Which route.
    pub route: Box<str>,
    /// Zero or more.
    pub worth: f64,
}

impl FromStr for RouteWorth {
    type Err = WorthError;

    fn from_str(text: &str) -> Result<Self, WorthError> {
        // A route may contain the sign itself.
        let (route, worth) = text.rsplit_once('=').unwrap_or(("", ""));
        match worth.parse() {
            Ok(worth) if !route.is_empty() && f64::is_finite(worth) && worth >= 0.0 => {
                Ok(Self { route: route.into(), worth })
            }
            _ => Err(WorthError { text: text.into(), allowed: "ROUTE=NUMBER, from 0" }),
        }
    }
}

/// Fraction of its worth that a late answer loses, from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LateFraction(f64);

impl Default for LateFraction {
    fn default() -> Self {
        Self(DEFAULT_LATE)
    }
}

impl FromStr for LateFraction {
    type Err = WorthError;

    fn from_str(text: &str) -> Result<Self, WorthError> {
        match text.parse() {
            Ok(fraction) if (0.0..=1.0).contains(&fraction) => Ok(Self(fraction)),
            _ => Err(WorthError { text: text.into(), allowed: "a number from 0 to 1" }),
        }
    }
}

/// What requests and their losses are worth.
#[derive(Clone, Debug, Default)]
pub struct WorthTable {
    routes: FastMap<Box<str>, f64>,
    late: LateFraction,
}

impl WorthTable {
    /// A table of what is given; of two worths of a route the last counts.
    pub fn new(routes: impl IntoIterator<Item = RouteWorth>, late: LateFraction) -> Self {
        let routes = routes.into_iter().map(|given| (given.route, given.worth)).collect();
        Self { routes, late }
    }

    /// Worth of a request of this route.
    pub fn request(&self, route: &str) -> f64 {
        self.routes.get(route).copied().unwrap_or(DEFAULT_WORTH)
    }

    /// Worth that a request of this route loses if it is not answered; if it is late, a part.
    pub fn loss(&self, route: &str, is_late: bool) -> f64 {
        self.request(route) * if is_late { self.late.0 } else { 1.0 }
    }
}
