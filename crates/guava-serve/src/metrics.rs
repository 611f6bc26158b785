//! Counters, gauges and histograms of the request path, encoded as OpenMetrics text.

use crate::request::queue_table::QueueLevel;
use guava_clients::{BudgetLevels, CloseReason};
use guava_types::UpstreamId;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;

/// Bucket bounds of the latency histograms, in seconds; objectives range from 0.1 s to 1 s.
const LATENCY_BOUNDS_S: [f64; 10] = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4];

/// Label that divides a counter by kind of event.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct KindLabel {
    /// The kind, as a fixed short text.
    pub kind: &'static str,
}

/// Label that divides a gauge by upstream.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct UpstreamLabel {
    /// Id of the upstream as text.
    pub upstream: String,
}

/// Label that divides a gauge by service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ServiceLabel {
    /// Name of the service as text.
    pub service: String,
}

/// An upstream's rate limit and this daemon's share of it, in requests a second.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitLevel {
    /// The upstream that has the limit.
    pub upstream: UpstreamId,
    /// Rate limit for all daemons together.
    pub limit: f64,
    /// This daemon's share.
    pub share: f64,
    /// Rate at which this daemon recently sent requests.
    pub sends: f64,
}

/// Label that divides a gauge by store of prompt parts.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct StoreLabel {
    /// Address of the store as text.
    pub store: String,
}

/// How full a store of prompt parts is.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreLevel {
    /// Address of the store.
    pub store: SocketAddr,
    /// Fraction of its room that parts and saves in flight take.
    pub fill: f64,
}

/// Gauges by upstream.
type UpstreamLevels = Family<UpstreamLabel, Gauge<f64, AtomicU64>>;
/// Gauges by service.
type ServiceLevels = Family<ServiceLabel, Gauge<f64, AtomicU64>>;

/// The metrics of one daemon, with the registry that encodes them.
#[derive(Debug)]
pub struct ServeMetrics {
    registry: Registry,
    requests: Family<KindLabel, Counter>,
    refusals: Family<KindLabel, Counter>,
    sends: Family<KindLabel, Counter>,
    permits: Family<KindLabel, Counter>,
    bars: Family<KindLabel, Counter>,
    superseded: Family<KindLabel, Counter>,
    resumptions: Family<KindLabel, Counter>,
    store_calls: Family<KindLabel, Counter>,
    bad_records: Family<KindLabel, Counter>,
    lost_messages: Family<KindLabel, Counter>,
    announcements: Family<KindLabel, Counter>,
    parts: Family<KindLabel, Counter>,
    store_fills: Family<StoreLabel, Gauge<f64, AtomicU64>>,
    reported_loads: Family<KindLabel, Counter>,
    turns: Family<KindLabel, Counter>,
    returns: Family<KindLabel, Counter>,
    ignored_reports: Family<KindLabel, Counter>,
    queue_depths: ServiceLevels,
    queue_ages: ServiceLevels,
    limits: UpstreamLevels,
    limit_shares: UpstreamLevels,
    limited_sends: UpstreamLevels,
    first_answer: Histogram,
    whole_answer: Histogram,
    config_version: Gauge,
    upstreams: Gauge,
    members: Gauge,
    dropped_lines: Gauge,
    reaches_upstreams: Gauge,
    closed_clients: Family<KindLabel, Counter>,
    client_connections: Gauge,
    client_bytes: Gauge,
}

