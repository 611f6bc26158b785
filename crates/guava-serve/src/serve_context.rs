//! The parts that a request's way through a daemon uses.
//!
//! All of it runs on one thread; each part is borrowed for a moment and never across a wait.

use crate::members::list_change_gossip::ListChangeGossip;
use crate::members::lost_messages::LostMessages;
use crate::members::member_table::MemberTable;
use crate::members::shared_reads::SharedReads;
use crate::metrics::ServeMetrics;
use crate::parts::part_index::PartIndex;
use crate::parts::sent_prompt::SentPrompt;
use crate::parts::store_links::StoreLinks;
use crate::request::dialect::Dialect;
use crate::request::retry_shares::{RetryLimit, RetryShares};
use crate::serve_config::CurrentConfig;
use crate::upstreams::broken_send_table::BrokenSendTable;
use crate::upstreams::connection_pool::ConnectionPool;
use crate::upstreams::crash_gossip::CrashGossip;
use crate::upstreams::drain_table::DrainTable;
use crate::upstreams::engine_speeds::EngineSpeeds;
use crate::upstreams::prefill_rate::PrefillRate;
use crate::upstreams::quarantine_record::QuarantineSync;
use crate::upstreams::upstream_table::{UpstreamEntry, UpstreamTable};
use crate::upstreams::work_table::WorkTable;
use crate::weights::version_targets::{VersionLimits, VersionTargets};
use guava_policy::{AnnouncementTable, CrashLedger, MemoryBudget, MemoryQueue, SendLedger};
use guava_types::{
    DataCentre, Deadline, FastMap, Incarnation, MemberName, Moment, TokenCount, UpstreamId,
};
use rustc_hash::FxHasher;
use std::cell::{Cell, RefCell};
use std::hash::{Hash, Hasher};
use std::net::{IpAddr, SocketAddr};
use tokio::sync::Notify;

/// Who this daemon is.
#[derive(Clone, Debug, PartialEq)]
pub struct ServeIdentity {
    /// Its name.
    pub name: MemberName,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Address that its connections leave from.
    pub source: Option<IpAddr>,
}

impl ServeIdentity {
    /// Names this VM as the holder of a lease, whichever process runs on it.
    ///
    /// When all daemons are killed at once, the holder's VM is back after a second; a holder named by
    /// its process would have to wait out its own lease, and engines stay on old weights meanwhile.
    /// Of two processes of one VM the earlier has ended, so they are one holder.
    pub fn lease_holder(&self) -> Incarnation {
        let half = |salt: u8| {
            let mut hasher = FxHasher::default();
            (salt, &self.name, self.source).hash(&mut hasher);
            u128::from(hasher.finish())
        };
        Incarnation(half(0) << 64 | half(1))
    }
}

/// Limits that the deployment sets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServeBounds {
    /// Times in which new weights must be in use everywhere.
    pub version_limits: VersionLimits,
    /// Time in which an upstream that leaves must get no more work, in milliseconds.
    pub leave_limit_ms: u64,
    /// Time in which a configuration must be in force, in milliseconds.
    pub config_limit_ms: u64,
    /// Retries to a service.
    pub retries: RetryLimit,
    /// How many times what they are said to bear cold upstreams may get.
    pub cold_times: f64,
    /// Bytes of requests that may be held at a time.
    pub held_bytes: usize,
}

/// What the upstreams' common clock showed at a moment of this daemon's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamClock {
    /// Their clock, in milliseconds.
    pub clock_ms: u64,
    /// This daemon's.
    pub read: Moment,
}

