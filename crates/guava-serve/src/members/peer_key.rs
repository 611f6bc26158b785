//! Authenticates what daemons ask of each other that others must not see or forge.
//!
//! The configuration holds customers' keys. The key of the daemons lies in the platform's store, which
//! only they and the platform can read; whoever knows it may ask for the configuration.

use std::fmt::Display;

/// Length of the key and of a tag, in bytes.
const KEY_BYTES: usize = 32;

/// The key that all daemons of a deployment share.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct PeerKey([u8; KEY_BYTES]);

impl PeerKey {
    /// A new random key.
    pub fn random() -> Self {
        Self(rand::random())
    }

    /// Its bytes, for the store.
    pub fn to_bytes(self) -> [u8; KEY_BYTES] {
        self.0
    }

    /// A key from its bytes; `None` if they are not as many as a key has.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(Self)
    }

    /// Tag of a call to one daemon for one thing, as text for a header.
    pub fn call_tag(&self, target: &str, responder: &impl Display) -> String {
        let text = format!("call {target} {responder}");
        blake3::keyed_hash(&self.0, text.as_bytes()).to_hex().to_string()
    }

    /// Whether a call's tag is the expected one. The comparison takes the same time for any tag.
    pub fn is_call_tag(&self, tag: &str, target: &str, responder: &impl Display) -> bool {
        let Ok(tag) = blake3::Hash::from_hex(tag) else { return false };
        let text = format!("call {target} {responder}");
        blake3::keyed_hash(&self.0, text.as_bytes()) == tag
    }

    /// Tag of an answer to a call with this tag.
    pub fn answer_tag(&self, call_tag: &str, answer: &[u8]) -> [u8; KEY_BYTES] {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hasher.update(call_tag.as_bytes()).update(answer);
        *hasher.finalize().as_bytes()
    }
}
