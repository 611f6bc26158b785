//! Which prompt parts full stores keep, on traces of prompts that share parts.

use guava_policy::{
    PartUses, RankedPart, StoreRoom, admission_floor, is_worth_room, part_value, parts_to_retire,
};
use guava_types::{Moment, TokenCount};
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

/// Milliseconds between two prompts, and between two rounds of retirement.
const STEP_MS: u64 = 50;
const ROUND_MS: u64 = 10_000;
/// Prompts between two looks at what goes next.
const FLOOR_INTERVAL: u64 = 10;
const PARTS: u64 = 400;

/// Lengths of parts, from 200 to 9,000 tokens, spread evenly on a logarithmic scale.
fn length(key: u64) -> u64 {
    (200.0 * 45.0_f64.powf((key * 7_919 % 101) as f64 / 100.0)) as u64
}

/// Keys of the parts that `count` prompts use, drawn by Zipf's law; rank 0 is `first`.
fn zipf_trace(count: usize, first: u64, seed: u64) -> Vec<u64> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut keys: Vec<u64> = (first..first + PARTS).collect();
    keys.shuffle(&mut random);
    let weights: Vec<f64> = (1..=PARTS).map(|rank| 1.0 / rank as f64).collect();
    let total: f64 = weights.iter().sum();
    let draw = |_| {
        let mut left = random.random::<f64>() * total;
        let rank = weights.iter().position(|weight| {
            left -= weight;
            left <= 0.0
        });
        keys[rank.unwrap_or(0)]
    };
    (0..count).map(draw).collect()
}

/// A store with the rules under test, or with today's: what comes first stays.
struct PartStore {
    total: u64,
    keeps_first: bool,
    uses: PartUses,
    held: BTreeMap<u64, u64>,
    now: Moment,
    floor: f64,
    used_tokens: u64,
    hit_tokens: u64,
}

impl PartStore {
    fn new(total: u64, keeps_first: bool) -> Self {
        let (uses, held, now) = (PartUses::default(), BTreeMap::new(), Moment(1_000));
        Self { total, keeps_first, uses, held, now, floor: 0.0, used_tokens: 0, hit_tokens: 0 }
    }

    fn ranked(&self) -> Vec<RankedPart> {
        let rank = |(key, tokens): (&u64, &u64)| {
            let tokens = TokenCount(*tokens);
            let value = part_value(self.uses.uses(*key, self.now), tokens);
            RankedPart { key: *key, tokens, value, is_busy: false }
        };
        self.held.iter().map(rank).collect()
    }

    fn room(&self) -> StoreRoom {
        let longest = self.held.values().max().copied().unwrap_or(0);
        let used = TokenCount(self.held.values().sum());
        StoreRoom { total: TokenCount(self.total), used, longest: TokenCount(longest) }
    }

    fn use_part(&mut self, key: u64) {
        self.now = Moment(self.now.0 + STEP_MS);
        let tokens = length(key);
        self.used_tokens += tokens;
        if self.now.0.is_multiple_of(FLOOR_INTERVAL * STEP_MS) {
            self.floor = admission_floor(&self.ranked());
        }
        if self.held.contains_key(&key) {
            self.hit_tokens += tokens;
        } else if self.admits(key, tokens) {
            self.held.insert(key, tokens);
        }
        self.uses.note(key, self.now);
        if !self.keeps_first && self.now.0.is_multiple_of(ROUND_MS) {
            let retired = parts_to_retire(&self.ranked(), self.room(), 24);
            self.held.retain(|key, _| !retired.contains(key));
        }
    }

    fn admits(&self, key: u64, tokens: u64) -> bool {
        let room = self.room();
        let used = room.used.0 + tokens;
        let uses = self.uses.uses(key, self.now);
        let is_worth_it = || is_worth_room(uses, TokenCount(tokens), self.floor);
        used <= self.total
            && (self.keeps_first || used + room.reserve().0 <= self.total || is_worth_it())
    }

    /// Plays a trace; the fraction of its tokens that were held.
    fn hit_rate(&mut self, trace: &[u64]) -> f64 {
        (self.used_tokens, self.hit_tokens) = (0, 0);
        trace.iter().for_each(|key| self.use_part(*key));
        self.hit_tokens as f64 / self.used_tokens as f64
    }
}

