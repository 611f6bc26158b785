//! What daemons tell each other: one small datagram, a few times a second.

use crate::member_table::MemberNote;
use crate::part_index::PartKey;
use crate::upstream_table::WeightVersion;
use crate::work_table::WorkShare;
use guava_types::{FastMap, Incarnation, ModelName, TokenCount, UpstreamId};
use prost::Message;
use std::net::SocketAddr;

/// Largest datagram, in bytes: stays whole on links that carry usual Ethernet frames, several
/// fragments in the worst case.
pub const MAX_DATAGRAM_BYTES: usize = 8_192;

#[derive(Clone, PartialEq, Message)]
struct WireShare {
    #[prost(string, tag = "1")]
    upstream: String,
    #[prost(uint64, tag = "2")]
    waiting: u64,
    #[prost(uint64, tag = "3")]
    memory: u64,
    #[prost(uint32, tag = "4")]
    running: u32,
}

#[derive(Clone, PartialEq, Message)]
struct WireSent {
    #[prost(string, tag = "1")]
    upstream: String,
    #[prost(fixed64, repeated, tag = "2")]
    parts: Vec<u64>,
    #[prost(uint64, tag = "3")]
    tokens: u64,
}

#[derive(Clone, PartialEq, Message)]
struct WireTarget {
    #[prost(string, tag = "1")]
    model: String,
    #[prost(uint64, tag = "2")]
    version: u64,
    #[prost(uint64, tag = "3")]
    age_ms: u64,
}

#[derive(Clone, PartialEq, Message)]
struct WirePeer {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(string, tag = "2")]
    incarnation: String,
    #[prost(string, tag = "3")]
    peer_address: String,
    #[prost(string, tag = "4")]
    caller_address: String,
    #[prost(bool, tag = "5")]
    is_ready: bool,
    #[prost(message, repeated, tag = "6")]
    shares: Vec<WireShare>,
    #[prost(message, repeated, tag = "7")]
    sent: Vec<WireSent>,
    #[prost(string, repeated, tag = "8")]
    loading: Vec<String>,
    #[prost(message, repeated, tag = "9")]
    targets: Vec<WireTarget>,
}

/// A prompt that a peer sent to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SentPrompt {
    /// Which engine.
    pub engine: UpstreamId,
    /// Its shared parts.
    pub parts: Vec<PartKey>,
    /// Its length.
    pub tokens: TokenCount,
}

/// Weights that a peer knows to be published.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PublishedVersion {
    /// Of which model.
    pub model: ModelName,
    /// Which.
    pub version: WeightVersion,
    /// For how long the peer has known it, in milliseconds; clocks are never compared.
    pub age_ms: u64,
}

/// What one daemon tells the others.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerMessage {
    /// Who speaks.
    pub note: MemberNote,
    /// Its work at upstreams.
    pub shares: FastMap<UpstreamId, WorkShare>,
    /// Prompts that it sent since its last message.
    pub sent: Vec<SentPrompt>,
    /// Upstreams that load new weights at its order.
    pub loading: Vec<UpstreamId>,
    /// The newest published weights of each model.
    pub targets: Vec<PublishedVersion>,
}

impl PeerMessage {
    /// The bytes of one datagram.
    pub fn encode(&self) -> Vec<u8> {
        let share = |(id, share): (&UpstreamId, &WorkShare)| WireShare {
            upstream: id.to_string(),
            waiting: share.waiting.0,
            memory: share.memory.0,
            running: share.running,
        };
        let sent = |sent: &SentPrompt| WireSent {
            upstream: sent.engine.to_string(),
            parts: sent.parts.iter().map(|part| part.0).collect(),
            tokens: sent.tokens.0,
        };
        let target = |target: &PublishedVersion| WireTarget {
            model: target.model.to_string(),
            version: target.version.0,
            age_ms: target.age_ms,
        };
        let wire = WirePeer {
            name: self.note.name.to_string(),
            incarnation: self.note.incarnation.to_string(),
            peer_address: self.note.peer_address.to_string(),
            caller_address: self.note.caller_address.to_string(),
            is_ready: self.note.is_ready,
            shares: self.shares.iter().map(share).collect(),
            sent: self.sent.iter().map(sent).collect(),
            loading: self.loading.iter().map(UpstreamId::to_string).collect(),
            targets: self.targets.iter().map(target).collect(),
        };
        wire.encode_to_vec()
    }

    /// Reads a datagram; nothing if it is none of ours.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let wire = WirePeer::decode(bytes).ok()?;
        let incarnation: Incarnation = wire.incarnation.parse().ok()?;
        let address = |text: &str| text.parse::<SocketAddr>().ok();
        let note = MemberNote {
            name: wire.name.parse().ok()?,
            incarnation,
            peer_address: address(&wire.peer_address)?,
            caller_address: address(&wire.caller_address)?,
            is_ready: wire.is_ready,
        };
        let share = |share: &WireShare| {
            let work = WorkShare {
                waiting: TokenCount(share.waiting),
                memory: TokenCount(share.memory),
                running: share.running,
            };
            Some((share.upstream.parse().ok()?, work))
        };
        let sent = |sent: &WireSent| {
            let engine = sent.upstream.parse().ok()?;
            let parts = sent.parts.iter().map(|part| PartKey(*part)).collect();
            Some(SentPrompt { engine, parts, tokens: TokenCount(sent.tokens) })
        };
        let target = |target: &WireTarget| {
            let version = WeightVersion(target.version);
            Some(PublishedVersion {
                model: target.model.parse().ok()?,
                version,
                age_ms: target.age_ms,
            })
        };
        Some(Self {
            note,
            shares: wire.shares.iter().filter_map(share).collect(),
            sent: wire.sent.iter().filter_map(sent).collect(),
            loading: wire.loading.iter().filter_map(|id| id.parse().ok()).collect(),
            targets: wire.targets.iter().filter_map(target).collect(),
        })
    }
}
