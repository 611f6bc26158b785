//! What daemons tell each other: one small datagram, a few times a second.

use crate::members::member_table::MemberDescriptor;
use crate::members::shared_reads::ReadMark;
use crate::parts::part_index::{PartChange, StoreUpdate};
use crate::parts::part_key::PartKey;
use crate::parts::save_ledger::PartSave;
use crate::parts::sent_prompt::SentPrompt;
use crate::parts::store_links::{SlowLink, StoreTransfer};
use crate::upstreams::crash_notice::CrashNotice;
use crate::upstreams::drain_table::DrainNotice;
use crate::upstreams::engine_speeds::EngineSpeed;
use crate::upstreams::list_order::ListRevision;
use crate::upstreams::upstream_table::{UpstreamEntry, WeightVersion};
use crate::upstreams::work_table::WorkShare;
use guava_policy::{ClearNotice, LimitNotice, QuarantineNotice};
use guava_types::{
    Deadline, FastMap, LimitRate, ModelName, Moment, RequestDigest, TokenCount, TokenRate,
    UpstreamId,
};
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
    #[prost(uint64, tag = "4")]
    waiting: u64,
    #[prost(uint32, tag = "5")]
    priority: u32,
    #[prost(string, repeated, tag = "7")]
    stores: Vec<String>,
    #[prost(uint32, repeated, tag = "8")]
    transfers_ms: Vec<u32>,
    #[prost(bool, tag = "9")]
    is_for_all: bool,
    #[prost(message, repeated, tag = "10")]
    saves: Vec<WireSave>,
}

#[derive(Clone, PartialEq, Message)]
struct WireSave {
    #[prost(fixed64, tag = "1")]
    key: u64,
    #[prost(string, tag = "2")]
    store: String,
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
struct WireStore {
    #[prost(string, tag = "1")]
    store: String,
    #[prost(uint64, tag = "2")]
    epoch: u64,
    #[prost(uint64, tag = "3")]
    age_ms: u64,
    #[prost(bool, tag = "4")]
    is_whole: bool,
    #[prost(fixed64, repeated, tag = "5")]
    keys: Vec<u64>,
    #[prost(uint64, repeated, tag = "6")]
    tokens: Vec<u64>,
}

#[derive(Clone, PartialEq, Message)]
struct WireMark {
    #[prost(fixed64, tag = "1")]
    state: u64,
    #[prost(uint64, tag = "2")]
    age_ms: u64,
}

#[derive(Clone, PartialEq, Message)]
struct WireLoaded {
    #[prost(string, tag = "1")]
    upstream: String,
    #[prost(string, tag = "2")]
    model: String,
    #[prost(uint64, tag = "3")]
    version: u64,
}

#[derive(Clone, PartialEq, Message)]
struct WireListed {
    #[prost(string, tag = "1")]
    upstream: String,
    #[prost(bool, tag = "2")]
    is_removed: bool,
    #[prost(string, tag = "3")]
    service: String,
    #[prost(string, tag = "4")]
    address: String,
    #[prost(string, tag = "5")]
    data_centre: String,
    #[prost(uint32, tag = "6")]
    slots: u32,
    #[prost(bool, tag = "7")]
    is_leaving: bool,
    #[prost(string, repeated, tag = "8")]
    models: Vec<String>,
    #[prost(uint64, repeated, tag = "9")]
    versions: Vec<u64>,
    #[prost(uint64, tag = "10")]
    cold_left_ms: u64,
    #[prost(fixed64, tag = "11")]
    revision: u64,
}

#[derive(Clone, PartialEq, Message)]
struct WirePeer {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(string, tag = "2")]
    data_centre: String,
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
    #[prost(message, repeated, tag = "10")]
    stores: Vec<WireStore>,
    #[prost(message, optional, tag = "11")]
    operator: Option<WireMark>,
    #[prost(message, optional, tag = "12")]
    list: Option<WireMark>,
    #[prost(message, repeated, tag = "13")]
    loaded: Vec<WireLoaded>,
    #[prost(uint64, optional, tag = "14")]
    clock_ms: Option<u64>,
    #[prost(message, repeated, tag = "15")]
    listed: Vec<WireListed>,
    #[prost(bool, tag = "16")]
    is_immediate: bool,
    #[prost(bool, tag = "17")]
    is_for_relay: bool,
    #[prost(message, repeated, tag = "18")]
    slow_links: Vec<WireLink>,
    #[prost(fixed64, optional, tag = "19")]
    published_since: Option<u64>,
    #[prost(message, repeated, tag = "20")]
    ended: Vec<WireEnded>,
    #[prost(message, repeated, tag = "21")]
    stops: Vec<WireStop>,
    #[prost(message, repeated, tag = "22")]
    cleared: Vec<WireCleared>,
    #[prost(bool, tag = "23")]
    knows_quarantines: bool,
    #[prost(message, repeated, tag = "24")]
    drains: Vec<WireDrain>,
    #[prost(message, repeated, tag = "25")]
    speeds: Vec<WireSpeed>,
    #[prost(bool, tag = "26")]
    is_continued: bool,
    #[prost(message, repeated, tag = "27")]
    limits: Vec<WireLimit>,
    #[prost(string, repeated, tag = "28")]
    leaving: Vec<String>,
}

