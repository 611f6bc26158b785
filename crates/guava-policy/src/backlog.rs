//! How long the prompts sent to an engine keep a new prompt waiting.
//!
//! An engine prefills prompts one after the other, by priority, and reports its backlog late or not
//! at all. What it was sent, by this daemon and by others, and the expected times are known, so its
//! queue is simulated here. A plain sum that counts each prompt in full until its first token makes
//! an engine that has nearly finished look as busy as one that has just begun: with heavy prompts
//! of half a second each, the wrong one of two engines is chosen every other time.

use guava_types::Moment;

/// Longest wait of a more urgent prompt for one in prefill, in milliseconds. Engines prefill in
/// chunks of about a thousand tokens, some 30 ms each, and serve urgent prompts in between.
const PREFILL_CHUNK_MS: f64 = 35.0;
/// Fraction of its time that a prompt counts as having left when its first token is overdue: the
/// engine is slower than expected, by an unknown factor.
const OVERDUE_FRACTION: f64 = 0.25;

/// Which daemon learns when a prompt's prefill has finished.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BacklogOwner {
    /// This daemon, which identifies the prompt by its ticket.
    Own(u64),
    /// Another daemon. Here the prompt counts as finished when its expected time has passed.
    Peer,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct BacklogItem {
    owner: BacklogOwner,
    priority: u8,
    service_ms: f64,
}

/// Simulated queue of one engine: the prompts that have no first token yet.
#[derive(Clone, Debug, Default)]
pub struct EngineBacklog {
    /// The prompt in prefill, then the others, more urgent first.
    items: Vec<BacklogItem>,
    /// When the prefill of the first of them began.
    prefill_start: Moment,
}

impl EngineBacklog {
    /// Adds a prompt that this daemon sent. Lower values of `priority` are more urgent.
    pub fn push_own(&mut self, ticket: u64, priority: u8, service_ms: f64, now: Moment) {
        self.push(BacklogItem { owner: BacklogOwner::Own(ticket), priority, service_ms }, now);
    }

    /// Adds a prompt that another daemon sent.
    pub fn push_peer(&mut self, priority: u8, service_ms: f64, now: Moment) {
        self.push(BacklogItem { owner: BacklogOwner::Peer, priority, service_ms }, now);
    }

    fn push(&mut self, item: BacklogItem, now: Moment) {
        self.advance(now);
        if self.items.is_empty() {
            self.prefill_start = now;
            self.items.push(item);
            return;
        }
        let waiting = &self.items[1..];
        let item_index = 1 + waiting.partition_point(|other| other.priority <= item.priority);
        self.items.insert(item_index, item);
    }

    /// Removes leading prompts of peers whose expected time has passed.
    fn advance(&mut self, now: Moment) {
        while let Some(first) = self.items.first() {
            let is_prefilled = now.millis_since(self.prefill_start) as f64 >= first.service_ms;
            if first.owner != BacklogOwner::Peer || !is_prefilled {
                break;
            }
            self.prefill_start = Moment(self.prefill_start.0 + first.service_ms as u64);
            self.items.remove(0);
        }
    }

    /// Records the first token of this daemon's prompt: the prompts of peers before it have
    /// finished.
    pub fn started(&mut self, ticket: u64, now: Moment) {
        let own = BacklogOwner::Own(ticket);
        let Some(item_index) = self.items.iter().position(|item| item.owner == own) else { return };
        let mut index = 0;
        self.items.retain(|item| {
            let is_prefilled = index < item_index && item.owner == BacklogOwner::Peer;
            let is_started = item.owner == own;
            index += 1;
            !is_prefilled && !is_started
        });
        self.prefill_start = now;
    }

    /// Removes a prompt of this daemon that is over without a first token.
    pub fn remove(&mut self, ticket: u64, now: Moment) {
        let own = BacklogOwner::Own(ticket);
        let Some(item_index) = self.items.iter().position(|item| item.owner == own) else { return };
        self.items.remove(item_index);
        if item_index == 0 {
            self.prefill_start = now;
        }
    }

    /// Expected wait of a new prompt of this priority until its prefill, in milliseconds.
    pub fn wait_ms(&self, priority: u8, now: Moment) -> f64 {
        let mut progress = now.millis_since(self.prefill_start) as f64;
        let mut wait = 0.0;
        let mut is_first = true;
        for item in &self.items {
            let mut left = item.service_ms - progress;
            if item.owner == BacklogOwner::Peer && left <= 0.0 {
                progress = -left;
                continue;
            }
            if item.owner != BacklogOwner::Peer {
                left = left.max(item.service_ms * OVERDUE_FRACTION);
            }
            progress = 0.0;
            if item.priority <= priority {
                wait += left;
            } else if is_first {
                wait += left.min(PREFILL_CHUNK_MS);
            }
            is_first = false;
        }
        wait
    }

    /// Whether no prompt is known to wait or to be in prefill.
    pub fn is_idle(&self, now: Moment) -> bool {
        self.wait_ms(u8::MAX, now) <= 0.0
    }
}
