//! Limits what a daemon sends to peers that copy its list of upstreams, or its configuration, so that
//! copies leave room on its link for requests and messages, and those under way end in time: of many at
//! once over one link none would.

use guava_types::{ByteCount, LinkRate, Moment};

/// Fraction of the link that copies may use.
const LINK_FRACTION: f64 = 0.5;
/// Milliseconds of that fraction that may be used at once.
const BURST_MS: u64 = 1_000;

/// Bytes that may be sent now; grows with time up to a burst.
#[derive(Clone, Copy, Debug)]
pub struct TransferBudget {
    bytes_per_s: f64,
    available: f64,
    as_of: Moment,
}

impl TransferBudget {
    /// The budget of a daemon whose VM has a link of this rate; a whole burst at first.
    pub fn new(link: LinkRate, now: Moment) -> Self {
        let bytes_per_s = link.0 as f64 * LINK_FRACTION;
        Self { bytes_per_s, available: burst(bytes_per_s), as_of: now }
    }

    /// Whether anything may be sent now. What is sent then is taken from the budget afterwards, so
    /// that a piece larger than a burst can be sent too.
    pub fn is_open(&mut self, now: Moment) -> bool {
        let grown = self.bytes_per_s * now.millis_since(self.as_of) as f64 / 1_000.0;
        self.available = (self.available + grown).min(burst(self.bytes_per_s));
        self.as_of = now;
        self.available > 0.0
    }

    /// Takes what was sent.
    pub fn take(&mut self, sent: ByteCount) {
        self.available -= sent.0 as f64;
    }
}

fn burst(bytes_per_s: f64) -> f64 {
    bytes_per_s * BURST_MS as f64 / 1_000.0
}
