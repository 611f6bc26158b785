//! Messages between daemons, and their encoding.
//!
//! Each daemon sends a summary of its state a few times a second, nearly always in one datagram,
//! and immediate messages between two summaries.

use crate::members::member_descriptor::MemberDescriptor;
use crate::members::member_table::{MemberRole, PeerRole};
use crate::members::queue_message::{WireReturn, WireUseReport};
use crate::members::shared_reads::ReadMark;
use crate::parts::part_index::{PartChange, StoreUpdate};
use crate::parts::part_key::PartKey;
use crate::parts::retirement::{RetireNotice, RetirePhase, RetirementId};
use crate::parts::save_ledger::PartSave;
use crate::parts::sent_prompt::SentPrompt;
use crate::parts::store_links::{SlowLink, StoreTransfer};
use crate::upstreams::crash_notice::CrashNotice;
use crate::upstreams::drain_table::DrainNotice;
use crate::upstreams::engine_speeds::EngineSpeed;
use crate::upstreams::list_order::ListRevision;
use crate::upstreams::upstream_table::{UpstreamEntry, WeightVersion};
use crate::upstreams::work_table::WorkShare;
use guava_policy::{
    BrittleNotice, ClearNotice, LimitNotice, LoadNotice, LoadObservation, QuarantineNotice,
    ReturnNotice, SuspectPart, UseReport,
};
use guava_types::{
    CoreShare, Deadline, FastMap, LimitRate, ModelName, Moment, RequestDigest, TokenCount,
    TokenRate, UpstreamId,
};
use prost::Message;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Largest datagram, in bytes. Links with usual Ethernet frames carry it, in the worst case as
/// several fragments.
pub const MAX_DATAGRAM_BYTES: usize = 8_192;

