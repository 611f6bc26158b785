//! What the choice of an engine is made on.

use crate::parts::part_index::PartIndex;
use crate::parts::store_links::StoreLinks;
use crate::request::accepted_request::{AcceptedRequest, PromptShape};
use crate::serve_config::{EngineTraits, StoreTraits};
use crate::upstreams::engine_speeds::EngineSpeeds;
use crate::upstreams::upstream_table::UpstreamTable;
use crate::upstreams::work_table::WorkTable;
use crate::weights::version_targets::{VersionLimits, VersionTargets};
use guava_types::{DataCentre, MemberName, Moment, ServiceName, TokenRate, UpstreamId};
use std::rc::Rc;

/// What a choice is made on.
pub struct EngineInput<'a> {
    /// The request.
    pub request: &'a AcceptedRequest,
    /// Its prompt.
    pub prompt: &'a PromptShape,
    /// Service whose engines are asked.
    pub service: &'a ServiceName,
    /// What they have in common.
    pub traits: &'a EngineTraits,
    /// Stores of cached parts.
    pub stores: &'a [Rc<StoreTraits>],
    /// The upstreams.
    pub upstreams: &'a UpstreamTable,
    /// Their work.
    pub work: &'a WorkTable,
    /// Where parts lie.
    pub parts: &'a PartIndex,
    /// What the stores' links carry.
    pub links: &'a StoreLinks,
    /// Published weights.
    pub targets: &'a VersionTargets,
    /// Time limits for new weights.
    pub version_limits: VersionLimits,
    /// Prefill throughput, as learnt.
    pub prefill: TokenRate,
    /// The same of each engine, as far as it is known.
    pub speeds: &'a EngineSpeeds,
    /// Time to a first token beside the prefill, as learnt, in milliseconds.
    pub fixed_ms: f64,
    /// Part of the engines' memory that is planned with.
    pub memory_part: f64,
    /// This daemon.
    pub me: &'a MemberName,
    /// The other living daemons of this data centre.
    pub peers: &'a [MemberName],
    /// Where this daemon stands.
    pub data_centre: &'a DataCentre,
    /// Engines that were tried for this request.
    pub tried: &'a [UpstreamId],
    /// Upstreams that may get nothing at present.
    pub closed: &'a [UpstreamId],
    /// The current moment.
    pub now: Moment,
    /// A random number that spreads equal choices.
    pub draw: u64,
}

impl EngineInput<'_> {
    /// Milliseconds that the request waits at an engine until it is read: by what is known one by one,
    /// or by what peers said in sum, whichever is more.
    pub(crate) fn wait_ms(&self, engine: &UpstreamId) -> f64 {
        let listed = self.work.wait_ms(engine, self.request.priority(), self.now);
        listed.max(self.work.peers_wait_ms(engine, self.prefill_of(engine), self.now))
    }

    /// Throughput with which an engine reads.
    pub(crate) fn prefill_of(&self, engine: &UpstreamId) -> TokenRate {
        self.speeds.rate(engine).unwrap_or(self.prefill)
    }
}
