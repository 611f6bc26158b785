//! What lets this incarnation alone dispatch a key: its intent, read back as the one that holds the
//! key, or its own minting.

use guava_state::{IntentEntry, IntentVerdict};
use guava_types::{Incarnation, PinnedKey};
use std::fmt;

/// The hold of one key. Only the two facts that give it make one.
#[derive(Debug)]
pub struct KeyHold {
    intent: Option<IntentEntry>,
}

impl KeyHold {
    /// The hold of an intent; `None` unless the log says that the intent holds the key.
    pub fn of_intent(verdict: &IntentVerdict, intent: &IntentEntry) -> Option<Self> {
        let is_held = *verdict == IntentVerdict::Held;
        is_held.then(|| Self { intent: Some(intent.clone()) })
    }

    /// The hold of a pinned key; `None` unless this incarnation minted it.
    pub fn of_minted(key: PinnedKey, me: Incarnation) -> Option<Self> {
        (key.incarnation == me).then_some(Self { intent: None })
    }

    /// The intent to be released, if there is one.
    pub fn into_intent(self) -> Option<IntentEntry> {
        self.intent
    }
}

impl fmt::Display for KeyHold {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.intent {
            Some(intent) => write!(out, "intent {}", intent.id),
            None => out.write_str("minted"),
        }
    }
}