#[derive(Clone, PartialEq, Message)]
struct WireWorkShare {
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
struct WireSentPrompt {
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
    saves: Vec<WirePartSave>,
}

#[derive(Clone, PartialEq, Message)]
struct WirePartSave {
    #[prost(fixed64, tag = "1")]
    key: u64,
    #[prost(string, tag = "2")]
    store: String,
    #[prost(uint64, tag = "3")]
    tokens: u64,
    #[prost(uint64, tag = "4")]
    begins_within_ms: u64,
}

#[derive(Clone, PartialEq, Message)]
struct WirePublishedVersion {
    #[prost(string, tag = "1")]
    model: String,
    #[prost(uint64, tag = "2")]
    version: u64,
    /// Read by earlier builds.
    #[prost(uint64, tag = "3")]
    age_ms: u64,
    #[prost(bool, tag = "4")]
    is_recorded: bool,
    #[prost(uint64, optional, tag = "5")]
    unpublished_ms: Option<u64>,
}

#[derive(Clone, PartialEq, Message)]
struct WireStoreUpdate {
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
    #[prost(uint64, optional, tag = "7")]
    started_age_ms: Option<u64>,
}

#[derive(Clone, PartialEq, Message)]
struct WireReadMark {
    #[prost(fixed64, tag = "1")]
    state: u64,
    #[prost(uint64, tag = "2")]
    age_ms: u64,
}

#[derive(Clone, PartialEq, Message)]
struct WireLoadedVersion {
    #[prost(string, tag = "1")]
    upstream: String,
    #[prost(string, tag = "2")]
    model: String,
    #[prost(uint64, tag = "3")]
    version: u64,
}

#[derive(Clone, PartialEq, Message)]
struct WireListChange {
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
    #[prost(string, tag = "12")]
    software: String,
}

#[derive(Clone, PartialEq, Message)]
struct WireMessage {
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
    shares: Vec<WireWorkShare>,
    #[prost(message, repeated, tag = "7")]
    sent: Vec<WireSentPrompt>,
    #[prost(string, repeated, tag = "8")]
    loading: Vec<String>,
    #[prost(message, repeated, tag = "9")]
    targets: Vec<WirePublishedVersion>,
    #[prost(message, repeated, tag = "10")]
    stores: Vec<WireStoreUpdate>,
    #[prost(message, optional, tag = "11")]
    operator: Option<WireReadMark>,
    #[prost(message, optional, tag = "12")]
    list: Option<WireReadMark>,
    #[prost(message, repeated, tag = "13")]
    loaded: Vec<WireLoadedVersion>,
    #[prost(uint64, optional, tag = "14")]
    clock_ms: Option<u64>,
    #[prost(message, repeated, tag = "15")]
    listed: Vec<WireListChange>,
    #[prost(bool, tag = "16")]
    is_immediate: bool,
    #[prost(bool, tag = "17")]
    is_for_relay: bool,
    #[prost(message, repeated, tag = "18")]
    slow_links: Vec<WireSlowLink>,
    #[prost(fixed64, optional, tag = "19")]
    published_since: Option<u64>,
    #[prost(message, repeated, tag = "20")]
    ended: Vec<WireCrash>,
    #[prost(message, repeated, tag = "21")]
    stops: Vec<WireQuarantine>,
    #[prost(message, repeated, tag = "22")]
    cleared: Vec<WireClear>,
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
    #[prost(message, repeated, tag = "50")]
    brittle: Vec<WireBrittle>,
    #[prost(uint64, optional, tag = "29")]
    available_ms: Option<u64>,
    #[prost(uint32, tag = "30")]
    capacity: u32,
    #[prost(bool, tag = "31")]
    is_attached: bool,
    #[prost(uint32, tag = "32")]
    attached: u32,
    #[prost(uint32, tag = "33")]
    daemons: u32,
    #[prost(bytes = "vec", tag = "34")]
    callers: Vec<u8>,
    #[prost(uint64, optional, tag = "35")]
    registered: Option<u64>,
    #[prost(uint64, tag = "36")]
    list_position: u64,
    #[prost(bool, tag = "37")]
    is_cut_off: bool,
    #[prost(message, optional, tag = "40")]
    uses: Option<WireUseReport>,
    #[prost(message, repeated, tag = "41")]
    returns: Vec<WireReturn>,
    #[prost(message, repeated, tag = "44")]
    reported_loads: Vec<WireReportedLoad>,
    #[prost(message, repeated, tag = "48")]
    retirements: Vec<WireRetirement>,
    #[prost(fixed64, repeated, tag = "49")]
    heard_retirements: Vec<u64>,
}

#[derive(Clone, PartialEq, Message)]
struct WireRetirement {
    #[prost(fixed64, tag = "1")]
    id: u64,
    #[prost(string, tag = "2")]
    store: String,
    #[prost(uint64, tag = "3")]
    age_ms: u64,
    /// 0 retiring, 1 freed, 2 ended.
    #[prost(uint32, tag = "4")]
    phase: u32,
    #[prost(fixed64, repeated, tag = "5")]
    parts: Vec<u64>,
}

#[derive(Clone, PartialEq, Message)]
struct WireLimit {
    #[prost(string, tag = "1")]
    upstream: String,
    /// `None` once the limit no longer holds.
    #[prost(uint64, optional, tag = "2")]
    thousandths_per_s: Option<u64>,
    #[prost(uint64, tag = "3")]
    age_ms: u64,
}

#[derive(Clone, PartialEq, Message)]
struct WireBrittle {
    #[prost(string, tag = "1")]
    upstream: String,
    /// `None` once it is no longer brittle.
    #[prost(uint32, optional, tag = "2")]
    refusals: Option<u32>,
    #[prost(uint64, tag = "3")]
    age_ms: u64,
}

#[derive(Clone, PartialEq, Message)]
struct WireCrash {
    #[prost(string, tag = "1")]
    upstream: String,
    #[prost(bytes = "vec", repeated, tag = "2")]
    requests: Vec<Vec<u8>>,
    #[prost(uint64, tag = "3")]
    age_ms: u64,
    /// Digest and depth of each part.
    #[prost(bytes = "vec", repeated, tag = "4")]
    parts: Vec<Vec<u8>>,
}

#[derive(Clone, PartialEq, Message)]
struct WireSpeed {
    #[prost(string, tag = "1")]
    engine: String,
    #[prost(uint64, tag = "2")]
    tokens_per_s: u64,
}

#[derive(Clone, PartialEq, Message)]
struct WireReportedLoad {
    #[prost(string, tag = "1")]
    upstream: String,
    /// As `ReportedLoad` is written.
    #[prost(string, tag = "2")]
    load: String,
    #[prost(uint64, tag = "3")]
    age_ms: u64,
}

#[derive(Clone, PartialEq, Message)]
struct WireClear {
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
struct WireQuarantine {
    #[prost(bytes = "vec", tag = "1")]
    request: Vec<u8>,
    #[prost(uint64, tag = "2")]
    left_ms: u64,
    #[prost(uint32, tag = "3")]
    times: u32,
}

#[derive(Clone, PartialEq, Message)]
struct WireSlowLink {
    #[prost(string, tag = "1")]
    store: String,
    #[prost(uint32, tag = "2")]
    hundredths: u32,
}

/// Longest wait in the socket of a message whose reading of the upstreams' clock is used, in
/// milliseconds.
const MAX_CLOCK_WAIT_MS: u64 = 300;

/// Published weights, as a peer knows them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PublishedVersion {
    /// Model that the weights are for.
    pub model: ModelName,
    /// Version of the weights.
    pub version: WeightVersion,
    /// Moment at which it was not published yet; `None` from a peer of an earlier build, which tells
    /// when it heard of it.
    pub published: Option<Moment>,
    /// Whether the store holds a record of that moment.
    pub is_recorded: bool,
}

/// An upstream that was added to the list of upstreams, changed in it, or removed from it.
#[derive(Clone, Debug, PartialEq)]
pub enum ListChange {
    /// The upstream's current entry in the list.
    Entry(UpstreamEntry),
    /// The upstream was removed by the record with this revision.
    Removed(UpstreamId, ListRevision),
}

impl ListChange {
    /// Id of the upstream that changed.
    pub fn id(&self) -> &UpstreamId {
        match self {
            Self::Entry(entry) => &entry.id,
            Self::Removed(id, _) => id,
        }
    }

