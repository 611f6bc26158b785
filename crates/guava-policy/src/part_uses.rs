//! How often each prompt part was used lately, in fixed memory.
//!
//! A count-min sketch whose counts decay: several rows of counters, in each of which a part has one
//! that it may share with others, so the smallest of its counters is the closest. Instead of halving
//! all counters from time to time, later uses count for more; counts are divided by the weight of a
//! use now when they are read.

use guava_types::Moment;

/// Time in which a use comes to count half as much, in milliseconds. Which parts callers ask for
/// changes over minutes; a part that returns once in a few minutes must still rank before one that
/// never returns.
const USE_HALF_LIFE_MS: f64 = 120_000.0;
/// Rows and counters in each; 64 kB in all, enough for some thousand parts that are in use.
const ROWS: usize = 4;
const COLUMNS: usize = 4_096;
/// Half-lives after which all counters are scaled, so that they don't overflow.
const MAX_HALF_LIVES: f64 = 32.0;

/// Decaying counts of uses by the key of a part.
#[derive(Clone, Debug, Default)]
pub struct PartUses {
    /// Row after row; empty until the first use.
    counters: Vec<f32>,
    /// When a use has the weight 1.
    unit_at: Moment,
    /// When the first use was counted.
    since: Option<Moment>,
}

impl PartUses {
    /// Counts a use.
    pub fn note(&mut self, key: u64, now: Moment) {
        if self.since.is_none() {
            self.counters = vec![0.0; ROWS * COLUMNS];
            (self.since, self.unit_at) = (Some(now), now);
        }
        if self.half_lives(now) > MAX_HALF_LIVES {
            let scale = 0.5_f64.powf(self.half_lives(now)) as f32;
            self.counters.iter_mut().for_each(|counter| *counter *= scale);
            self.unit_at = now;
        }
        // Only the smallest counters grow, so that parts that share the others add less to them.
        let count = self.smallest(key) + self.half_lives(now).exp2() as f32;
        for place in places(key) {
            if let Some(counter) = self.counters.get_mut(place) {
                *counter = counter.max(count);
            }
        }
    }

    /// Recent uses of a part, at least as many as there were.
    pub fn uses(&self, key: u64, now: Moment) -> f64 {
        if self.since.is_none() {
            return 0.0;
        }
        f64::from(self.smallest(key)) * 0.5_f64.powf(self.half_lives(now))
    }

    /// For how long uses have been counted, in milliseconds.
    pub fn watched_ms(&self, now: Moment) -> u64 {
        self.since.map_or(0, |since| now.millis_since(since))
    }

    fn smallest(&self, key: u64) -> f32 {
        let counters = places(key).into_iter().filter_map(|place| self.counters.get(place));
        counters.copied().reduce(f32::min).unwrap_or(0.0)
    }

    fn half_lives(&self, now: Moment) -> f64 {
        now.millis_since(self.unit_at) as f64 / USE_HALF_LIFE_MS
    }
}

/// The counter of a key in each row.
fn places(key: u64) -> [usize; ROWS] {
    std::array::from_fn(|row| {
        let odd = 0x9E37_79B9_7F4A_7C15_u64.wrapping_add(2 * row as u64 * 0x5851_F42D);
        let mixed = (key ^ (key >> 29)).wrapping_mul(odd);
        row * COLUMNS + (mixed >> 40) as usize % COLUMNS
    })
}
