//! The state that the request path and the background tasks of a daemon share.
//!
//! All users run on one thread. Each field is borrowed briefly and never across an `await`, so that
//! no borrow conflicts with another.

use crate::members::list_change_gossip::ListChangeGossip;
use crate::members::lost_messages::LostMessages;
use crate::members::member_table::MemberTable;
use crate::members::origin_exchange::OriginExchange;
use crate::members::peer_key::PeerKey;
use crate::members::return_gossip::ReturnGossip;
use crate::members::shared_reads::SharedReads;
use crate::members::transfer_budget::TransferBudget;
use crate::members::use_gossip::UseGossip;
use crate::metrics::ServeMetrics;
use crate::parts::part_index::PartIndex;
use crate::parts::retirement::RetireNotice;
use crate::parts::retirement_ledger::RetirementLedger;
use crate::parts::sent_prompt::SentPrompt;
use crate::parts::store_links::StoreLinks;
use crate::request::dialect::Dialect;
use crate::request::queue_table::QueueTable;
use crate::request::retry_shares::{RetryLimit, RetryShares};
use crate::serve_config::CurrentConfig;
use crate::upstreams::answered_parts::AnsweredParts;
use crate::upstreams::broken_send_table::BrokenSendTable;
use crate::upstreams::close_timer::CloseTimer;
use crate::upstreams::connection_pool::ConnectionPool;
use crate::upstreams::crash_gossip::CrashGossip;
use crate::upstreams::drain_table::DrainTable;
use crate::upstreams::engine_speeds::EngineSpeeds;
use crate::upstreams::prefill_rate::PrefillRate;
use crate::upstreams::quarantine_record::QuarantineSync;
use crate::upstreams::service_rings::RingPosition;
use crate::upstreams::upstream_table::{UpstreamEntry, UpstreamTable};
use crate::upstreams::work_table::WorkTable;
use crate::weights::version_targets::{VersionLimits, VersionTargets};
use bytes::Bytes;
use guava_clients::{ClientBudget, ClientLimits};
use guava_policy::{
    AnnouncementTable, CrashLedger, CustomerLedger, MemoryBudget, ReachWatch, ReportTable,
    ReturnLedger, SendLedger,
};
use guava_types::{
    DataCentre, Deadline, FastMap, Incarnation, LinkRate, MemberName, Moment, ServiceName,
    TokenCount, UpstreamId,
};
use rustc_hash::FxHasher;
use std::cell::{Cell, RefCell};
use std::hash::{Hash, Hasher};
use std::net::{IpAddr, SocketAddr};
use tokio::sync::Notify;

/// Name and place of this daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct ServeIdentity {
    /// Unique among all daemons.
    pub name: MemberName,
    /// Data centre of its VM; members and upstreams of the same one are local.
    pub data_centre: DataCentre,
    /// Local address that outgoing connections are bound to; `None` lets the system choose.
    pub source: Option<IpAddr>,
}

impl ServeIdentity {
    /// Identifies this VM as a lease holder; equal for all processes that run on it.
    ///
    /// When all daemons are killed at once, the holder's VM is back after a second. A holder that was
    /// identified by its process would have to wait until its own lease expires, and engines would
    /// keep old weights meanwhile. Of two processes on one VM the earlier has exited, so they may
    /// count as one holder.
    pub fn lease_holder(&self) -> Incarnation {
        let half_id = |salt: u8| {
            let mut hasher = FxHasher::default();
            (salt, &self.name, self.source).hash(&mut hasher);
            u128::from(hasher.finish())
        };
        Incarnation(half_id(0) << 64 | half_id(1))
    }
}

/// Limits that the deployment sets; constant while the process runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServeBounds {
    /// Longest times until new weights are in use at all engines.
    pub version_limits: VersionLimits,
    /// Longest time until a leaving upstream gets no more requests, in milliseconds.
    pub leave_limit_ms: u64,
    /// Longest time until a published configuration is in force, in milliseconds.
    pub config_limit_ms: u64,
    /// Interval at which upstreams renew their entries, in milliseconds; 0 if it is not known.
    pub renewal_ms: u64,
    /// Limit of the retries to each service, for all daemons together.
    pub retries: RetryLimit,
    /// Factor by which a cold upstream's load may exceed its configured cold rate.
    pub cold_times: f64,
    /// What clients may hold.
    pub clients: ClientLimits,
    /// Rate of the VM's link.
    pub link: LinkRate,
}