#[derive(Clone, PartialEq, Message)]
struct WireLimit {
    #[prost(string, tag = "1")]
    upstream: String,
    /// Nothing once the limit is over.
    #[prost(uint64, optional, tag = "2")]
    thousandths_per_s: Option<u64>,
    #[prost(uint64, tag = "3")]
    age_ms: u64,
}

#[derive(Clone, PartialEq, Message)]
struct WireEnded {
    #[prost(string, tag = "1")]
    upstream: String,
    #[prost(bytes = "vec", repeated, tag = "2")]
    requests: Vec<Vec<u8>>,
    #[prost(uint64, tag = "3")]
    age_ms: u64,
}

#[derive(Clone, PartialEq, Message)]
struct WireSpeed {
    #[prost(string, tag = "1")]
    engine: String,
    #[prost(uint64, tag = "2")]
    tokens_per_s: u64,
}

#[derive(Clone, PartialEq, Message)]
struct WireCleared {
    #[prost(bytes = "vec", tag = "1")]
    request: Vec<u8>,
    #[prost(uint64, tag = "2")]
    age_ms: u64,
}

#[derive(Clone, PartialEq, Message)]
struct WireDrain {
    #[prost(string, tag = "1")]
    data_centre: String,
    #[prost(uint64, tag = "2")]
    as_of: u64,
    #[prost(bool, tag = "3")]
    is_drained: bool,
}

#[derive(Clone, PartialEq, Message)]
struct WireStop {
    #[prost(bytes = "vec", tag = "1")]
    request: Vec<u8>,
    #[prost(uint64, tag = "2")]
    left_ms: u64,
    #[prost(uint32, tag = "3")]
    times: u32,
}

#[derive(Clone, PartialEq, Message)]
struct WireLink {
    #[prost(string, tag = "1")]
    store: String,
    #[prost(uint32, tag = "2")]
    hundredths: u32,
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

/// A change in the list of upstreams.
#[derive(Clone, Debug, PartialEq)]
pub enum ListChange {
    /// An upstream as it is listed now.
    Entry(UpstreamEntry),
    /// An upstream that is listed no more, since a record.
    Removed(UpstreamId, ListRevision),
}

impl ListChange {
    /// Which upstream changed.
    pub fn id(&self) -> &UpstreamId {
        match self {
            Self::Entry(entry) => &entry.id,
            Self::Removed(id, _) => id,
        }
    }

    /// Which record of the list says so.
    pub fn revision(&self) -> ListRevision {
        match self {
            Self::Entry(entry) => entry.revision,
            Self::Removed(_, revision) => *revision,
        }
    }
}

/// Weights that an engine has, as the daemon found that orders it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadedVersion {
    /// Which engine.
    pub engine: UpstreamId,
    /// Of which model.
    pub model: ModelName,
    /// Which.
    pub version: WeightVersion,
}

