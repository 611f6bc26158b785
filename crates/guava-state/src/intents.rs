//! The intent rule: at each offset all daemons agree which incarnation may dispatch a key.
//!
//! Accepting an intent and pruning a key compare the end of the key's window with the same
//! `pruned_to` time: an intent is accepted only if the window ends after it, a key is pruned only
//! if the window does not. The two conditions exclude each other, so a pruned key can never be held
//! a second time, whatever any clock reads: a wrong clock causes refusals, never a second run.

use crate::IntentEntry;
use guava_types::{CallKey, Incarnation, RecordId, WallTime};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Advance of log time after which keys are pruned again, in milliseconds.
const PRUNE_STEP_MS: u64 = 10_000;

/// The intent that holds a key, and the incarnation that may dispatch it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldIntent {
    /// The accepted intent.
    pub id: RecordId,
    /// The only incarnation that may dispatch it.
    pub holder: Incarnation,
}

/// Decision on one intent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum IntentVerdict {
    /// The author holds the key.
    Held,
    /// Another intent holds the key.
    Lost {
        /// The incarnation that may dispatch the key.
        holder: Incarnation,
    },
    /// The intent's release is earlier in the log than the intent.
    Voided,
    /// The key's window has been pruned.
    Expired,
}

/// The keys whose windows have not been pruned.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct IntentTable {
    held: BTreeMap<CallKey, HeldIntent>,
    voided: BTreeMap<RecordId, CallKey>,
    pruned_to: WallTime,
}

impl IntentTable {
    /// The intent that holds a key, or `None` if the key is free or expired.
    pub fn holder(&self, key: &CallKey) -> Option<&HeldIntent> {
        self.held.get(key)
    }

    /// Number of keys held.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether no key is held.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Whether a key's window has been pruned, so that it is unknown whether the call ran.
    pub fn is_expired(&self, key: &CallKey) -> bool {
        key.key.window_end_wall().is_none_or(|end| end <= self.pruned_to)
    }

    pub(crate) fn note_intent(
        &mut self,
        entry: &IntentEntry,
        author: Incarnation,
    ) -> IntentVerdict {
        // A release can be in the log before the intent that it releases: the log can apply an
        // append long after its answer timed out. Without the entry in `voided` the late intent
        // would hold the key for an incarnation that has already answered "not run", and no
        // incarnation could run the call.
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
            // Only the holder knows that no byte was sent; a release by another incarnation would
            // allow a second dispatch of a call that may be running.
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
        let is_unexpired =
            |key: &CallKey| key.key.window_end_wall().is_some_and(|end| end > log_time);
        self.held.retain(|key, _| is_unexpired(key));
        self.voided.retain(|_, key| is_unexpired(key));
    }
}
