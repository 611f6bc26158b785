//! Prefill speed of each engine, measured from the answers to all daemons.
//!
//! Engines of one service differ in speed. With one throughput for all, a long prompt that only a
//! fast engine can read in time is as likely to go to a slow one. A single daemon sends too few
//! long prompts to measure every engine in time, so daemons gossip their measurements.

use guava_types::{Deadline, FastMap, Moment, TokenRate, UpstreamId};

/// Weights of a measurement above the estimate, and of one below it. Waiting behind other work
/// makes an engine appear slower than it is, never faster.
const FASTER_WEIGHT: f64 = 0.5;
const SLOWER_WEIGHT: f64 = 0.1;
/// For how long a measurement is sent to peers, in milliseconds: one summary to remote data
/// centres.
const REPEAT_MS: u64 = 1_100;
/// Largest number of measurements in one message.
const MAX_MEASUREMENTS_PER_MESSAGE: usize = 32;

/// A measurement, as daemons exchange it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineSpeed {
    /// Engine that was measured.
    pub engine: UpstreamId,
    /// Throughput at which it read a prompt.
    pub rate: TokenRate,
}

/// Speed estimates by engine, and this daemon's recent measurements.
#[derive(Debug, Default)]
pub struct EngineSpeeds {
    known: FastMap<UpstreamId, f64>,
    own: Vec<(EngineSpeed, Deadline)>,
}

impl EngineSpeeds {
    /// Notes a measurement of this daemon, to be sent to peers as well.
    pub fn note_own(&mut self, speed: EngineSpeed, now: Moment) {
        self.note(&speed);
        if self.own.len() < MAX_MEASUREMENTS_PER_MESSAGE {
            self.own.push((speed, Deadline::after(now, REPEAT_MS)));
        }
    }

    /// Adds a measurement of any daemon to the estimate.
    pub fn note(&mut self, speed: &EngineSpeed) {
        let measured = speed.rate.0.max(1) as f64;
        let known = self.known.entry(speed.engine.clone()).or_insert(measured);
        let weight = if measured > *known { FASTER_WEIGHT } else { SLOWER_WEIGHT };
        *known += (measured - *known) * weight;
    }

    /// Estimated throughput of an engine; `None` before its first measurement.
    pub fn rate(&self, engine: &UpstreamId) -> Option<TokenRate> {
        self.known.get(engine).map(|rate| TokenRate(*rate as u64))
    }

    /// This daemon's measurements that are recent enough to be sent to peers.
    pub fn recent_own(&mut self, now: Moment) -> Vec<EngineSpeed> {
        self.own.retain(|(_, until)| !until.passed(now));
        self.own.iter().map(|(speed, _)| speed.clone()).collect()
    }

    /// Drops the estimates of removed engines.
    pub fn retain(&mut self, is_known: impl Fn(&UpstreamId) -> bool) {
        self.known.retain(|id, _| is_known(id));
    }
}