/// What one daemon tells the others. Moments are on the clock of the daemon that has the message
/// in hand: only ages travel.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerMessage {
    /// Who speaks.
    pub member: MemberDescriptor,
    /// Its work at upstreams.
    pub shares: FastMap<UpstreamId, WorkShare>,
    /// Prompts that it sent since its last message.
    pub sent: Vec<SentPrompt>,
    /// Upstreams that load new weights at its order.
    pub loading: Vec<UpstreamId>,
    /// The newest published weights of each model.
    pub targets: Vec<PublishedVersion>,
    /// The stores of cached parts that it follows.
    pub stores: Vec<StoreUpdate>,
    /// How far it has read the operator's records itself.
    pub operator: Option<ReadMark>,
    /// From which offset on up to that one all records publish weights that `targets` has.
    pub published_since: Option<u64>,
    /// The list of upstreams as it has read it itself.
    pub list: Option<ReadMark>,
    /// Engines that lately got their weights by its order.
    pub loaded: Vec<LoadedVersion>,
    /// The upstreams' clock, in milliseconds.
    pub clock_ms: Option<u64>,
    /// What lately changed in the list of upstreams, as it has read it itself.
    pub listed: Vec<ListChange>,
    /// Links of stores that its own fetches show to be slow.
    pub slow_links: Vec<SlowLink>,
    /// Upstreams that lately ended, with its requests that broke off there.
    pub ended: Vec<CrashNotice>,
    /// Requests that are stopped, as far as it knows.
    pub stops: Vec<QuarantineNotice>,
    /// Requests that it has lately found to do no harm.
    pub cleared: Vec<ClearNotice>,
    /// Whether it knows the records of stopped requests.
    pub knows_quarantines: bool,
    /// Data centres that are, or were, drained.
    pub drains: Vec<DrainNotice>,
    /// How fast engines were that lately read its prompts.
    pub speeds: Vec<EngineSpeed>,
    /// Limits that upstreams name, and that are over.
    pub limits: Vec<LimitNotice>,
    /// Upstreams that lately said that they leave.
    pub leaving: Vec<UpstreamId>,
    /// Whether this is a note on prompts just sent, and leaves all else as it was said before.
    pub is_immediate: bool,
    /// Whether this goes on with a message that was too long for one datagram, and says nothing of
    /// its sender's work.
    pub is_continued: bool,
    /// Whether the receiver passes this on to the daemons of its own data centre.
    pub is_for_relay: bool,
}

impl PeerMessage {
    /// The message for another data centre of a large deployment, where one daemon passes it on to
    /// the others.
    ///
    /// Traffic between data centres is dear, so what they learn from their own readers and
    /// followers is left out. A relay that was suspended passes messages on seconds late; so is
    /// everything whose age counts, since the age would be taken from the moment of arrival: a
    /// configuration would look confirmed that nobody has read for seconds.
    pub fn for_relay(self) -> Self {
        Self {
            sent: Vec::new(),
            stores: Vec::new(),
            listed: Vec::new(),
            operator: None,
            published_since: None,
            list: None,
            clock_ms: None,
            slow_links: Vec::new(),
            is_for_relay: true,
            ..self
        }
    }

    /// The note for the relay of another data centre; nothing if no prompt concerns it.
    pub fn message_for_relay(&self, concerns: impl Fn(&SentPrompt) -> bool) -> Option<Self> {
        let for_all = self.sent.iter().filter(|sent| concerns(sent));
        // Transfers begun in another data centre are reckoned there from its own.
        let plain = |sent: &SentPrompt| SentPrompt { transfers: Vec::new(), ..sent.clone() };
        let sent: Vec<SentPrompt> = for_all.map(plain).collect();
        let concerns_all = !self.ended.is_empty() || self.tells_words() || self.tells_verdicts();
        let is_due = concerns_all || !sent.is_empty();
        is_due.then(|| Self { sent, is_for_relay: true, ..self.clone() })
    }

    /// Whether it says of requests that they are stopped, or are not any more.
    fn tells_verdicts(&self) -> bool {
        !self.stops.is_empty() || !self.cleared.is_empty()
    }

    /// Whether it says what upstreams have said of themselves.
    fn tells_words(&self) -> bool {
        !self.limits.is_empty() || !self.leaving.is_empty()
    }

    /// A message from the same daemon that goes on with this one and says nothing yet.
    pub fn continued(&self) -> Self {
        Self {
            is_continued: true,
            is_immediate: self.is_immediate,
            is_for_relay: self.is_for_relay,
            ..Self::empty(self.member.clone())
        }
    }

    /// A message that leaves all as it was said before.
    pub fn empty(note: MemberDescriptor) -> Self {
        Self {
            member: note,
            shares: FastMap::default(),
            sent: Vec::new(),
            loading: Vec::new(),
            targets: Vec::new(),
            stores: Vec::new(),
            operator: None,
            published_since: None,
            list: None,
            loaded: Vec::new(),
            clock_ms: None,
            listed: Vec::new(),
            slow_links: Vec::new(),
            speeds: Vec::new(),
            limits: Vec::new(),
            leaving: Vec::new(),
            ended: Vec::new(),
            stops: Vec::new(),
            cleared: Vec::new(),
            knows_quarantines: false,
            drains: Vec::new(),
            is_immediate: true,
            is_continued: false,
            is_for_relay: false,
        }
    }

