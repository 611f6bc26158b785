//! What the duties of a daemon share.
//!
//! Each duty runs in a thread of its own. Commands between them go through bounded rings; what
//! many read and one writes is published behind a short lock or an atomic pointer.

use crate::admission_queue::AdmissionQueue;
use crate::announcement_state::AnnouncementState;
use crate::append_ring::AppendRing;
use crate::cache_index::CacheIndex;
use crate::call_table::CallTable;
use crate::crash_table::CrashTable;
use crate::daemon_phase::DaemonPhase;
use crate::decision_log::DecisionLog;
use crate::export_ring::ExportRing;
use crate::leaving_table::LeavingTable;
use crate::lock::locked;
use crate::metrics::MetricSink;
use crate::peer_links::PeerLinks;
use crate::peer_table::PeerTable;
use crate::report_table::ReportTable;
use crate::settings::DaemonSettings;
use crate::shared_state::SharedState;
use crate::stream_id::StreamSecret;
use crate::work_gauge::WorkGauge;
use guava_clients::ClientBudget;
use guava_outside::{LogClient, StoreReport, VmListClient, WeightStoreClient};
use guava_policy::{LinkTable, LoadTable, RetryBudget};
use guava_state::{FreshnessInput, FreshnessVerdict, PeerObservation};
use guava_types::{FastMap, Incarnation, Moment, UpstreamId};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};

/// Clients of the platform's services.
#[derive(Clone, Copy, Debug)]
pub struct PlatformClients {
    /// The log.
    pub log: LogClient,
    /// The list of VMs.
    pub vm_list: VmListClient,
    /// The weight store.
    pub weights: WeightStoreClient,
}

/// All that is shared.
pub struct DaemonContext {
    /// The settings.
    pub settings: DaemonSettings,
    /// This start of the daemon.
    pub me: Incarnation,
    /// The state folded from the log.
    pub state: SharedState,
    /// Ring to the log duty.
    pub appends: AppendRing,
    /// Ring to the cache duty.
    pub exports: ExportRing,
    /// What is known of the other daemons.
    pub peer_table: Mutex<PeerTable>,
    /// Connections to the other daemons.
    pub links: PeerLinks,
    /// What is known of the upstreams' load.
    pub loads: Mutex<LoadTable>,
    /// The upstreams' last reports.
    pub reports: Mutex<ReportTable>,
    /// Upstreams that get no new work.
    pub leaving: Mutex<LeavingTable>,
    /// What upstreams say of themselves, and what was sent to them.
    pub announcements: Mutex<AnnouncementState>,
    /// Upstreams that ended under requests.
    pub crashes: CrashTable,
    /// Limits and queue.
    pub admission: AdmissionQueue,
    /// Non-idempotent calls of this incarnation.
    pub calls: CallTable,
    /// Index entries that this daemon owns.
    pub index: Mutex<CacheIndex>,
    /// What the stores' links really carry.
    pub link_rates: Mutex<LinkTable>,
    /// The stores' last reports.
    pub stores: Mutex<FastMap<UpstreamId, StoreReport>>,
    /// Retries left.
    pub retries: Mutex<RetryBudget>,
    /// Latest routing decisions.
    pub decisions: DecisionLog,
    /// Metrics.
    pub metrics: MetricSink,
    /// Requests in progress.
    pub work: WorkGauge,
    /// What clients hold of this daemon.
    pub clients: ClientBudget,
    /// Signs event ids.
    pub secret: StreamSecret,
    /// The platform.
    pub platform: PlatformClients,
    /// The latest moment at which the log was known to hold nothing that is not applied here.
    confirmed: Mutex<Option<Moment>>,
    /// When the state was first seen restored.
    pub restored: Mutex<Option<Moment>>,
    phase: AtomicU8,
    entry_version: AtomicU64,
}

/// The parts of a context that are made before it.
pub struct ContextParts {
    /// The settings.
    pub settings: DaemonSettings,
    /// Ring to the log duty.
    pub appends: AppendRing,
    /// Ring to the cache duty.
    pub exports: ExportRing,
    /// Connections to the other daemons.
    pub links: PeerLinks,
    /// Metrics.
    pub metrics: MetricSink,
    /// What clients hold of this daemon.
    pub clients: ClientBudget,
    /// Signs event ids.
    pub secret: StreamSecret,
}

impl DaemonContext {
    /// A context of a fresh incarnation.
    pub fn new(parts: ContextParts) -> Self {
        let platform = parts.settings.platform;
        Self {
            me: Incarnation::random(),
            state: SharedState::default(),
            appends: parts.appends,
            exports: parts.exports,
            peer_table: Mutex::default(),
            links: parts.links,
            loads: Mutex::default(),
            reports: Mutex::default(),
            leaving: Mutex::default(),
            announcements: Mutex::default(),
            crashes: CrashTable::default(),
            admission: AdmissionQueue::default(),
            calls: CallTable::default(),
            index: Mutex::default(),
            link_rates: Mutex::default(),
            stores: Mutex::default(),
            retries: Mutex::default(),
            decisions: DecisionLog::default(),
            metrics: parts.metrics,
            work: WorkGauge::default(),
            clients: parts.clients,
            secret: parts.secret,
            platform: PlatformClients {
                log: LogClient { address: platform.log },
                vm_list: VmListClient { address: platform.vm_list },
                weights: WeightStoreClient { address: platform.weights },
            },
            confirmed: Mutex::default(),
            restored: Mutex::default(),
            phase: AtomicU8::new(DaemonPhase::Starting.code()),
            entry_version: AtomicU64::new(1),
            settings: parts.settings,
        }
    }

    /// Where the daemon is in its life.
    pub fn phase(&self) -> DaemonPhase {
        DaemonPhase::from_code(u32::from(self.phase.load(Ordering::Acquire)))
    }

    /// The phase that the other daemons are told. One that no upstream reports to does not serve, as
    /// if it were starting: its own links are lost, or the upstreams are, for all daemons alike.
    pub fn told_phase(&self) -> DaemonPhase {
        match self.phase() {
            DaemonPhase::Serving if !locked(&self.reports).is_any_fresh() => DaemonPhase::Starting,
            phase => phase,
        }
    }

    /// Moves on in its life; never back.
    pub fn enter_phase(&self, phase: DaemonPhase) {
        self.phase.fetch_max(phase.code(), Ordering::AcqRel);
    }

    /// Version of this daemon's own gossip entry.
    pub fn entry_version(&self) -> u64 {
        self.entry_version.load(Ordering::Relaxed)
    }

    /// Makes a new version of this daemon's own gossip entry.
    pub fn next_entry_version(&self) {
        self.entry_version.fetch_add(1, Ordering::Relaxed);
    }

    /// Applies the freshness rule now.
    pub fn freshness(&self) -> FreshnessVerdict {
        self.with_freshness(|input| input.judge())
    }

    /// Whether a majority of the roster was heard lately.
    pub fn reaches_majority(&self) -> bool {
        self.with_freshness(|input| input.reaches_majority())
    }

    fn with_freshness<T>(&self, judge: impl FnOnce(&FreshnessInput<'_>) -> T) -> T {
        let view = self.state.view();
        let peers: Vec<PeerObservation> = locked(&self.peer_table).sights();
        let mut confirmed = locked(&self.confirmed);
        let input = FreshnessInput {
            now: Moment::now(),
            me: self.me,
            next: self.state.next(),
            confirmed: *confirmed,
            own: self.state.log_sight(),
            peers: &peers,
            roster: &view.roster,
        };
        *confirmed = input.confirm();
        judge(&input)
    }
}