impl Default for ServeMetrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("guavatiller");
        let requests = Family::<KindLabel, Counter>::default();
        let refusals = Family::<KindLabel, Counter>::default();
        let sends = Family::<KindLabel, Counter>::default();
        let superseded = Family::<KindLabel, Counter>::default();
        let resumptions = Family::<KindLabel, Counter>::default();
        let store_calls = Family::<KindLabel, Counter>::default();
        let bad_records = Family::<KindLabel, Counter>::default();
        let lost_messages = Family::<KindLabel, Counter>::default();
        let announcements = Family::<KindLabel, Counter>::default();
        let parts = Family::<KindLabel, Counter>::default();
        let store_fills = Family::<StoreLabel, Gauge<f64, AtomicU64>>::default();
        let reported_loads = Family::<KindLabel, Counter>::default();
        let [turns, returns, ignored_reports, permits, bars] =
            [(); 5].map(|()| Family::<KindLabel, Counter>::default());
        let [queue_depths, queue_ages] = [(); 2].map(|()| ServiceLevels::default());
        let [limits, limit_shares, limited_sends] = [(); 3].map(|()| UpstreamLevels::default());
        let first_answer = Histogram::new(LATENCY_BOUNDS_S);
        let whole_answer = Histogram::new(LATENCY_BOUNDS_S);
        let config_version = Gauge::default();
        let upstreams = Gauge::default();
        let members = Gauge::default();
        let dropped_lines = Gauge::default();
        let reaches_upstreams = Gauge::default();
        let closed_clients = Family::<KindLabel, Counter>::default();
        let [client_connections, client_bytes] = [(); 2].map(|()| Gauge::default());
        registry.register("closed_clients", "Connections by reason", closed_clients.clone());
        registry.register("client_connections", "Open connections", client_connections.clone());
        registry.register("client_bytes", "Bytes held for clients", client_bytes.clone());
        reaches_upstreams.set(1);
        registry.register("requests", "Requests by outcome", requests.clone());
        registry.register("refusals", "Refused requests by reason", refusals.clone());
        registry.register("sends", "Sends to upstreams by result", sends.clone());
        registry.register("send_permits", "Of requests, by ground", permits.clone());
        registry.register("send_bars", "Ends of sends, by reason", bars.clone());
        registry.register("superseded_requests", "On superseded weights", superseded.clone());
        registry.register("resumptions", "Of streams, by kind", resumptions.clone());
        registry.register("store_calls", "Calls to the platform's store", store_calls.clone());
        registry.register("bad_records", "Unreadable records by kind", bad_records.clone());
        registry.register("lost_messages", "Between daemons, by reason", lost_messages.clone());
        registry.register("queue_depth", "Requests that wait", queue_depths.clone());
        registry.register("queue_oldest_seconds", "Age of the oldest", queue_ages.clone());
        registry.register("upstream_limit", "Requests a second in all", limits.clone());
        registry.register("upstream_limit_share", "This daemon's part", limit_shares.clone());
        registry.register("upstream_limited_sends", "Sent a second", limited_sends.clone());
        registry.register("upstream_words", "Changes of what upstreams say", announcements.clone());
        registry.register("prompt_parts", "Parts by what became of them", parts.clone());
        registry.register("part_store_fill", "Fraction of its room", store_fills.clone());
        registry.register("reported_loads", "Of upstreams, by use", reported_loads.clone());
        registry.register("queue_turns", "Of waiting requests", turns.clone());
        registry.register("returns", "Refused callers by return", returns.clone());
        registry.register("ignored_reports", "Rows from peers", ignored_reports.clone());
        registry.register("first_answer_seconds", "To the first byte", first_answer.clone());
        registry.register("whole_answer_seconds", "To the last byte", whole_answer.clone());
        registry.register("config_version", "In force", config_version.clone());
        registry.register("upstreams", "Known upstreams", upstreams.clone());
        registry.register("members", "Daemons heard lately", members.clone());
        registry.register("dropped_log_lines", "Over the log's budget", dropped_lines.clone());
        registry.register("reaches_upstreams", "0 without any", reaches_upstreams.clone());
        Self {
            registry,
            requests,
            refusals,
            sends,
            permits,
            bars,
            superseded,
            resumptions,
            store_calls,
            bad_records,
            lost_messages,
            announcements,
            parts,
            store_fills,
            reported_loads,
            turns,
            returns,
            ignored_reports,
            queue_depths,
            queue_ages,
            limits,
            limit_shares,
            limited_sends,
            first_answer,
            whole_answer,
            config_version,
            upstreams,
            members,
            dropped_lines,
            closed_clients,
            client_connections,
            client_bytes,
            reaches_upstreams,
        }
    }
}

fn seconds(millis: u64) -> f64 {
    millis as f64 / 1_000.0
}

fn gauge_value(count: u64) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}

impl ServeMetrics {
    /// Counts a finished request; `kind` is its outcome.
    pub fn count_request(&self, kind: &'static str) {
        self.requests.get_or_create(&KindLabel { kind }).inc();
    }

    /// Counts a refused request, as its outcome and by its reason; `kind` is the reason.
    pub fn count_refusal(&self, kind: &'static str) {
        self.count_request("refused");
        self.refusals.get_or_create(&KindLabel { kind }).inc();
    }

    /// Counts a send to an upstream; `kind` is its result.
    pub fn count_send(&self, kind: &'static str) {
        self.sends.get_or_create(&KindLabel { kind }).inc();
    }

    /// Counts a permit to send a request; `kind` is its ground.
    pub fn count_permit(&self, kind: &'static str) {
        self.permits.get_or_create(&KindLabel { kind }).inc();
    }

    /// Counts a request that is not sent, or not sent again; `kind` tells why.
    pub fn count_bar(&self, kind: &'static str) {
        self.bars.get_or_create(&KindLabel { kind }).inc();
    }

    /// Counts a request on superseded weights; `kind` tells how far it came.
    pub fn count_superseded(&self, kind: &'static str) {
        self.superseded.get_or_create(&KindLabel { kind }).inc();
    }

    /// Counts a resumption of a stream; `kind` tells by whom, and whether versions agree.
    pub fn count_resumption(&self, kind: &'static str) {
        self.resumptions.get_or_create(&KindLabel { kind }).inc();
    }

    /// Counts a call to the platform's store; `kind` names the call.
    pub fn count_store_call(&self, kind: &'static str) {
        self.store_calls.get_or_create(&KindLabel { kind }).inc();
    }

    /// Counts a page of a peer's list that was refused.
    pub fn count_refused_copy(&self) {
        self.bad_records.get_or_create(&KindLabel { kind: "list-page" }).inc();
    }