    /// The message as a relay passes it on.
    pub fn relayed(self) -> Self {
        Self { is_for_relay: false, ..self }
    }

    /// The bytes of one datagram.
    pub fn encode(&self, now: Moment) -> Vec<u8> {
        let mark =
            |mark: ReadMark| WireMark { state: mark.state, age_ms: now.millis_since(mark.as_of) };
        let store = |store: &StoreUpdate| WireStore {
            store: store.store.to_string(),
            epoch: store.epoch,
            age_ms: now.millis_since(store.as_of),
            is_whole: store.is_complete,
            keys: store.parts.iter().map(|part| part.key.0).collect(),
            tokens: store.parts.iter().map(|part| part.tokens.0).collect(),
        };
        let loaded = |loaded: &LoadedVersion| WireLoaded {
            upstream: loaded.engine.to_string(),
            model: loaded.model.to_string(),
            version: loaded.version.0,
        };
        let share = |(id, share): (&UpstreamId, &WorkShare)| WireShare {
            upstream: id.to_string(),
            waiting: share.waiting.0,
            memory: share.memory.0,
            running: share.running,
        };
        let save = |save: &PartSave| WireSave {
            key: save.key.0,
            store: save.store.to_string(),
            tokens: save.tokens.0,
        };
        let sent = |sent: &SentPrompt| WireSent {
            upstream: sent.engine.to_string(),
            parts: sent.parts.iter().map(|part| part.0).collect(),
            tokens: sent.tokens.0,
            waiting: sent.waiting.0,
            priority: sent.priority.into(),
            saves: sent.saves.iter().map(save).collect(),
            stores: sent.transfers.iter().map(|one| one.store.to_string()).collect(),
            is_for_all: sent.is_for_all,
            transfers_ms: sent.transfers.iter().map(|one| one.transfer_ms).collect(),
        };
        let target = |target: &PublishedVersion| WireTarget {
            model: target.model.to_string(),
            version: target.version.0,
            age_ms: target.age_ms,
        };
        let slow_link = |link: &SlowLink| WireLink {
            store: link.store.to_string(),
            hundredths: link.hundredths,
        };
        let wire = WirePeer {
            name: self.member.name.to_string(),
            data_centre: self.member.data_centre.to_string(),
            peer_address: self.member.peer_address.to_string(),
            caller_address: self.member.caller_address.to_string(),
            is_ready: self.member.is_ready,
            shares: self.shares.iter().map(share).collect(),
            sent: self.sent.iter().map(sent).collect(),
            loading: self.loading.iter().map(UpstreamId::to_string).collect(),
            targets: self.targets.iter().map(target).collect(),
            stores: self.stores.iter().map(store).collect(),
            operator: self.operator.map(mark),
            published_since: self.published_since,
            list: self.list.map(mark),
            loaded: self.loaded.iter().map(loaded).collect(),
            clock_ms: self.clock_ms,
            listed: self.listed.iter().map(|change| wire_listed(change, now)).collect(),
            slow_links: self.slow_links.iter().map(slow_link).collect(),
            ended: self.ended.iter().map(|end| wire_ended(end, now)).collect(),
            stops: self.stops.iter().map(wire_stop).collect(),
            cleared: self.cleared.iter().map(|notice| wire_cleared(notice, now)).collect(),
            knows_quarantines: self.knows_quarantines,
            drains: self.drains.iter().map(wire_drain).collect(),
            speeds: self.speeds.iter().map(wire_speed).collect(),
            limits: self.limits.iter().map(|notice| wire_limit(notice, now)).collect(),
            leaving: self.leaving.iter().map(UpstreamId::to_string).collect(),
            is_immediate: self.is_immediate,
            is_continued: self.is_continued,
            is_for_relay: self.is_for_relay,
        };
        wire.encode_to_vec()
    }

    /// Reads a datagram that has just come; nothing if it is none of ours.
    pub fn decode(bytes: &[u8], now: Moment) -> Option<Self> {
        Self::decode_waiting(bytes, now, now)
    }