/// A reading of the upstreams' common clock together with this daemon's own clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamClock {
    /// The upstreams' clock, in milliseconds.
    pub clock_ms: u64,
    /// This daemon's clock at the same moment.
    pub read: Moment,
}

/// When a daemon that was told to stop does so.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaveTimes {
    /// Until when it takes each request. One that is complete later is taken only if its own time ends
    /// before the daemon does.
    pub takes_all_until: Deadline,
    /// When it cuts off what is unanswered.
    pub ends_at: Deadline,
}

impl LeaveTimes {
    /// Whether a request that has just been read may be cut off while an upstream works on it.
    pub fn may_cut(self, deadline: Deadline, now: Moment) -> bool {
        self.takes_all_until.passed(now) && deadline > self.ends_at
    }
}

/// Time for which a reading of the upstreams' clock is kept though later ones are behind it, in
/// milliseconds.
const CLOCK_RETENTION_MS: u64 = 10_000;

/// Shared state of the request path.
pub struct ServeContext {
    /// Name and place of this daemon.
    pub identity: ServeIdentity,
    /// Deployment limits.
    pub bounds: ServeBounds,
    /// Wire format in which upstreams are called.
    pub dialect: Dialect,
    /// Open connections to upstreams, for reuse.
    pub pool: ConnectionPool,
    /// Closes connections to upstreams that must not outlast a deadline.
    pub close_timer: CloseTimer,
    /// Counters, gauges and histograms, updated as events occur.
    pub metrics: ServeMetrics,
    /// The configuration in force.
    pub config: RefCell<CurrentConfig>,
    /// Upstreams as last known from the list and from peers.
    pub upstreams: RefCell<UpstreamTable>,
    /// Drained data centres, whose upstreams get no requests.
    pub drains: RefCell<DrainTable>,
    /// Sends of this daemon, for the upstreams' rate limits.
    pub sends: RefCell<SendLedger>,
    /// Upstream announcements: limits, back-offs, leaving.
    pub announcements: RefCell<AnnouncementTable>,
    /// End of the back-off of each store of prompt parts that asked for one.
    pub store_backoffs: RefCell<FastMap<SocketAddr, Deadline>>,
    /// Upstreams whose announcements must be sent to peers in an immediate message.
    pub announcements_due: RefCell<Vec<UpstreamId>>,
    /// Whether this daemon reaches upstreams.
    pub reach: RefCell<ReachWatch>,
    /// Notifies the task that checks this daemon's links to upstreams.
    pub reach_due: Notify,
    /// Interrupted sends, until it is known whether their upstreams crashed.
    pub broken_sends: RefCell<BrokenSendTable>,
    /// Parts of prompts that were answered lately.
    pub answered_parts: RefCell<AnsweredParts>,
    /// Upstream crashes, and requests that are quarantined for them.
    pub ledger: RefCell<CrashLedger>,
    /// Crashes to send to peers.
    pub crash_gossip: RefCell<CrashGossip>,
    /// Whether quarantined or cleared requests are yet to be sent in an immediate message.
    pub verdicts_due: Cell<bool>,
    /// Whether the stored quarantine records were read, here or by a peer.
    pub quarantine_sync: Cell<QuarantineSync>,
    /// Notifies the task that persists quarantine records.
    pub quarantines_due: Notify,
    /// Work in flight at each upstream, from this daemon and its peers.
    pub work: RefCell<WorkTable>,
    /// Which stores hold which prompt parts.
    pub part_index: RefCell<PartIndex>,
    /// Retirements of parts that this daemon began.
    pub retirements: RefCell<RetirementLedger>,
    /// Those that are yet to be told in an immediate message.
    pub just_retired: RefCell<Vec<RetireNotice>>,
    /// Transfers in flight on the stores' links.
    pub links: RefCell<StoreLinks>,
    /// Published weight versions that engines are to load.
    pub targets: RefCell<VersionTargets>,
    /// Notifies requests that have not begun when their weights' time limit may have changed.
    pub weights_changed: Notify,
    /// This daemon's share of each service's retry limit.
    pub retries: RefCell<RetryShares>,
    /// The other daemons, both recorded members and peers in contact.
    pub members: RefCell<MemberTable>,
    /// Measured prefill throughput over all engines.
    pub prefill: RefCell<PrefillRate>,
    /// Measured prefill throughput of each engine.
    pub speeds: RefCell<EngineSpeeds>,
    /// Load that upstreams report of themselves.
    pub reports: RefCell<ReportTable>,
    /// Prompts sent to engines since the last summary to peers.
    pub sent_prompts: RefCell<Vec<SentPrompt>>,
    /// Large prompts sent to engines since the last immediate message.
    pub just_sent: RefCell<Vec<SentPrompt>>,
    /// Engines chosen for an order to load weights since the last immediate message.
    pub just_loading: RefCell<Vec<UpstreamId>>,
    /// New peers of this data centre that have not been sent an initial sync.
    pub new_peers: RefCell<Vec<SocketAddr>>,
    /// Notifies the task that sends immediate messages and initial syncs.
    pub message_due: Notify,
    /// The last reading of the upstreams' clock, if there was one.
    pub upstream_clock: Cell<Option<UpstreamClock>>,
    /// When this daemon stops, once it was told to.
    pub leaving: Cell<Option<LeaveTimes>>,
    /// Reads of the platform's store, by this daemon or reported by peers.
    pub reads: RefCell<SharedReads>,
    /// Notifies the task that sends this daemon's read marks.
    pub reads_due: Notify,
    /// The key that all daemons share, once it was read.
    pub peer_key: Cell<Option<PeerKey>>,
    /// Record of the configuration in force, for peers that copy it.
    pub config_record: RefCell<Option<Bytes>>,
    /// Status address of the peer that last reported other operator's records.
    pub operator_teller: Cell<Option<SocketAddr>>,
    /// Status address of the peer that last reported a list that differs from this daemon's.
    pub list_teller: Cell<Option<SocketAddr>>,
    /// Changes of the list of upstreams to send to peers.
    pub list_change_gossip: RefCell<ListChangeGossip>,
    /// The same changes, for the daemons attached to this one, whoever read them.
    pub attached_change_gossip: RefCell<ListChangeGossip>,
    /// What may be sent to peers that copy the list of upstreams.
    pub copies: RefCell<TransferBudget>,
    /// The same for copies of the configuration, which are not to wait for those of the list.
    pub config_copies: RefCell<TransferBudget>,
    /// Messages from peers that this daemon lost.
    pub lost_messages: RefCell<LostMessages>,
    /// When the current configuration was last confirmed to be the newest.
    pub config_confirmed: Cell<Moment>,
    /// Whether the last read of the operator's records failed.
    pub is_operator_unavailable: Cell<bool>,
    /// Fraction of engine memory that this daemon plans with.
    pub memory_budget: RefCell<MemoryBudget>,
    /// Requests that wait for room at an upstream, by service.
    pub queues: RefCell<QueueTable>,
    /// Customers' use of each service that was used lately.
    pub customer_ledgers: RefCell<FastMap<ServiceName, CustomerLedger>>,
    /// Whether customers' use is reported to peers.
    pub use_gossip: RefCell<UseGossip>,
    /// Refused callers that are expected back.
    pub returns: RefCell<ReturnLedger>,
    /// Refused callers of which peers are to be told.
    pub return_gossip: RefCell<ReturnGossip>,
    /// Where streams began, as told between daemons.
    pub origins: OriginExchange,
    /// What clients hold of this daemon: connections, requests and answers.
    pub clients: ClientBudget,
}