    /// Revision of the list's record that made the change.
    pub fn revision(&self) -> ListRevision {
        match self {
            Self::Entry(entry) => entry.revision,
            Self::Removed(_, revision) => *revision,
        }
    }
}

/// Weights that an engine has, as observed by the daemon that orders engines to load them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadedVersion {
    /// Engine that has the weights.
    pub engine: UpstreamId,
    /// Model that the weights are for.
    pub model: ModelName,
    /// Version of the weights.
    pub version: WeightVersion,
}

/// A message from one daemon to others. Moments in it are on the clock of the daemon that holds it
/// in memory; it is encoded with ages instead.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerMessage {
    /// Identity and addresses of the sender.
    pub member: MemberDescriptor,
    /// Role of the sender.
    pub role: PeerRole,
    /// Callers' addresses of ready daemons, for the daemons attached to the sender.
    pub callers: Vec<SocketAddr>,
    /// Work of the sender at each upstream.
    pub shares: FastMap<UpstreamId, WorkShare>,
    /// Use of services by the sender's customers; `None` while no daemon needs it.
    pub uses: Option<UseReport>,
    /// Callers that the sender lately refused and told when to return.
    pub returns: Vec<ReturnNotice>,
    /// Prompts that the sender sent to engines since its last message.
    pub sent: Vec<SentPrompt>,
    /// Upstreams that are loading new weights by order of the sender.
    pub loading: Vec<UpstreamId>,
    /// Recently published weights of each model, oldest first.
    pub targets: Vec<PublishedVersion>,
    /// Updates from the stores of prompt parts that the sender follows.
    pub stores: Vec<StoreUpdate>,
    /// Parts that are being retired from stores: by the sender, or as it tells a new peer.
    pub retirements: Vec<RetireNotice>,
    /// All retirements by which the sender acts; in summaries.
    pub heard_retirements: Vec<RetirementId>,
    /// How far the sender itself has read the operator's records.
    pub operator: Option<ReadMark>,
    /// Since when the store is known to have been available without a gap.
    pub available_since: Option<Moment>,
    /// Offset from which on, up to the one in `operator`, all records publish weights that are in
    /// `targets`.
    pub published_since: Option<u64>,
    /// Digest of the list of upstreams as the sender itself has read it.
    pub list: Option<ReadMark>,
    /// Position of the list that has this digest.
    pub list_position: ListRevision,
    /// Engines that recently loaded weights by order of the sender.
    pub loaded: Vec<LoadedVersion>,
    /// Current time on the upstreams' clock, in milliseconds.
    pub clock_ms: Option<u64>,
    /// Recent changes to the list of upstreams, as the sender itself has read it.
    pub listed: Vec<ListChange>,
    /// Links of stores that were slow in the sender's own fetches.
    pub slow_links: Vec<SlowLink>,
    /// Recent crashes of upstreams, each with the sender's requests that were interrupted by it.
    pub ended: Vec<CrashNotice>,
    /// Quarantined requests that the sender knows of.
    pub stops: Vec<QuarantineNotice>,
    /// Requests that the sender recently cleared.
    pub cleared: Vec<ClearNotice>,
    /// Whether the sender knows the records of quarantined requests.
    pub knows_quarantines: bool,
    /// Data centres that are drained, or were earlier.
    pub drains: Vec<DrainNotice>,
    /// Speeds of the engines that recently read prompts of the sender.
    pub speeds: Vec<EngineSpeed>,
    /// Loads that upstreams reported and whose pace has changed by much.
    pub reported_loads: Vec<LoadNotice>,
    /// Limits that upstreams announced, and those that no longer hold.
    pub limits: Vec<LimitNotice>,
    /// Upstreams that recently announced that they are leaving.
    pub leaving: Vec<UpstreamId>,
    /// Upstreams that are brittle, or were recently.
    pub brittle: Vec<BrittleNotice>,
    /// Whether this is an immediate message: what it does not carry stays as it was last sent.
    pub is_immediate: bool,
    /// Whether this continues a message that was too long for one datagram, and does not carry the
    /// sender's work.
    pub is_continued: bool,
    /// Whether the receiver relays this to the daemons of its own data centre.
    pub is_for_relay: bool,
}