/// The same fraction if the best choice in hindsight is held all the time.
fn best_hit_rate(trace: &[u64], room: u64) -> f64 {
    let mut counts: BTreeMap<u64, u64> = BTreeMap::new();
    trace.iter().for_each(|key| *counts.entry(*key).or_default() += 1);
    let mut parts: Vec<(u64, u64)> = counts.into_iter().collect();
    parts.sort_unstable_by_key(|(_, count)| std::cmp::Reverse(*count));
    let mut left = room;
    let mut held = 0;
    for (key, count) in parts {
        let tokens = length(key);
        if tokens <= left {
            left -= tokens;
            held += tokens * count;
        }
    }
    held as f64 / trace.iter().map(|key| length(*key)).sum::<u64>() as f64
}

/// Half of the room that all parts of a trace need.
fn half_room(first: u64) -> u64 {
    (first..first + PARTS).map(length).sum::<u64>() / 2
}

#[test]
fn full_store_keeps_the_parts_that_save_most() {
    // Load: prompts share parts by Zipf's law, and stores have half the room that these need.
    for seed in 1..=3 {
        let (room, trace) = (half_room(0), zipf_trace(12_000, 0, seed));

        let kept = PartStore::new(room, false).hit_rate(&trace);
        let first_come = PartStore::new(room, true).hit_rate(&trace);

        let best = best_hit_rate(&trace, room);
        println!("seed {seed}: {kept:.3}, best {best:.3}, first come {first_come:.3}");
        assert!(kept >= 0.9 * best, "{kept} of {best}");
        assert!(kept >= first_come, "{kept}, first come {first_come}");
    }
}

#[test]
fn full_store_follows_what_callers_ask_for() {
    // Load: the same, after ten minutes in which other parts were asked for most.
    for seed in 1..=3 {
        let (room, before) = (half_room(0), zipf_trace(12_000, 0, seed + 100));
        let trace = zipf_trace(12_000, 0, seed);

        let [kept, first_come] = [false, true].map(|keeps_first| {
            let mut store = PartStore::new(room, keeps_first);
            store.hit_rate(&before);
            store.hit_rate(&trace)
        });

        let best = best_hit_rate(&trace, room);
        println!("seed {seed}: {kept:.3}, best {best:.3}, first come {first_come:.3}");
        assert!(kept >= 0.9 * best, "{kept} of {best}");
        assert!(kept >= 1.15 * first_come, "{kept}, first come {first_come}");
    }
}

#[test]
fn parts_used_once_push_out_none_that_return() {
    // Load: the same, and every second prompt has a part that is never used again.
    let (room, trace) = (half_room(0), zipf_trace(12_000, 0, 1));
    let mut store = PartStore::new(room, false);
    store.hit_rate(&trace);
    let alone = store.hit_rate(&trace);

    let mut hits = 0;
    for (once, key) in (1_000_000..).zip(&trace) {
        store.use_part(once);
        hits += u64::from(store.held.contains_key(key)) * length(*key);
        store.use_part(*key);
    }

    let beside = hits as f64 / trace.iter().map(|key| length(*key)).sum::<u64>() as f64;
    println!("alone {alone:.3}, beside {beside:.3}");
    assert!(beside >= 0.97 * alone, "{beside} of {alone}");
}

#[test]
fn old_uses_count_less_however_long_ago() {
    let mut uses = PartUses::default();
    (0..100).for_each(|_| uses.note(1, Moment(1_000)));

    uses.note(2, Moment(1_000 + 120_000));
    let (before, after) = (uses.uses(1, Moment(121_000)), uses.uses(2, Moment(121_000)));
    let days_later = Moment(1_000 + 3 * 86_400_000);
    uses.note(3, days_later);

    assert!((before - 50.0).abs() < 0.1 && (after - 1.0).abs() < 0.01, "{before}, {after}");
    assert!((uses.uses(3, days_later) - 1.0).abs() < 0.01);
    assert!(uses.uses(1, days_later) < 0.01);
}

#[test]
fn part_in_use_is_not_retired_though_it_is_worth_least() {
    // Load: a store is full of parts that requests are fetching.
    let part =
        |key, is_busy| RankedPart { key, tokens: TokenCount(1_000), value: key as f64, is_busy };
    let parts: Vec<RankedPart> = (1..=10).map(|key| part(key, key < 9)).collect();
    let room = StoreRoom {
        total: TokenCount(10_000),
        used: TokenCount(10_000),
        longest: TokenCount(1_000),
    };

    assert_eq!(parts_to_retire(&parts, room, 24), [9]);
}
