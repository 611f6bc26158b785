//! Progress of the engines of each model in loading published weights.
//!
//! The state of a model is rebuilt for each published version. Every daemon refreshes it from what
//! it knows of the engines; the lease holder also records its orders and the answers to them.

use crate::members::peer_message::LoadedVersion;
use crate::parts::cache_salt::salt_version;
use crate::serve_context::ServeContext;
use crate::upstreams::upstream_table::{UpstreamEntry, UpstreamTable, WeightVersion};
use crate::weights::version_rollout::{ORDER_EXPIRY_MS, RolloutEngine};
use crate::weights::version_targets::VersionTargets;
use guava_types::{Deadline, FastMap, ModelName, Moment, UpstreamId};

/// Interval between two polls of an engine that loads, in milliseconds.
const POLL_INTERVAL_MS: u64 = 150;
/// Time for which summaries to peers report that an engine has loaded its weights, in milliseconds.
const LOADED_REPORT_MS: u64 = 2_000;
/// Time for which an engine counts as loading after each refresh that finds it loading, in
/// milliseconds.
const LOADING_MS: u64 = 500;
/// Time without orders to an engine whose report call failed, in milliseconds.
const FAILED_DELAY_MS: u64 = 1_000;
/// Time without orders to an engine that still carries out another order, in milliseconds.
const BUSY_DELAY_MS: u64 = 300;
/// Retention of prompt parts of older weights after a publication, in milliseconds. Requests sent
/// with older weights may still fetch them; fetches begin within 2.5 s.
const PART_RETENTION_MS: u64 = 6_000;

#[derive(Clone, Debug, Default)]
struct EngineState {
    is_loaded: bool,
    /// When this daemon found by the engine's report that it has loaded the weights.
    found: Option<Moment>,
    ordered: Option<Moment>,
    polled: Moment,
}

/// State of the rollouts of all models.
#[derive(Debug, Default)]
pub struct VersionRollout {
    models: FastMap<ModelName, ModelRollout>,
}

#[derive(Debug, Default)]
struct ModelRollout {
    version: WeightVersion,
    engines: FastMap<UpstreamId, (EngineState, u32)>,
}

impl ModelRollout {
    fn is_lagging(&self) -> bool {
        self.engines.values().any(|(state, _)| !state.is_loaded)
    }
}

impl VersionRollout {
    /// Updates the state from what this daemon knows at `now`; returns whether any engine lacks its
    /// newest weights. Marks the engines that load in the upstream table.
    pub fn refresh(&mut self, context: &ServeContext, now: Moment) -> bool {
        let targets = context.targets.borrow();
        let upstreams = context.upstreams.borrow();
        let work = context.work.borrow();
        let announcements = context.announcements.borrow();
        for (model, target) in targets.iter() {
            let rollout = self.models.entry(model.clone()).or_default();
            if rollout.version != target.version {
                // Orders for an older version don't apply to this one.
                *rollout = ModelRollout { version: target.version, ..ModelRollout::default() };
            }
            rollout.engines.retain(|id, _| upstreams.may_send(id) && !announcements.is_leaving(id));
            let is_staying =
                |entry: &&UpstreamEntry| !entry.is_leaving && !announcements.is_leaving(&entry.id);
            for entry in upstreams.entries().filter(is_staying) {
                let Some(version) = entry.versions.get(model) else { continue };
                let slot = rollout.engines.entry(entry.id.clone()).or_default();
                slot.0.is_loaded |= *version >= target.version;
                slot.1 = work.total(&entry.id).running;
            }
        }
        drop((targets, upstreams, work, announcements));
        for id in self.loading(now) {
            let until = Deadline::after(now, LOADING_MS);
            context.upstreams.borrow_mut().note_loading(&id, until);
        }
        self.models.values().any(ModelRollout::is_lagging)
    }

    /// Models with engines that lack the newest weights, and the version to load.
    pub fn lagging(&self) -> Vec<(ModelName, WeightVersion)> {
        let lagging = self.models.iter().filter(|(_, rollout)| rollout.is_lagging());
        lagging.map(|(model, rollout)| (model.clone(), rollout.version)).collect()
    }

    /// Engines of a model; empty if no version of it was published.
    pub fn engines(&self, model: &ModelName) -> Vec<RolloutEngine> {
        let Some(rollout) = self.models.get(model) else { return Vec::new() };
        let engine = |(id, (state, running)): (&UpstreamId, &(EngineState, u32))| RolloutEngine {
            id: id.clone(),
            is_loaded: state.is_loaded,
            running: *running,
            ordered: state.ordered,
        };
        rollout.engines.iter().map(engine).collect()
    }