impl ServeContext {
    /// A context without configuration, upstreams or peers, as at the start of the process.
    pub fn new(identity: ServeIdentity, bounds: ServeBounds, dialect: Dialect) -> Self {
        let place = RingPosition::of(identity.name.as_str()).as_fraction();
        let mut upstreams = UpstreamTable::default();
        upstreams.census_mut().note_change_limit(bounds.leave_limit_ms);
        Self {
            pool: ConnectionPool::new(identity.source),
            close_timer: CloseTimer::default(),
            bounds,
            dialect,
            metrics: ServeMetrics::default(),
            config: RefCell::default(),
            upstreams: RefCell::new(upstreams),
            drains: RefCell::default(),
            sends: RefCell::new(SendLedger::new(Moment::now())),
            announcements: RefCell::default(),
            store_backoffs: RefCell::default(),
            announcements_due: RefCell::default(),
            reach: RefCell::default(),
            reach_due: Notify::new(),
            broken_sends: RefCell::default(),
            answered_parts: RefCell::default(),
            ledger: RefCell::default(),
            crash_gossip: RefCell::default(),
            verdicts_due: Cell::default(),
            quarantine_sync: Cell::default(),
            quarantines_due: Notify::new(),
            work: RefCell::default(),
            part_index: RefCell::default(),
            retirements: RefCell::default(),
            just_retired: RefCell::default(),
            links: RefCell::default(),
            targets: RefCell::default(),
            weights_changed: Notify::new(),
            retries: RefCell::new(RetryShares::new(bounds.retries, 1, place)),
            members: RefCell::new(MemberTable::new(identity.data_centre.clone())),
            prefill: RefCell::default(),
            speeds: RefCell::default(),
            reports: RefCell::default(),
            sent_prompts: RefCell::default(),
            just_sent: RefCell::default(),
            just_loading: RefCell::default(),
            new_peers: RefCell::default(),
            message_due: Notify::new(),
            upstream_clock: Cell::new(None),
            leaving: Cell::new(None),
            reads: RefCell::default(),
            reads_due: Notify::new(),
            peer_key: Cell::default(),
            config_record: RefCell::default(),
            operator_teller: Cell::default(),
            list_teller: Cell::default(),
            list_change_gossip: RefCell::default(),
            attached_change_gossip: RefCell::default(),
            copies: RefCell::new(TransferBudget::new(bounds.link, Moment::now())),
            config_copies: RefCell::new(TransferBudget::new(bounds.link, Moment::now())),
            lost_messages: RefCell::default(),
            config_confirmed: Cell::default(),
            is_operator_unavailable: Cell::new(false),
            memory_budget: RefCell::default(),
            queues: RefCell::default(),
            customer_ledgers: RefCell::default(),
            use_gossip: RefCell::default(),
            returns: RefCell::default(),
            return_gossip: RefCell::default(),
            origins: OriginExchange::default(),
            clients: ClientBudget::new(bounds.clients),
            identity,
        }
    }

