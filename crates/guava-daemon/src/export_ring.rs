//! The bounded ring to the cache duty.

use guava_policy::PrefixHash;
use guava_types::{ModelName, UpstreamId, VersionName};
use tokio::sync::mpsc;

const RING_LEN: usize = 256;

/// An engine has just computed a prompt whose family this daemon owns.
#[derive(Clone, Debug)]
pub struct PrefixNote {
    /// Root of the cache keys.
    pub salt: Box<str>,
    /// Block hashes.
    pub hashes: Vec<PrefixHash>,
    /// The engine.
    pub upstream: UpstreamId,
    /// The model.
    pub model: ModelName,
    /// The version.
    pub version: VersionName,
}

/// The sending end.
#[derive(Clone, Debug)]
pub struct ExportRing {
    sender: mpsc::Sender<PrefixNote>,
}

impl ExportRing {
    /// A ring and its receiving end.
    pub fn new() -> (Self, mpsc::Receiver<PrefixNote>) {
        let (sender, receiver) = mpsc::channel(RING_LEN);
        (Self { sender }, receiver)
    }

    /// Passes a note on; a full ring drops it, which costs a later recompute and nothing else.
    pub fn note(&self, note: PrefixNote) {
        drop(self.sender.try_send(note));
    }
}
