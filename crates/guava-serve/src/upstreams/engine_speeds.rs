//! How fast each engine reads prompts, as the answers to all daemons show.
//!
//! Engines of one service differ in speed. With one throughput for all, a long prompt that only a
//! fast engine can read in time goes to a slow one as often as not. One daemon of many sends too few
//! long prompts to learn of each engine in time, so daemons tell each other what they measured.

use guava_types::{Deadline, FastMap, Moment, TokenRate, UpstreamId};

/// Weights of a measurement that is better than what is known, and of one that is worse. Waits
/// behind other work make an engine look slower than it is, never faster.
const BETTER: f64 = 0.5;
const WORSE: f64 = 0.1;
/// For how long a measurement is told, in milliseconds: one summary to other data centres.
const TOLD_MS: u64 = 1_100;
/// Measurements told in one message at most.
const MOST_TOLD: usize = 32;

/// A measurement, as daemons tell each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineSpeed {
    /// Which engine.
    pub engine: UpstreamId,
    /// How fast it read a prompt.
    pub rate: TokenRate,
}

/// What is known of engines' speeds.
#[derive(Debug, Default)]
pub struct EngineSpeeds {
    known: FastMap<UpstreamId, f64>,
    own: Vec<(EngineSpeed, Deadline)>,
}

impl EngineSpeeds {
    /// Takes in a measurement of this daemon's.
    pub fn note_own(&mut self, speed: EngineSpeed, now: Moment) {
        self.note(&speed);
        if self.own.len() < MOST_TOLD {
            self.own.push((speed, Deadline::after(now, TOLD_MS)));
        }
    }

    /// Takes in a measurement, also of a peer.
    pub fn note(&mut self, speed: &EngineSpeed) {
        let found = speed.rate.0.max(1) as f64;
        let known = self.known.entry(speed.engine.clone()).or_insert(found);
        let weight = if found > *known { BETTER } else { WORSE };
        *known += (found - *known) * weight;
    }

    /// How fast an engine reads, if that is known.
    pub fn rate(&self, engine: &UpstreamId) -> Option<TokenRate> {
        self.known.get(engine).map(|rate| TokenRate(*rate as u64))
    }

    /// What to tell peers.
    pub fn recent_own(&mut self, now: Moment) -> Vec<EngineSpeed> {
        self.own.retain(|(_, until)| !until.passed(now));
        self.own.iter().map(|(speed, _)| speed.clone()).collect()
    }

    /// Forgets engines that are gone.
    pub fn retain(&mut self, is_known: impl Fn(&UpstreamId) -> bool) {
        self.known.retain(|id, _| is_known(id));
    }
}