impl PeerMessage {
    /// The message for another data centre of a large deployment, where one daemon relays it to the
    /// others.
    ///
    /// Traffic between data centres is expensive, so what they learn from their own readers and
    /// followers is left out. Everything whose age counts is left out too: a relay that was
    /// suspended sends messages on seconds late, and receivers count the age from the moment of
    /// arrival, so that a configuration would look confirmed that no daemon has read for seconds.
    pub fn for_relay(self) -> Self {
        Self {
            sent: Vec::new(),
            stores: Vec::new(),
            listed: Vec::new(),
            operator: None,
            available_since: None,
            published_since: None,
            list: None,
            clock_ms: None,
            slow_links: Vec::new(),
            is_for_relay: true,
            ..self
        }
    }

    /// The immediate message for the relay of another data centre; `None` if it contains nothing
    /// that concerns that data centre.
    pub fn message_for_relay(&self, concerns: impl Fn(&SentPrompt) -> bool) -> Option<Self> {
        let concerned = self.sent.iter().filter(|sent| concerns(sent));
        // Each data centre estimates the load on store links from its own transfers.
        let without_transfers =
            |sent: &SentPrompt| SentPrompt { transfers: Vec::new(), ..sent.clone() };
        let sent: Vec<SentPrompt> = concerned.map(without_transfers).collect();
        let concerns_all =
            !self.ended.is_empty() || self.has_announcements() || self.has_quarantine_changes();
        let is_due = concerns_all || !sent.is_empty();
        is_due.then(|| Self { sent, is_for_relay: true, ..self.clone() })
    }

    /// Whether it is an immediate message about something that concerns all daemons.
    pub fn concerns_all(&self) -> bool {
        let is_urgent = !self.ended.is_empty() || !self.loading.is_empty();
        self.is_immediate
            && (is_urgent || self.has_announcements() || self.has_quarantine_changes())
    }

    /// What concerns all daemons, as another daemon passes it on under its own name.
    pub fn passed_on(&self, member: MemberDescriptor) -> Self {
        Self {
            loading: self.loading.clone(),
            ended: self.ended.clone(),
            stops: self.stops.clone(),
            cleared: self.cleared.clone(),
            limits: self.limits.clone(),
            leaving: self.leaving.clone(),
            ..Self::empty(member)
        }
    }

    /// Whether it reports quarantined or cleared requests.
    fn has_quarantine_changes(&self) -> bool {
        !self.stops.is_empty() || !self.cleared.is_empty()
    }

    /// Whether it carries upstream announcements.
    fn has_announcements(&self) -> bool {
        !self.limits.is_empty() || !self.leaving.is_empty()
    }

    /// An empty message from the same sender that continues this one.
    pub fn continued(&self) -> Self {
        Self {
            is_continued: true,
            is_immediate: self.is_immediate,
            is_for_relay: self.is_for_relay,
            role: self.role,
            ..Self::empty(self.member.clone())
        }
    }