    /// Estimated prefill time of that many tokens at an engine, in milliseconds.
    ///
    /// Uses the engine's own measured throughput if there is one, else that of all engines.
    pub fn read_ms(&self, engine: &UpstreamId, tokens: TokenCount) -> f64 {
        let own = self.speeds.borrow().rate(engine);
        self.prefill.borrow().read_ms(tokens, own)
    }

    /// Milliseconds since the list of upstreams was last confirmed, by this daemon's read or a peer's;
    /// `None` if it was never read.
    pub fn list_age_ms(&self, now: Moment) -> Option<u64> {
        self.reads.borrow().list.confirmed().map(|confirmed| now.millis_since(confirmed))
    }

    /// Whether an upstream is leaving, according to the list or to its own announcement.
    pub fn is_leaving(&self, upstream: &UpstreamId) -> bool {
        let is_listed_leaving = |entry: &UpstreamEntry| entry.is_leaving;
        let is_listed_leaving =
            self.upstreams.borrow().entry(upstream).is_some_and(is_listed_leaving);
        is_listed_leaving || self.announcements.borrow().is_leaving(upstream)
    }

    /// Records a reading of the upstreams' clock that was taken at `read` or earlier.
    ///
    /// A reading that arrives late makes the clock look slow, and what is dated by it too recent, so
    /// the reading by which the clock is furthest ahead is kept for a while.
    pub fn note_upstream_clock(&self, clock_ms: u64, read: Moment) {
        let known = self.upstream_clock.get();
        let is_fresh = |clock: &UpstreamClock| read.millis_since(clock.read) <= CLOCK_RETENTION_MS;
        let is_ahead =
            |clock: UpstreamClock| clock.clock_ms + read.millis_since(clock.read) >= clock_ms;
        if !known.filter(is_fresh).is_some_and(is_ahead) {
            self.upstream_clock.set(Some(UpstreamClock { clock_ms, read }));
        }
    }

    /// What the upstreams' clock will show in `millis` milliseconds; `None` before its first reading.
    pub fn upstream_clock_in(&self, millis: u64, now: Moment) -> Option<u64> {
        let clock = self.upstream_clock.get()?;
        Some(clock.clock_ms + now.millis_since(clock.read) + millis)
    }
}