    /// Engines that load by an order of this daemon that has not expired.
    pub fn loading(&self, now: Moment) -> Vec<UpstreamId> {
        let models: Vec<&ModelName> = self.models.keys().collect();
        let engines = models.into_iter().flat_map(|model| self.engines(model));
        engines.filter(|engine| engine.is_loading(now)).map(|engine| engine.id).collect()
    }

    /// Engines that this daemon recently found to have loaded their weights, to be reported to its
    /// peers: the VM list shows a new version only with the engine's next heartbeat.
    pub fn recently_loaded(&self, now: Moment) -> Vec<LoadedVersion> {
        let is_recent = |state: &EngineState| {
            state.found.is_some_and(|found| now.millis_since(found) < LOADED_REPORT_MS)
        };
        let mut loaded = Vec::new();
        for (model, rollout) in &self.models {
            let found = rollout.engines.iter().filter(|(_, (state, _))| is_recent(state));
            loaded.extend(found.map(|(id, _)| LoadedVersion {
                engine: id.clone(),
                model: model.clone(),
                version: rollout.version,
            }));
        }
        loaded
    }

    /// Ordered engines that are due to be polled; records the poll at `now`.
    pub fn due_polls(&mut self, model: &ModelName, now: Moment) -> Vec<UpstreamId> {
        let Some(rollout) = self.models.get_mut(model) else { return Vec::new() };
        let mut due = Vec::new();
        for (id, (state, _)) in &mut rollout.engines {
            let is_due = now.millis_since(state.polled) >= POLL_INTERVAL_MS;
            if !state.is_loaded && state.ordered.is_some() && is_due {
                state.polled = now;
                due.push(id.clone());
            }
        }
        due
    }

    fn state(&mut self, model: &ModelName, id: &UpstreamId) -> Option<&mut EngineState> {
        self.models.get_mut(model)?.engines.get_mut(id).map(|(state, _)| state)
    }

    /// Records that an engine has loaded the newest weights.
    pub fn note_version_loaded(&mut self, model: &ModelName, id: &UpstreamId, now: Moment) {
        if let Some(state) = self.state(model, id) {
            state.is_loaded = true;
            state.found = Some(now);
        }
    }

    /// Records that an engine was ordered to load the newest weights.
    pub fn note_ordered(&mut self, model: &ModelName, id: &UpstreamId, now: Moment) {
        if let Some(state) = self.state(model, id) {
            state.ordered = Some(now);
            state.polled = now;
        }
    }

    /// Records that the report call to an engine failed; it gets no order for `FAILED_DELAY_MS`.
    pub fn note_failed(&mut self, model: &ModelName, id: &UpstreamId, now: Moment) {
        self.postpone_order(model, id, FAILED_DELAY_MS, now);
    }

    /// Records that an engine still carries out another order; it gets no order for
    /// `BUSY_DELAY_MS`.
    ///
    /// Weights may be published while an engine loads older ones. If the engine counted as ordered
    /// to load the new ones, it would use up one of the few concurrent loads until that order
    /// expires, without loading them.
    pub fn note_busy(&mut self, model: &ModelName, id: &UpstreamId, now: Moment) {
        self.postpone_order(model, id, BUSY_DELAY_MS, now);
    }

    fn postpone_order(&mut self, model: &ModelName, id: &UpstreamId, delay_ms: u64, now: Moment) {
        let elapsed_ms = ORDER_EXPIRY_MS.saturating_sub(delay_ms);
        if let Some(state) = self.state(model, id) {
            state.ordered = Some(now.minus_millis(elapsed_ms));
            state.polled = now;
        }
    }
}

/// Whether no request can fetch the prompt parts under a salt any more: newer weights have been
/// known here for longer than `PART_RETENTION_MS`, and all engines of the model, those removed from
/// the list within that time included, have newer weights than the salt's.
///
/// A part must not be freed while a request fetches it. Only requests on engines with the salt's
/// weights do that, and engines never load older weights again. An engine that is not listed may still
/// run requests, and be listed again.
pub fn is_salt_unreferenced(
    salt: &str,
    upstreams: &UpstreamTable,
    targets: &VersionTargets,
    now: Moment,
) -> bool {
    let Some((model, version)) = salt_version(salt) else { return false };
    let Ok(model) = model.parse::<ModelName>() else { return false };
    let is_retention_over = targets.target(&model).is_some_and(|target| {
        target.version > version && now.millis_since(target.heard) > PART_RETENTION_MS
    });
    let listed = upstreams.entries().filter_map(|entry| entry.versions.get(&model).copied());
    let departed = upstreams.departed_versions(&model, now.minus_millis(PART_RETENTION_MS));
    is_retention_over && listed.chain(departed).min().is_some_and(|oldest| oldest > version)
}