    /// An immediate message that carries nothing yet.
    pub fn empty(descriptor: MemberDescriptor) -> Self {
        Self {
            member: descriptor,
            role: PeerRole::default(),
            callers: Vec::new(),
            shares: FastMap::default(),
            uses: None,
            returns: Vec::new(),
            sent: Vec::new(),
            loading: Vec::new(),
            targets: Vec::new(),
            stores: Vec::new(),
            retirements: Vec::new(),
            heard_retirements: Vec::new(),
            operator: None,
            available_since: None,
            published_since: None,
            list: None,
            list_position: ListRevision::default(),
            loaded: Vec::new(),
            clock_ms: None,
            listed: Vec::new(),
            slow_links: Vec::new(),
            speeds: Vec::new(),
            reported_loads: Vec::new(),
            limits: Vec::new(),
            leaving: Vec::new(),
            brittle: Vec::new(),
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

    /// The message as a relay sends it on.
    pub fn relayed(self) -> Self {
        Self { is_for_relay: false, ..self }
    }

    /// Encodes the message, with moments as ages at `now`. Does not limit the length.
    pub fn encode(&self, now: Moment) -> Vec<u8> {
        let mark = |mark: ReadMark| WireReadMark {
            state: mark.state,
            age_ms: now.millis_since(mark.as_of),
        };
        let store = |store: &StoreUpdate| WireStoreUpdate {
            store: store.store.to_string(),
            epoch: store.epoch,
            age_ms: now.millis_since(store.as_of),
            is_whole: store.is_complete,
            keys: store.parts.iter().map(|part| part.key.0).collect(),
            tokens: store.parts.iter().map(|part| part.tokens.0).collect(),
            started_age_ms: Some(now.millis_since(store.started_by)),
        };
        let loaded = |loaded: &LoadedVersion| WireLoadedVersion {
            upstream: loaded.engine.to_string(),
            model: loaded.model.to_string(),
            version: loaded.version.0,
        };
        let share = |(id, share): (&UpstreamId, &WorkShare)| WireWorkShare {
            upstream: id.to_string(),
            waiting: share.waiting.0,
            memory: share.memory.0,
            running: share.running,
        };
        let save = |save: &PartSave| WirePartSave {
            key: save.key.0,
            store: save.store.to_string(),
            tokens: save.tokens.0,
            begins_within_ms: save.begins_by.millis_left(now),
        };
        let sent = |sent: &SentPrompt| WireSentPrompt {
            upstream: sent.engine.to_string(),
            parts: sent.parts.iter().map(|part| part.0).collect(),
            tokens: sent.tokens.0,
            waiting: sent.waiting.0,
            priority: sent.priority.into(),
            saves: sent.saves.iter().map(save).collect(),
            stores: sent
                .transfers
                .iter()
                .map(|store_transfer| store_transfer.store.to_string())
                .collect(),
            is_for_all: sent.is_for_all,
            transfers_ms: sent
                .transfers
                .iter()
                .map(|store_transfer| store_transfer.transfer_ms)
                .collect(),
        };
        let target = |target: &PublishedVersion| WirePublishedVersion {
            model: target.model.to_string(),
            version: target.version.0,
            age_ms: target.published.map_or(0, |published| now.millis_since(published)),
            is_recorded: target.is_recorded,
            unpublished_ms: target.published.map(|published| now.millis_since(published)),
        };
        let slow_link = |link: &SlowLink| WireSlowLink {
            store: link.store.to_string(),
            hundredths: link.hundredths,
        };
        let wire = WireMessage {
            name: self.member.name.to_string(),
            data_centre: self.member.data_centre.to_string(),
            peer_address: self.member.peer_address.to_string(),
            caller_address: self.member.caller_address.to_string(),
            is_ready: self.member.is_ready,
            shares: self.shares.iter().map(share).collect(),
            uses: self.uses.as_ref().map(|report| WireUseReport::of(report, now)),
            returns: self.returns.iter().map(|notice| WireReturn::of(notice, now)).collect(),
            sent: self.sent.iter().map(sent).collect(),
            loading: self.loading.iter().map(UpstreamId::to_string).collect(),
            targets: self.targets.iter().map(target).collect(),
            stores: self.stores.iter().map(store).collect(),
            retirements: self.retirements.iter().map(|it| wire_retirement(it, now)).collect(),
            heard_retirements: self.heard_retirements.iter().map(|id| id.0).collect(),
            operator: self.operator.map(mark),
            available_ms: self.available_since.map(|since| now.millis_since(since)),
            published_since: self.published_since,
            list: self.list.map(mark),
            list_position: self.list_position.0,
            loaded: self.loaded.iter().map(loaded).collect(),
            clock_ms: self.clock_ms,
            listed: self.listed.iter().map(|change| wire_list_change(change, now)).collect(),
            slow_links: self.slow_links.iter().map(slow_link).collect(),
            ended: self.ended.iter().map(|crash| wire_crash(crash, now)).collect(),
            stops: self.stops.iter().map(wire_quarantine).collect(),
            cleared: self.cleared.iter().map(|notice| wire_clear(notice, now)).collect(),
            knows_quarantines: self.knows_quarantines,
            drains: self.drains.iter().map(wire_drain).collect(),
            speeds: self.speeds.iter().map(wire_speed).collect(),
            reported_loads: self.reported_loads.iter().map(|load| wire_load(load, now)).collect(),
            limits: self.limits.iter().map(|notice| wire_limit(notice, now)).collect(),
            leaving: self.leaving.iter().map(UpstreamId::to_string).collect(),
            brittle: self.brittle.iter().map(|notice| wire_brittle(notice, now)).collect(),
            is_immediate: self.is_immediate,
            is_continued: self.is_continued,
            is_for_relay: self.is_for_relay,
            capacity: self.member.capacity.0 as u32,
            is_attached: self.role.role == MemberRole::Attached,
            attached: self.role.attached,
            daemons: self.role.daemons,
            is_cut_off: self.role.is_cut_off,
            callers: self.callers.iter().flat_map(wire_address).collect(),
            registered: self.role.registered,
        };
        wire.encode_to_vec()
    }

    /// Decodes a datagram that has just arrived. Returns `None` if it is no message of a daemon.
    pub fn decode(bytes: &[u8], now: Moment) -> Option<Self> {
        Self::decode_waiting(bytes, now, now)
    }

    /// Decodes a datagram that arrived at an unknown moment between `since` and `now`, and takes
    /// the worst case: ages count back from `since`, and times left count from `now`. Returns
    /// `None` if it is no message of a daemon.
    pub fn decode_waiting(bytes: &[u8], since: Moment, now: Moment) -> Option<Self> {
        let mark = |mark: WireReadMark| ReadMark {
            state: mark.state,
            as_of: since.minus_millis(mark.age_ms),
        };
        let store = |store: WireStoreUpdate| {
            let part_change = |(key, tokens): (u64, u64)| PartChange {
                key: PartKey(key),
                tokens: TokenCount(tokens),
            };
            Some(StoreUpdate {
                store: store.store.parse().ok()?,
                epoch: store.epoch,
                as_of: since.minus_millis(store.age_ms),
                started_by: now.minus_millis(store.started_age_ms.unwrap_or_default()),
                is_complete: store.is_whole,
                parts: store.keys.into_iter().zip(store.tokens).map(part_change).collect(),
            })
        };
        let loaded = |loaded: WireLoadedVersion| {
            Some(LoadedVersion {
                engine: loaded.upstream.parse().ok()?,
                model: loaded.model.parse().ok()?,
                version: WeightVersion(loaded.version),
            })
        };
        let wire = WireMessage::decode(bytes).ok()?;
        let address = |text: &str| text.parse::<SocketAddr>().ok();
        let descriptor = MemberDescriptor {
            name: wire.name.parse().ok()?,
            data_centre: wire.data_centre.parse().ok()?,
            peer_address: address(&wire.peer_address)?,
            caller_address: address(&wire.caller_address)?,
            is_ready: wire.is_ready,
            capacity: CoreShare(wire.capacity.into()),
        };
        let role = PeerRole {
            role: if wire.is_attached { MemberRole::Attached } else { MemberRole::Core },
            registered: wire.registered,
            attached: wire.attached,
            daemons: wire.daemons,
            is_cut_off: wire.is_cut_off,
        };
        let share = |share: &WireWorkShare| {
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
        let save = |save: &WirePartSave| {
            let store = save.store.parse().ok()?;
            Some(PartSave {
                key: PartKey(save.key),
                store,
                tokens: TokenCount(save.tokens),
                begins_by: Deadline::after(now, save.begins_within_ms),
            })
        };
        let sent = |sent: &WireSentPrompt| {
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
        let target = |target: &WirePublishedVersion| {
            let version = WeightVersion(target.version);
            Some(PublishedVersion {
                model: target.model.parse().ok()?,
                version,
                published: target.unpublished_ms.map(|age_ms| since.minus_millis(age_ms)),
                is_recorded: target.is_recorded,
            })
        };
        let slow_link = |link: &WireSlowLink| {
            Some(SlowLink { store: link.store.parse().ok()?, hundredths: link.hundredths })
        };
        Some(Self {
            member: descriptor,
            role,
            callers: wire
                .callers
                .chunks_exact(ADDRESS_BYTES)
                .filter_map(address_from_wire)
                .collect(),
            shares: wire.shares.iter().filter_map(share).collect(),
            uses: wire.uses.map(|report| report.decode(since)),
            returns: wire.returns.iter().filter_map(|it| it.decode(since, now)).collect(),
            sent: wire.sent.iter().filter_map(sent).collect(),
            loading: wire.loading.iter().filter_map(|id| id.parse().ok()).collect(),
            targets: wire.targets.iter().filter_map(target).collect(),
            stores: wire.stores.into_iter().filter_map(store).collect(),
            // Dated late rather than early, so that it is kept for long enough.
            retirements: wire.retirements.iter().filter_map(|it| retirement(it, now)).collect(),
            heard_retirements: wire.heard_retirements.into_iter().map(RetirementId).collect(),
            operator: wire.operator.map(mark),
            // Dated late rather than early: daemons adopt the earliest moment from each other, which
            // would drift with each exchange.
            available_since: wire.available_ms.map(|age_ms| now.minus_millis(age_ms)),
            published_since: wire.published_since,
            list: wire.list.map(mark),
            list_position: ListRevision(wire.list_position),
            loaded: wire.loaded.into_iter().filter_map(loaded).collect(),
            // A reading that waited in the socket says little of the clock now.
            clock_ms: wire.clock_ms.filter(|_| now.millis_since(since) <= MAX_CLOCK_WAIT_MS),
            listed: wire.listed.iter().filter_map(|change| list_change(change, now)).collect(),
            slow_links: wire.slow_links.iter().filter_map(slow_link).collect(),
            ended: wire.ended.iter().filter_map(|crash| crash_notice(crash, since)).collect(),
            stops: wire.stops.iter().filter_map(quarantine_notice).collect(),
            cleared: wire.cleared.iter().filter_map(|wire| clear_notice(wire, since)).collect(),
            knows_quarantines: wire.knows_quarantines,
            drains: wire.drains.iter().filter_map(drain_notice).collect(),
            speeds: wire.speeds.iter().filter_map(engine_speed).collect(),
            reported_loads: wire
                .reported_loads
                .iter()
                .filter_map(|wire| load_notice(wire, since))
                .collect(),
            limits: wire.limits.iter().filter_map(|wire| limit_notice(wire, since)).collect(),
            leaving: wire.leaving.iter().filter_map(|id| id.parse().ok()).collect(),
            brittle: wire.brittle.iter().filter_map(|wire| brittle_notice(wire, since)).collect(),
            is_immediate: wire.is_immediate,
            is_continued: wire.is_continued,
            is_for_relay: wire.is_for_relay,
        })
    }
}

/// Bytes of an address in a list of callers' addresses: IPv4 address and port.
const ADDRESS_BYTES: usize = 6;

/// An address as bytes; empty for an address of another family, which callers can't use.
pub(crate) fn wire_address(address: &SocketAddr) -> Vec<u8> {
    match address.ip() {
        IpAddr::V4(ip) => [&ip.octets()[..], &address.port().to_be_bytes()].concat(),
        IpAddr::V6(_) => Vec::new(),
    }
}

/// An address from its bytes; `None` if they are not as many as an address takes.
pub(crate) fn address_from_wire(bytes: &[u8]) -> Option<SocketAddr> {
    let [a, b, c, d, high, low] = *bytes else { return None };
    let port = u16::from_be_bytes([high, low]);
    Some(SocketAddr::new(IpAddr::V4(Ipv4Addr::new(a, b, c, d)), port))
}

fn wire_crash(notice: &CrashNotice, now: Moment) -> WireCrash {
    let requests = notice.requests.iter().map(|digest| digest.to_bytes()).collect();
    let part = |part: &SuspectPart| [part.digest.to_bytes().as_slice(), &[part.depth]].concat();
    let parts = notice.parts.iter().map(part).collect();
    let age_ms = now.millis_since(notice.at);
    WireCrash { upstream: notice.upstream.to_string(), requests, age_ms, parts }
}

fn suspect_part(bytes: &[u8]) -> Option<SuspectPart> {
    let (depth, digest) = bytes.split_last()?;
    Some(SuspectPart { digest: RequestDigest::from_bytes(digest)?, depth: *depth })
}

fn crash_notice(wire: &WireCrash, now: Moment) -> Option<CrashNotice> {
    let requests =
        wire.requests.iter().filter_map(|bytes| RequestDigest::from_bytes(bytes)).collect();
    let at = now.minus_millis(wire.age_ms);
    let parts = wire.parts.iter().filter_map(|bytes| suspect_part(bytes)).collect();
    Some(CrashNotice { upstream: wire.upstream.parse().ok()?, at, requests, parts })
}

fn wire_retirement(notice: &RetireNotice, now: Moment) -> WireRetirement {
    WireRetirement {
        id: notice.id.0,
        store: notice.store.to_string(),
        age_ms: now.millis_since(notice.begun),
        phase: match notice.phase {
            RetirePhase::Retiring => 0,
            RetirePhase::Freed => 1,
            RetirePhase::Ended => 2,
        },
        parts: notice.parts.iter().map(|part| part.0).collect(),
    }
}

fn retirement(wire: &WireRetirement, now: Moment) -> Option<RetireNotice> {
    let phase = match wire.phase {
        0 => RetirePhase::Retiring,
        1 => RetirePhase::Freed,
        2 => RetirePhase::Ended,
        _ => return None,
    };
    Some(RetireNotice {
        id: RetirementId(wire.id),
        store: wire.store.parse().ok()?,
        begun: now.minus_millis(wire.age_ms),
        phase,
        parts: wire.parts.iter().map(|part| PartKey(*part)).collect(),
    })
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

fn wire_brittle(notice: &BrittleNotice, now: Moment) -> WireBrittle {
    WireBrittle {
        upstream: notice.upstream.to_string(),
        refusals: notice.refusals,
        age_ms: now.millis_since(notice.as_of),
    }
}

fn brittle_notice(wire: &WireBrittle, now: Moment) -> Option<BrittleNotice> {
    Some(BrittleNotice {
        upstream: wire.upstream.parse().ok()?,
        refusals: wire.refusals,
        as_of: now.minus_millis(wire.age_ms),
    })
}

fn wire_speed(speed: &EngineSpeed) -> WireSpeed {
    WireSpeed { engine: speed.engine.to_string(), tokens_per_s: speed.rate.0 }
}

fn engine_speed(wire: &WireSpeed) -> Option<EngineSpeed> {
    Some(EngineSpeed { engine: wire.engine.parse().ok()?, rate: TokenRate(wire.tokens_per_s) })
}

fn wire_load(notice: &LoadNotice, now: Moment) -> WireReportedLoad {
    WireReportedLoad {
        upstream: notice.upstream.to_string(),
        load: notice.observation.load.to_string(),
        age_ms: now.millis_since(notice.observation.received),
    }
}

fn load_notice(wire: &WireReportedLoad, since: Moment) -> Option<LoadNotice> {
    let received = since.minus_millis(wire.age_ms);
    let observation = LoadObservation { load: wire.load.parse().ok()?, received };
    Some(LoadNotice { upstream: wire.upstream.parse().ok()?, observation })
}

fn wire_clear(notice: &ClearNotice, now: Moment) -> WireClear {
    WireClear { request: notice.request.to_bytes(), age_ms: now.millis_since(notice.at) }
}

fn clear_notice(wire: &WireClear, now: Moment) -> Option<ClearNotice> {
    let request = RequestDigest::from_bytes(&wire.request)?;
    Some(ClearNotice { request, at: now.minus_millis(wire.age_ms) })
}

fn wire_quarantine(quarantine: &QuarantineNotice) -> WireQuarantine {
    let request = quarantine.request.to_bytes();
    WireQuarantine { request, left_ms: quarantine.left_ms, times: quarantine.times }
}

fn quarantine_notice(wire: &WireQuarantine) -> Option<QuarantineNotice> {
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

fn wire_list_change(change: &ListChange, now: Moment) -> WireListChange {
    match change {
        ListChange::Removed(id, revision) => WireListChange {
            upstream: id.to_string(),
            is_removed: true,
            revision: revision.0,
            ..WireListChange::default()
        },
        ListChange::Entry(entry) => WireListChange {
            upstream: entry.id.to_string(),
            is_removed: false,
            service: entry.service.to_string(),
            address: entry.address.to_string(),
            data_centre: entry.data_centre.to_string(),
            software: entry.software.as_ref().map(ToString::to_string).unwrap_or_default(),
            slots: entry.slots,
            is_leaving: entry.is_leaving,
            models: entry.versions.keys().map(ModelName::to_string).collect(),
            versions: entry.versions.values().map(|version| version.0).collect(),
            cold_left_ms: entry.cold_until.millis_left(now),
            revision: entry.revision.0,
        },
    }
}

fn list_change(wire: &WireListChange, now: Moment) -> Option<ListChange> {
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
        // Earlier builds leave it empty.
        software: wire.software.parse().ok(),
        slots: wire.slots,
        is_leaving: wire.is_leaving,
        cold_until,
        versions: wire.models.iter().zip(&wire.versions).filter_map(version).collect(),
    }))
}
