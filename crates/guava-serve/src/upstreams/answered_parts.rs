//! Parts of prompts that were answered lately.
//!
//! A part that crashes upstreams is never answered, so a part that was is no suspect. Most requests
//! share their first parts with many others; without this, these would be suspected at each crash.

use guava_types::{FastMap, Moment, RequestDigest};

/// How long an answer speaks for a part, in milliseconds: a part may turn out to crash a new build of
/// its upstreams, and must be suspected soon.
const RETENTION_MS: u64 = 15_000;
/// Most parts that are remembered.
const MAX_PARTS: usize = 4_096;

/// When parts were last answered.
#[derive(Debug, Default)]
pub struct AnsweredParts {
    answered: FastMap<RequestDigest, Moment>,
}

impl AnsweredParts {
    /// Notes that a request with this part was answered completely.
    pub fn note(&mut self, part: RequestDigest, now: Moment) {
        if self.answered.len() < MAX_PARTS || self.answered.contains_key(&part) {
            self.answered.insert(part, now);
        }
    }

    /// Whether a part was answered lately.
    pub fn is_answered(&self, part: RequestDigest, now: Moment) -> bool {
        self.answered.get(&part).is_some_and(|at| now.millis_since(*at) <= RETENTION_MS)
    }

    /// Forgets parts that were not answered lately.
    pub fn sweep(&mut self, now: Moment) {
        self.answered.retain(|_, at| now.millis_since(*at) <= RETENTION_MS);
    }
}