/// The parts.
pub struct ServeContext {
    /// Who this daemon is.
    pub identity: ServeIdentity,
    /// Limits that the deployment sets.
    pub bounds: ServeBounds,
    /// How upstreams are spoken to.
    pub dialect: Dialect,
    /// Connections to upstreams.
    pub pool: ConnectionPool,
    /// Counters.
    pub metrics: ServeMetrics,
    /// The configuration in force.
    pub config: RefCell<CurrentConfig>,
    /// The upstreams.
    pub upstreams: RefCell<UpstreamTable>,
    /// Data centres whose upstreams are to get nothing.
    pub drains: RefCell<DrainTable>,
    /// Sends to upstreams.
    pub sends: RefCell<SendLedger>,
    /// What upstreams have said of themselves.
    pub announcements: RefCell<AnnouncementTable>,
    /// Until when stores of cached parts want nothing from this daemon.
    pub store_backoffs: RefCell<FastMap<SocketAddr, Deadline>>,
    /// Upstreams whose words other daemons are to be told at once.
    pub announcements_due: RefCell<Vec<UpstreamId>>,
    /// Sends that broke off, until it is known whether their upstreams ended.
    pub broken_sends: RefCell<BrokenSendTable>,
    /// Upstreams' ends, and requests that are stopped for them.
    pub ledger: RefCell<CrashLedger>,
    /// Ends to tell peers.
    pub crash_gossip: RefCell<CrashGossip>,
    /// Whether requests were stopped or cleared here that peers were not told of at once.
    pub verdicts_due: Cell<bool>,
    /// How much is known of the records of stopped requests.
    pub quarantine_sync: Cell<QuarantineSync>,
    /// Wakes whoever keeps these records.
    pub quarantines_due: Notify,
    /// Their work.
    pub work: RefCell<WorkTable>,
    /// Where cached parts lie.
    pub part_index: RefCell<PartIndex>,
    /// What the stores' links carry.
    pub links: RefCell<StoreLinks>,
    /// Published weights.
    pub targets: RefCell<VersionTargets>,
    /// Budgets for retries.
    pub retries: RefCell<RetryShares>,
    /// The other daemons.
    pub members: RefCell<MemberTable>,
    /// Prefill throughput.
    pub prefill: RefCell<PrefillRate>,
    /// How fast each engine reads.
    pub speeds: RefCell<EngineSpeeds>,
    /// Prompts sent since peers were last told.
    pub sent_prompts: RefCell<Vec<SentPrompt>>,
    /// Large prompts sent since peers were last sent a note.
    pub just_sent: RefCell<Vec<SentPrompt>>,
    /// Upstreams about to be ordered to load weights, since peers were last sent a note.
    pub just_loading: RefCell<Vec<UpstreamId>>,
    /// Daemons of this data centre that were just heard, and not greeted.
    pub new_peers: RefCell<Vec<SocketAddr>>,
    /// Wakes whoever sends notes and greetings.
    pub message_due: Notify,
    /// The upstreams' clock.
    pub upstream_clock: Cell<Option<UpstreamClock>>,
    /// What daemons know of the platform's store through each other.
    pub reads: RefCell<SharedReads>,
    /// Wakes whoever tells the others what this daemon read of the store.
    pub reads_due: Notify,
    /// Changes of the list of upstreams to tell peers.
    pub list_change_gossip: RefCell<ListChangeGossip>,
    /// Messages between daemons that were lost here.
    pub lost_messages: RefCell<LostMessages>,
    /// When the configuration in force was last seen to be the newest.
    pub config_confirmed: Cell<Moment>,
    /// Whether the operator's records could not be read the last time.
    pub is_operator_unavailable: Cell<bool>,
    /// How much of the engines' memory is planned with.
    pub memory_budget: RefCell<MemoryBudget>,
    /// Long prompts that wait for memory at an engine.
    pub memory_queue: RefCell<MemoryQueue>,
    /// Bytes of requests held at present.
    pub held_bytes: Cell<usize>,
}

impl ServeContext {
    /// Parts that know nothing yet.
    pub fn new(identity: ServeIdentity, bounds: ServeBounds, dialect: Dialect) -> Self {
        Self {
            pool: ConnectionPool::new(identity.source),
            bounds,
            dialect,
            metrics: ServeMetrics::default(),
            config: RefCell::default(),
            upstreams: RefCell::default(),
            drains: RefCell::default(),
            sends: RefCell::new(SendLedger::new(Moment::now())),
            announcements: RefCell::default(),
            store_backoffs: RefCell::default(),
            announcements_due: RefCell::default(),
            broken_sends: RefCell::default(),
            ledger: RefCell::default(),
            crash_gossip: RefCell::default(),
            verdicts_due: Cell::default(),
            quarantine_sync: Cell::default(),
            quarantines_due: Notify::new(),
            work: RefCell::default(),
            part_index: RefCell::default(),
            links: RefCell::default(),
            targets: RefCell::default(),
            retries: RefCell::new(RetryShares::new(bounds.retries, 1)),
            members: RefCell::new(MemberTable::new(identity.data_centre.clone())),
            prefill: RefCell::default(),
            speeds: RefCell::default(),
            sent_prompts: RefCell::default(),
            just_sent: RefCell::default(),
            just_loading: RefCell::default(),
            new_peers: RefCell::default(),
            message_due: Notify::new(),
            upstream_clock: Cell::new(None),
            reads: RefCell::default(),
            reads_due: Notify::new(),
            list_change_gossip: RefCell::default(),
            lost_messages: RefCell::default(),
            config_confirmed: Cell::default(),
            is_operator_unavailable: Cell::new(false),
            memory_budget: RefCell::default(),
            memory_queue: RefCell::default(),
            held_bytes: Cell::new(0),
            identity,
        }
    }

    /// Milliseconds in which an engine reads so many tokens, as far as can be told.
    pub fn read_ms(&self, engine: &UpstreamId, tokens: TokenCount) -> f64 {
        let own = self.speeds.borrow().rate(engine);
        self.prefill.borrow().read_ms(tokens, own)
    }

    /// Milliseconds since the list of upstreams was last confirmed, by this daemon's read or a peer's;
    /// nothing if it was never read.
    pub fn list_age_ms(&self, now: Moment) -> Option<u64> {
        self.reads.borrow().list.confirmed().map(|confirmed| now.millis_since(confirmed))
    }

    /// Whether an upstream leaves, by the list or its own word.
    pub fn is_leaving(&self, upstream: &UpstreamId) -> bool {
        let is_listed_so = |entry: &UpstreamEntry| entry.is_leaving;
        let is_listed_so = self.upstreams.borrow().entry(upstream).is_some_and(is_listed_so);
        is_listed_so || self.announcements.borrow().is_leaving(upstream)
    }

    /// The upstreams' clock so many milliseconds from now, if it is known.
    pub fn upstream_clock_in(&self, millis: u64, now: Moment) -> Option<u64> {
        let clock = self.upstream_clock.get()?;
        Some(clock.clock_ms + now.millis_since(clock.read) + millis)
    }
}
