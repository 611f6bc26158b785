//! The intent rule: at each offset all daemons agree which incarnation may dispatch a key.
//!
//! An intent is accepted only while its key's window has not been pruned, and a key is pruned only
//! when its window has ended by the same mark. The two conditions exclude each other, so a pruned
//! key can never be taken a second time, whatever any clock says: a wrong clock costs refusals,
//! never a second run.

use crate::IntentEntry;
use guava_types::{CallKey, Incarnation, RecordId, WallTime};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// How far log time must move before keys are pruned again, in milliseconds.
const PRUNE_STEP_MS: u64 = 10_000;

/// Who may dispatch a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldIntent {
    /// The intent that came first.
    pub id: RecordId,
    /// The only incarnation that may dispatch it.
    pub holder: Incarnation,
}

/// What the reducer decided on one intent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum IntentVerdict {
    /// The author holds the key.
    Held,
    /// Another intent came first.
    Lost {
        /// Whose.
        holder: Incarnation,
    },
    /// Its author had released it before it arrived.
    Voided,
    /// The key's window has ended.
    Expired,
}

/// All keys inside their windows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct IntentTable {
    held: BTreeMap<CallKey, HeldIntent>,
    voided: BTreeMap<RecordId, CallKey>,
    pruned_to: WallTime,
}

impl IntentTable {
    /// The intent that holds a key.
    pub fn holder(&self, key: &CallKey) -> Option<&HeldIntent> {
        self.held.get(key)
    }

    /// How many keys are held.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether no key is held.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Whether a key's window has been pruned, so that it can't be known whether it ran.
    pub fn is_expired(&self, key: &CallKey) -> bool {
        key.key.window_end_wall().is_none_or(|end| end <= self.pruned_to)
    }

    pub(crate) fn take(&mut self, entry: &IntentEntry, author: Incarnation) -> IntentVerdict {
        // A release may overtake the append that it releases: the log can apply an append long
        // after its answer timed out. Without the mark the late intent would hold the key for an
        // incarnation that has already said "not run", and nobody could run it any more.
        if self.voided.contains_key(&entry.id) {
            return IntentVerdict::Voided;
        }
        if self.is_expired(&entry.key) {
            return IntentVerdict::Expired;
        }
        if let Some(held) = self.held.get(&entry.key) {
            let same = held.id == entry.id;
            let holder = held.holder;
            return if same { IntentVerdict::Held } else { IntentVerdict::Lost { holder } };
        }
        self.held.insert(entry.key.clone(), HeldIntent { id: entry.id, holder: author });
        IntentVerdict::Held
    }

    pub(crate) fn release(&mut self, entry: &IntentEntry, author: Incarnation) {
        if let Some(held) = self.held.get(&entry.key)
            && held.id == entry.id
        {
            // Only the holder knows that no byte was sent; a release by anybody else would let a
            // second incarnation dispatch a key that may be running.
            if held.holder != author {
                return;
            }
            self.held.remove(&entry.key);
        }
        if !self.is_expired(&entry.key) {
            self.voided.insert(entry.id, entry.key.clone());
        }
    }

    pub(crate) fn prune(&mut self, log_time: WallTime) {
        if log_time.0 < self.pruned_to.0.saturating_add(PRUNE_STEP_MS) {
            return;
        }
        self.pruned_to = log_time;
        let live = |key: &CallKey| key.key.window_end_wall().is_some_and(|end| end > log_time);
        self.held.retain(|key, _| live(key));
        self.voided.retain(|_, key| live(key));
    }
}