    /// Reads a datagram that has come at some moment since another. Both ages and times left are
    /// taken for the worse: what was so long ago may be older, and what lasts may last from now.
    pub fn decode_waiting(bytes: &[u8], since: Moment, now: Moment) -> Option<Self> {
        let mark =
            |mark: WireMark| ReadMark { state: mark.state, as_of: since.minus_millis(mark.age_ms) };
        let store = |store: WireStore| {
            let news = |(key, tokens): (u64, u64)| PartChange {
                key: PartKey(key),
                tokens: TokenCount(tokens),
            };
            Some(StoreUpdate {
                store: store.store.parse().ok()?,
                epoch: store.epoch,
                as_of: since.minus_millis(store.age_ms),
                is_complete: store.is_whole,
                parts: store.keys.into_iter().zip(store.tokens).map(news).collect(),
            })
        };
        let loaded = |loaded: WireLoaded| {
            Some(LoadedVersion {
                engine: loaded.upstream.parse().ok()?,
                model: loaded.model.parse().ok()?,
                version: WeightVersion(loaded.version),
            })
        };
        let wire = WirePeer::decode(bytes).ok()?;
        let address = |text: &str| text.parse::<SocketAddr>().ok();
        let note = MemberDescriptor {
            name: wire.name.parse().ok()?,
            data_centre: wire.data_centre.parse().ok()?,
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
        let transfer = |(store, millis): (&String, &u32)| {
            Some(StoreTransfer { store: store.parse().ok()?, transfer_ms: *millis })
        };
        let save = |save: &WireSave| {
            let store = save.store.parse().ok()?;
            Some(PartSave { key: PartKey(save.key), store, tokens: TokenCount(save.tokens) })
        };
        let sent = |sent: &WireSent| {
            let engine = sent.upstream.parse().ok()?;
            let parts = sent.parts.iter().map(|part| PartKey(*part)).collect();
            Some(SentPrompt {
                engine,
                parts,
                tokens: TokenCount(sent.tokens),
                waiting: TokenCount(sent.waiting),
                priority: u8::try_from(sent.priority).unwrap_or(u8::MAX),
                saves: sent.saves.iter().filter_map(save).collect(),
                is_for_all: sent.is_for_all,
                transfers: sent
                    .stores
                    .iter()
                    .zip(&sent.transfers_ms)
                    .filter_map(transfer)
                    .collect(),
            })
        };
        let target = |target: &WireTarget| {
            let version = WeightVersion(target.version);
            Some(PublishedVersion {
                model: target.model.parse().ok()?,
                version,
                age_ms: target.age_ms,
            })
        };
        let slow_link = |link: &WireLink| {
            Some(SlowLink { store: link.store.parse().ok()?, hundredths: link.hundredths })
        };
        Some(Self {
            member: note,
            shares: wire.shares.iter().filter_map(share).collect(),
            sent: wire.sent.iter().filter_map(sent).collect(),
            loading: wire.loading.iter().filter_map(|id| id.parse().ok()).collect(),
            targets: wire.targets.iter().filter_map(target).collect(),
            stores: wire.stores.into_iter().filter_map(store).collect(),
            operator: wire.operator.map(mark),
            published_since: wire.published_since,
            list: wire.list.map(mark),
            loaded: wire.loaded.into_iter().filter_map(loaded).collect(),
            clock_ms: wire.clock_ms,
            listed: wire.listed.iter().filter_map(|change| listed_change(change, now)).collect(),
            slow_links: wire.slow_links.iter().filter_map(slow_link).collect(),
            ended: wire.ended.iter().filter_map(|end| crash_notice(end, since)).collect(),
            stops: wire.stops.iter().filter_map(stop_notice).collect(),
            cleared: wire.cleared.iter().filter_map(|wire| clear_notice(wire, since)).collect(),
            knows_quarantines: wire.knows_quarantines,
            drains: wire.drains.iter().filter_map(drain_notice).collect(),
            speeds: wire.speeds.iter().filter_map(engine_speed).collect(),
            limits: wire.limits.iter().filter_map(|wire| limit_notice(wire, since)).collect(),
            leaving: wire.leaving.iter().filter_map(|id| id.parse().ok()).collect(),
            is_immediate: wire.is_immediate,
            is_continued: wire.is_continued,
            is_for_relay: wire.is_for_relay,
        })
    }
}

fn wire_ended(notice: &CrashNotice, now: Moment) -> WireEnded {
    let requests = notice.requests.iter().map(|digest| digest.to_bytes()).collect();
    let age_ms = now.millis_since(notice.at);
    WireEnded { upstream: notice.upstream.to_string(), requests, age_ms }
}

fn crash_notice(wire: &WireEnded, now: Moment) -> Option<CrashNotice> {
    let requests =
        wire.requests.iter().filter_map(|bytes| RequestDigest::from_bytes(bytes)).collect();
    let at = now.minus_millis(wire.age_ms);
    Some(CrashNotice { upstream: wire.upstream.parse().ok()?, at, requests })
}

fn wire_limit(notice: &LimitNotice, now: Moment) -> WireLimit {
    WireLimit {
        upstream: notice.upstream.to_string(),
        thousandths_per_s: notice.rate.map(LimitRate::thousandths),
        age_ms: now.millis_since(notice.as_of),
    }
}

fn limit_notice(wire: &WireLimit, now: Moment) -> Option<LimitNotice> {
    Some(LimitNotice {
        upstream: wire.upstream.parse().ok()?,
        rate: wire.thousandths_per_s.map(LimitRate::from_thousandths),
        as_of: now.minus_millis(wire.age_ms),
    })
}

fn wire_speed(speed: &EngineSpeed) -> WireSpeed {
    WireSpeed { engine: speed.engine.to_string(), tokens_per_s: speed.rate.0 }
}

fn engine_speed(wire: &WireSpeed) -> Option<EngineSpeed> {
    Some(EngineSpeed { engine: wire.engine.parse().ok()?, rate: TokenRate(wire.tokens_per_s) })
}

fn wire_cleared(notice: &ClearNotice, now: Moment) -> WireCleared {
    WireCleared { request: notice.request.to_bytes(), age_ms: now.millis_since(notice.at) }
}

fn clear_notice(wire: &WireCleared, now: Moment) -> Option<ClearNotice> {
    let request = RequestDigest::from_bytes(&wire.request)?;
    Some(ClearNotice { request, at: now.minus_millis(wire.age_ms) })
}

fn wire_stop(stop: &QuarantineNotice) -> WireStop {
    let request = stop.request.to_bytes();
    WireStop { request, left_ms: stop.left_ms, times: stop.times }
}

fn stop_notice(wire: &WireStop) -> Option<QuarantineNotice> {
    let request = RequestDigest::from_bytes(&wire.request)?;
    Some(QuarantineNotice { request, left_ms: wire.left_ms, times: wire.times })
}

fn wire_drain(notice: &DrainNotice) -> WireDrain {
    let data_centre = notice.data_centre.to_string();
    WireDrain { data_centre, as_of: notice.as_of, is_drained: notice.is_drained }
}

fn drain_notice(wire: &WireDrain) -> Option<DrainNotice> {
    let data_centre = wire.data_centre.parse().ok()?;
    Some(DrainNotice { data_centre, as_of: wire.as_of, is_drained: wire.is_drained })
}

fn wire_listed(change: &ListChange, now: Moment) -> WireListed {
    match change {
        ListChange::Removed(id, revision) => WireListed {
            upstream: id.to_string(),
            is_removed: true,
            revision: revision.0,
            ..WireListed::default()
        },
        ListChange::Entry(entry) => WireListed {
            upstream: entry.id.to_string(),
            is_removed: false,
            service: entry.service.to_string(),
            address: entry.address.to_string(),
            data_centre: entry.data_centre.to_string(),
            slots: entry.slots,
            is_leaving: entry.is_leaving,
            models: entry.versions.keys().map(ModelName::to_string).collect(),
            versions: entry.versions.values().map(|version| version.0).collect(),
            cold_left_ms: entry.cold_until.millis_left(now),
            revision: entry.revision.0,
        },
    }
}

fn listed_change(wire: &WireListed, now: Moment) -> Option<ListChange> {
    let id: UpstreamId = wire.upstream.parse().ok()?;
    let is_cold = wire.cold_left_ms > 0;
    let cold_until =
        if is_cold { Deadline::after(now, wire.cold_left_ms) } else { Deadline::default() };
    if wire.is_removed {
        return Some(ListChange::Removed(id, ListRevision(wire.revision)));
    }
    let version =
        |(model, version): (&String, &u64)| Some((model.parse().ok()?, WeightVersion(*version)));
    Some(ListChange::Entry(UpstreamEntry {
        id,
        revision: ListRevision(wire.revision),
        service: wire.service.parse().ok()?,
        address: wire.address.parse().ok()?,
        data_centre: wire.data_centre.parse().ok()?,
        slots: wire.slots,
        is_leaving: wire.is_leaving,
        cold_until,
        versions: wire.models.iter().zip(&wire.versions).filter_map(version).collect(),
    }))
}
