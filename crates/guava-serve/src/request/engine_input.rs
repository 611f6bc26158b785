//! Inputs of the choice of an engine for a prompt.

use crate::parts::part_index::PartIndex;
use crate::parts::store_links::StoreLinks;
use crate::request::accepted_request::{AcceptedRequest, PromptShape};
use crate::serve_config::{EngineTraits, StoreTraits};
use crate::upstreams::engine_speeds::EngineSpeeds;
use crate::upstreams::upstream_table::{UpstreamEntry, UpstreamTable};
use crate::upstreams::work_table::WorkTable;
use crate::weights::version_targets::{VersionLimits, VersionTargets};
use guava_policy::ReportTable;
use guava_types::{
    DataCentre, MemberName, Moment, ServiceName, SoftwareVersion, TokenRate, UpstreamId,
};
use std::rc::Rc;

/// Inputs of one choice of an engine.
pub struct EngineInput<'a> {
    /// The request to send.
    pub request: &'a AcceptedRequest,
    /// Its prompt.
    pub prompt: &'a PromptShape,
    /// Service whose engines are candidates.
    pub service: &'a ServiceName,
    /// Configured properties common to the service's engines.
    pub traits: &'a EngineTraits,
    /// Configured stores of cached prompt parts.
    pub stores: &'a [Rc<StoreTraits>],
    /// Known upstreams, including those of other services.
    pub upstreams: &'a UpstreamTable,
    /// Requests in flight at the upstreams, of this daemon and its peers.
    pub work: &'a WorkTable,
    /// Which engines and stores hold which prompt parts.
    pub parts: &'a PartIndex,
    /// Transfers on the stores' links.
    pub links: &'a StoreLinks,
    /// Published versions of weights.
    pub targets: &'a VersionTargets,
    /// Time limits for the change to a new version.
    pub version_limits: VersionLimits,
    /// Measured prefill throughput of all engines.
    pub prefill: TokenRate,
    /// Measured prefill throughput of single engines, where known.
    pub speeds: &'a EngineSpeeds,
    /// Load that the engines report.
    pub reports: &'a ReportTable,
    /// Measured time to the first token in addition to the prefill, in milliseconds.
    pub fixed_ms: f64,
    /// Fraction of the engines' memory that the daemon plans with, 0 to 1.
    pub memory_fraction: f64,
    /// Name of this daemon.
    pub local_daemon: &'a MemberName,
    /// The other reachable daemons of this data centre.
    pub peers: &'a [MemberName],
    /// Data centre of this daemon.
    pub data_centre: &'a DataCentre,
    /// Software version that an engine must have; `None` if any may take the request.
    pub software: Option<&'a SoftwareVersion>,
    /// Engines to which this request was already sent.
    pub tried: &'a [UpstreamId],
    /// Whether an upstream may get no request now.
    pub is_closed: &'a dyn Fn(&UpstreamEntry) -> bool,
    /// The current moment.
    pub now: Moment,
    /// Random number that decides between candidates of equal cost.
    pub draw: u64,
}

impl EngineInput<'_> {
    /// Milliseconds that the request waits at an engine before its prefill: the longer of the wait
    /// behind individually known requests and the wait by the totals that peers reported.
    pub(crate) fn wait_ms(&self, engine: &UpstreamId) -> f64 {
        let known_ms = self.work.wait_ms(engine, self.request.priority(), self.now);
        let known_ms = known_ms * self.reports.pace(engine, self.now);
        known_ms.max(self.work.peers_wait_ms(engine, self.prefill_of(engine), self.now))
    }

    /// Prefill throughput of an engine at the pace that it states; the common one if its own is not
    /// known.
    pub(crate) fn prefill_of(&self, engine: &UpstreamId) -> TokenRate {
        let usual = self.speeds.rate(engine).unwrap_or(self.prefill);
        TokenRate((usual.0 as f64 / self.reports.pace(engine, self.now)) as u64)
    }
}
