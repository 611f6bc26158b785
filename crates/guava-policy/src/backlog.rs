//! How long what an engine was sent keeps a new prompt waiting.
//!
//! An engine reads prompts one after the other, the more urgent first, and tells how far it is late
//! or not at all. What it was sent, by this daemon and by others, and how long it should take are
//! known; so its queue is played here. Counting a prompt in full until its first token, as a plain
//! sum of what waits does, makes an engine that is nearly done look as busy as one that has just
//! begun: with heavy prompts of half a second each, the wrong one of two is chosen every other time.

use guava_types::Moment;

/// A more urgent prompt waits at most so long for one that is being read, in milliseconds: engines
/// read in pieces of about a thousand tokens, some 30 ms each, and let urgent ones in between.
const PIECE_MS: f64 = 35.0;
/// Part of its time that a prompt counts as having left when its first token is overdue: the
/// engine is slower than expected, and how much is not known.
const OVERDUE_PART: f64 = 0.25;

/// Who knows when a prompt has been read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BacklogOwner {
    /// This daemon, by the ticket.
    Own(u64),
    /// Another daemon; here it only counts as read when its time is over.
    Peer,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct BacklogItem {
    owner: BacklogOwner,
    priority: u8,
    service_ms: f64,
}

/// One engine's queue of prompts that have no first token yet.
#[derive(Clone, Debug, Default)]
pub struct EngineBacklog {
    /// The prompt that is being read, then the others, more urgent first.
    items: Vec<BacklogItem>,
    /// When the first of them began to be read.
    began: Moment,
}

impl EngineBacklog {
    /// Notes a prompt of this daemon's.
    pub fn push_own(&mut self, ticket: u64, priority: u8, service_ms: f64, now: Moment) {
        self.push(BacklogItem { owner: BacklogOwner::Own(ticket), priority, service_ms }, now);
    }

    /// Notes a prompt that another daemon sent.
    pub fn push_peer(&mut self, priority: u8, service_ms: f64, now: Moment) {
        self.push(BacklogItem { owner: BacklogOwner::Peer, priority, service_ms }, now);
    }

    fn push(&mut self, item: BacklogItem, now: Moment) {
        self.advance(now);
        if self.items.is_empty() {
            self.began = now;
            self.items.push(item);
            return;
        }
        let waiting = &self.items[1..];
        let place = 1 + waiting.partition_point(|other| other.priority <= item.priority);
        self.items.insert(place, item);
    }

    /// Drops prompts of peers whose time is over.
    fn advance(&mut self, now: Moment) {
        while let Some(first) = self.items.first() {
            let is_read = now.millis_since(self.began) as f64 >= first.service_ms;
            if first.owner != BacklogOwner::Peer || !is_read {
                break;
            }
            self.began = Moment(self.began.0 + first.service_ms as u64);
            self.items.remove(0);
        }
    }

    /// Notes the first token of a prompt of this daemon's: what peers had before it has been read.
    pub fn started(&mut self, ticket: u64, now: Moment) {
        let own = BacklogOwner::Own(ticket);
        let Some(place) = self.items.iter().position(|item| item.owner == own) else { return };
        let mut index = 0;
        self.items.retain(|item| {
            let is_read = index < place && item.owner == BacklogOwner::Peer;
            let is_started = item.owner == own;
            index += 1;
            !is_read && !is_started
        });
        self.began = now;
    }

    /// Notes that a prompt of this daemon's is over without a first token.
    pub fn remove(&mut self, ticket: u64, now: Moment) {
        let own = BacklogOwner::Own(ticket);
        let Some(place) = self.items.iter().position(|item| item.owner == own) else { return };
        self.items.remove(place);
        if place == 0 {
            self.began = now;
        }
    }

    /// Milliseconds that a new prompt of a priority waits until it is read itself.
    pub fn wait_ms(&self, priority: u8, now: Moment) -> f64 {
        let mut progress = now.millis_since(self.began) as f64;
        let mut wait = 0.0;
        let mut is_first = true;
        for item in &self.items {
            let mut left = item.service_ms - progress;
            if item.owner == BacklogOwner::Peer && left <= 0.0 {
                progress = -left;
                continue;
            }
            if item.owner != BacklogOwner::Peer {
                left = left.max(item.service_ms * OVERDUE_PART);
            }
            progress = 0.0;
            if item.priority <= priority {
                wait += left;
            } else if is_first {
                wait += left.min(PIECE_MS);
            }
            is_first = false;
        }
        wait
    }

    /// Whether nothing is known to wait or to be read.
    pub fn is_idle(&self, now: Moment) -> bool {
        self.wait_ms(u8::MAX, now) <= 0.0
    }
}