    /// Counts an unreadable record; `kind` tells which.
    pub fn count_bad_record(&self, kind: &'static str) {
        self.bad_records.get_or_create(&KindLabel { kind }).inc();
    }

    /// Counts a lost message between daemons; `kind` is the reason.
    pub fn count_lost_message(&self, kind: &'static str) {
        self.lost_messages.get_or_create(&KindLabel { kind }).inc();
    }

    /// Counts a changed upstream announcement; `kind` tells which.
    pub fn count_announcement(&self, kind: &'static str) {
        self.announcements.get_or_create(&KindLabel { kind }).inc();
    }

    /// Counts prompt parts; `kind` tells what became of them.
    pub fn count_parts(&self, kind: &'static str, parts: u64) {
        if parts > 0 {
            self.parts.get_or_create(&KindLabel { kind }).inc_by(parts);
        }
    }

    /// Sets the gauges of these stores, and removes those of all others.
    pub fn note_stores(&self, levels: &[StoreLevel]) {
        self.store_fills.clear();
        for level in levels {
            let label = StoreLabel { store: level.store.to_string() };
            self.store_fills.get_or_create(&label).set(level.fill);
        }
    }

    /// Counts a load that an upstream reported; `kind` tells whether it was read, and what it decided.
    pub fn count_reported_load(&self, kind: &'static str) {
        self.reported_loads.get_or_create(&KindLabel { kind }).inc();
    }

    /// Counts a turn of a waiting request; `kind` is what it did.
    pub fn count_turn(&self, kind: &'static str) {
        self.turns.get_or_create(&KindLabel { kind }).inc();
    }

    /// Counts a refused caller that was told when to return, or that returned; `kind` tells which.
    pub fn count_return(&self, kind: &'static str) {
        self.returns.get_or_create(&KindLabel { kind }).inc();
    }

    /// Counts rows of peers' reports that were ignored; `kind` tells of which reports.
    pub fn count_ignored_reports(&self, kind: &'static str, count: usize) {
        if count > 0 {
            self.ignored_reports.get_or_create(&KindLabel { kind }).inc_by(count as u64);
        }
    }

    /// Sets the gauges of the upstreams that have a rate limit, and removes those of all others.
    pub fn note_limits(&self, levels: &[LimitLevel]) {
        for levels in [&self.limits, &self.limit_shares, &self.limited_sends] {
            levels.clear();
        }
        for level in levels {
            let label = UpstreamLabel { upstream: level.upstream.to_string() };
            self.limits.get_or_create(&label).set(level.limit);
            self.limit_shares.get_or_create(&label).set(level.share);
            self.limited_sends.get_or_create(&label).set(level.sends);
        }
    }

    /// Sets the gauges of the services that requests have waited for, and removes all others.
    pub fn note_queues(&self, levels: &[QueueLevel]) {
        for levels in [&self.queue_depths, &self.queue_ages] {
            levels.clear();
        }
        for level in levels {
            let label = ServiceLabel { service: level.service.to_string() };
            self.queue_depths.get_or_create(&label).set(level.depth as f64);
            self.queue_ages.get_or_create(&label).set(seconds(level.oldest_ms));
        }
    }

    /// Records the time to an answer's first byte, in milliseconds.
    pub fn time_first(&self, millis: u64) {
        self.first_answer.observe(seconds(millis));
    }

    /// Records the time to an answer's last byte, in milliseconds.
    pub fn time_whole(&self, millis: u64) {
        self.whole_answer.observe(seconds(millis));
    }

    /// Records the version of the current configuration.
    pub fn note_config(&self, version: u64) {
        self.config_version.set(gauge_value(version));
    }

    /// Records whether this daemon reaches any upstream.
    pub fn note_reach(&self, reaches_upstreams: bool) {
        self.reaches_upstreams.set(i64::from(reaches_upstreams));
    }

    /// Sets the numbers of known upstreams, of daemons in contact, and of dropped log lines.
    pub fn note_levels(&self, upstreams: usize, members: usize, dropped_lines: u64) {
        self.upstreams.set(gauge_value(upstreams as u64));
        self.members.set(gauge_value(members as u64));
        self.dropped_lines.set(gauge_value(dropped_lines));
    }

    /// Sets what clients hold, and how many of their connections were closed.
    pub fn note_clients(&self, levels: &BudgetLevels) {
        self.client_connections.set(gauge_value(levels.connections as u64));
        self.client_bytes.set(gauge_value(levels.bytes as u64));
        for (reason, closed) in CloseReason::ALL.into_iter().zip(levels.closed) {
            let label = KindLabel { kind: reason.name() };
            let counter = self.closed_clients.get_or_create(&label);
            counter.inc_by(closed.saturating_sub(counter.get()));
        }
    }

    /// All metrics as OpenMetrics text; a comment line with the error if they can't be encoded.
    pub fn text(&self) -> String {
        let mut text = String::new();
        match encode(&mut text, &self.registry) {
            Ok(()) => text,
            Err(error) => format!("# not available: {error}\n"),
        }
    }
}
