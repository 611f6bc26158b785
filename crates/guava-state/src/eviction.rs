//! The eviction rule: when a silent member is taken off the roster.
//!
//! Only a daemon that reaches a majority evicts. Otherwise a minority that still reads the log
//! could evict all members that are silent to it and become the majority of the remaining roster.
//! It would then accept changes unknown to the former majority, which can't read the log but, by
//! the freshness rule, continues to serve.

use guava_types::{FastMap, Incarnation, Moment};

/// Silence after which a member is evicted, in milliseconds.
pub const EVICT_AFTER_MS: u64 = 30_000;

/// The moment from which each silent member has been silent.
#[derive(Clone, Debug, Default)]
pub struct EvictionWatch {
    silent_since: FastMap<Incarnation, Moment>,
}

impl EvictionWatch {
    /// Members to evict now. `stagger_ms` delays this daemon, so that it usually reads another
    /// daemon's eviction record before it writes its own.
    pub fn due(
        &mut self,
        silent: &[Incarnation],
        reaches_majority: bool,
        stagger_ms: u64,
        now: Moment,
    ) -> Vec<Incarnation> {
        self.silent_since.retain(|member, _| silent.contains(member));
        for member in silent {
            self.silent_since.entry(*member).or_insert(now);
        }
        if !reaches_majority {
            return Vec::new();
        }
        let is_over = |since: &Moment| now.millis_since(*since) > EVICT_AFTER_MS + stagger_ms;
        let due: Vec<Incarnation> = self
            .silent_since
            .iter()
            .filter(|(_, since)| is_over(since))
            .map(|(member, _)| *member)
            .collect();
        // Starts another full wait, so that the eviction is repeated if the record is lost.
        for member in &due {
            self.silent_since.insert(*member, now);
        }
        due
    }
}
