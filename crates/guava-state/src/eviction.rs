//! The eviction rule: when a silent member is taken off the roster.
//!
//! Only a daemon in touch with a majority evicts. A minority that still reads the log would else
//! evict everybody whom it does not hear, become the majority of what is left, and accept changes
//! behind the back of a majority that is cut from the log and, by the freshness rule, serves on.

use guava_types::{FastMap, Incarnation, Moment};

/// How long a member must be silent, in milliseconds.
pub const EVICT_AFTER_MS: u64 = 30_000;

/// Since when each silent member has been silent.
#[derive(Clone, Debug, Default)]
pub struct EvictionWatch {
    silent_since: FastMap<Incarnation, Moment>,
}

impl EvictionWatch {
    /// Members to evict now. `stagger_ms` delays this daemon a little: another one's record is then
    /// usually read before this one writes its own.
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
        // Not again before another full wait, should the record get lost.
        for member in &due {
            self.silent_since.insert(*member, now);
        }
        due
    }
}
