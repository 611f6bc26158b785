//! How far the engines are with published weights.

use crate::members::peer_message::LoadedVersion;
use crate::parts::cache_salt::salt_version;
use crate::serve_context::ServeContext;
use crate::upstreams::upstream_table::{UpstreamEntry, UpstreamTable, WeightVersion};
use crate::weights::version_rollout::{ORDER_EXPIRY_MS, RolloutEngine};
use crate::weights::version_targets::VersionTargets;
use guava_types::{Deadline, FastMap, ModelName, Moment, UpstreamId};

/// Pause between two looks at an engine that loads, in milliseconds.
const LOOK_EVERY_MS: u64 = 150;
/// For how long peers are told that an engine has its weights, in milliseconds.
const TOLD_MS: u64 = 2_000;
/// How long an engine counts as loading after each look that finds it so, in milliseconds.
const LOADING_MS: u64 = 500;
/// How long an engine that could not be asked is left alone, in milliseconds.
const FAILED_PAUSE_MS: u64 = 1_000;
/// How long an engine that is still at work on another order is left alone, in milliseconds.
const BUSY_PAUSE_MS: u64 = 300;
/// How long after a publication parts of older weights are kept, in milliseconds: requests sent
/// with older weights may still fetch them. Fetches begin within 2.5 s.
const USELESS_AFTER_MS: u64 = 6_000;

#[derive(Clone, Debug, Default)]
struct EngineState {
    is_done: bool,
    /// When this daemon found that it has the weights.
    found: Option<Moment>,
    ordered: Option<Moment>,
    looked: Moment,
}

/// Rollouts of all models.
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
        self.engines.values().any(|(state, _)| !state.is_done)
    }
}

impl VersionRollout {
    /// Takes in what is known by now; whether any engine lags behind.
    pub fn refresh(&mut self, context: &ServeContext, now: Moment) -> bool {
        let targets = context.targets.borrow();
        let upstreams = context.upstreams.borrow();
        let work = context.work.borrow();
        let announcements = context.announcements.borrow();
        for (model, target) in targets.iter() {
            let rollout = self.models.entry(model.clone()).or_default();
            if rollout.version != target.version {
                // Orders for an older version say nothing about this one.
                *rollout = ModelRollout { version: target.version, ..ModelRollout::default() };
            }
            rollout.engines.retain(|id, _| upstreams.may_send(id) && !announcements.is_leaving(id));
            let stays =
                |entry: &&UpstreamEntry| !entry.is_leaving && !announcements.is_leaving(&entry.id);
            for entry in upstreams.entries().filter(stays) {
                let Some(version) = entry.versions.get(model) else { continue };
                let slot = rollout.engines.entry(entry.id.clone()).or_default();
                slot.0.is_done |= *version >= target.version;
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

    /// Models whose engines lag behind, with the version they should have.
    pub fn lagging(&self) -> Vec<(ModelName, WeightVersion)> {
        let lagging = self.models.iter().filter(|(_, rollout)| rollout.is_lagging());
        lagging.map(|(model, rollout)| (model.clone(), rollout.version)).collect()
    }

    /// The engines of a model.
    pub fn engines(&self, model: &ModelName) -> Vec<RolloutEngine> {
        let Some(rollout) = self.models.get(model) else { return Vec::new() };
        let engine = |(id, (state, running)): (&UpstreamId, &(EngineState, u32))| RolloutEngine {
            id: id.clone(),
            is_done: state.is_done,
            running: *running,
            ordered: state.ordered,
        };
        rollout.engines.iter().map(engine).collect()
    }

    /// Engines that load at this daemon's order.
    pub fn loading(&self, now: Moment) -> Vec<UpstreamId> {
        let models: Vec<&ModelName> = self.models.keys().collect();
        let engines = models.into_iter().flat_map(|model| self.engines(model));
        engines.filter(|engine| engine.is_loading(now)).map(|engine| engine.id).collect()
    }

    /// Engines that this daemon lately found to have their weights, for its peers: the list shows
    /// it only with the engine's next heartbeat.
    pub fn recently_loaded(&self, now: Moment) -> Vec<LoadedVersion> {
        let is_late = |state: &EngineState| {
            state.found.is_some_and(|found| now.millis_since(found) < TOLD_MS)
        };
        let mut loaded = Vec::new();
        for (model, rollout) in &self.models {
            let found = rollout.engines.iter().filter(|(_, (state, _))| is_late(state));
            loaded.extend(found.map(|(id, _)| LoadedVersion {
                engine: id.clone(),
                model: model.clone(),
                version: rollout.version,
            }));
        }
        loaded
    }

    /// Engines under way that should be asked again whether they are done.
    pub fn due_looks(&mut self, model: &ModelName, now: Moment) -> Vec<UpstreamId> {
        let Some(rollout) = self.models.get_mut(model) else { return Vec::new() };
        let mut due = Vec::new();
        for (id, (state, _)) in &mut rollout.engines {
            let is_due = now.millis_since(state.looked) >= LOOK_EVERY_MS;
            if !state.is_done && state.ordered.is_some() && is_due {
                state.looked = now;
                due.push(id.clone());
            }
        }
        due
    }

    fn state(&mut self, model: &ModelName, id: &UpstreamId) -> Option<&mut EngineState> {
        self.models.get_mut(model)?.engines.get_mut(id).map(|(state, _)| state)
    }

    /// Notes that an engine has the weights.
    pub fn note_done(&mut self, model: &ModelName, id: &UpstreamId, now: Moment) {
        if let Some(state) = self.state(model, id) {
            state.is_done = true;
            state.found = Some(now);
        }
    }

    /// Notes that an engine was ordered to load, or is at work on an order.
    pub fn note_ordered(&mut self, model: &ModelName, id: &UpstreamId, now: Moment) {
        if let Some(state) = self.state(model, id) {
            state.ordered = Some(now);
            state.looked = now;
        }
    }

    /// Notes that an engine could not be asked; it is left alone for a while.
    pub fn note_failed(&mut self, model: &ModelName, id: &UpstreamId, now: Moment) {
        self.leave_alone(model, id, FAILED_PAUSE_MS, now);
    }

    /// Notes that an engine is still at work on another order.
    ///
    /// Weights may be published while an engine loads older ones. Taken for an order of its own,
    /// it would hold one of the few places for loads until the order expires, with nothing done.
    pub fn note_busy(&mut self, model: &ModelName, id: &UpstreamId, now: Moment) {
        self.leave_alone(model, id, BUSY_PAUSE_MS, now);
    }

    fn leave_alone(&mut self, model: &ModelName, id: &UpstreamId, pause_ms: u64, now: Moment) {
        let back = ORDER_EXPIRY_MS.saturating_sub(pause_ms);
        if let Some(state) = self.state(model, id) {
            state.ordered = Some(now.minus_millis(back));
            state.looked = now;
        }
    }
}

/// Whether parts under a salt can't be of use to any request any more: weights newer than theirs
/// were published long ago, and all engines have newer ones.
///
/// A part must not be freed while a request fetches it. Only requests on engines with the salt's
/// weights do that, and engines never go back to older weights.
pub fn is_salt_unreferenced(
    salt: &str,
    upstreams: &UpstreamTable,
    targets: &VersionTargets,
    now: Moment,
) -> bool {
    let Some((model, version)) = salt_version(salt) else { return false };
    let Ok(model) = model.parse::<ModelName>() else { return false };
    let is_long_ago = targets.target(&model).is_some_and(|target| {
        target.version > version && now.millis_since(target.learned) > USELESS_AFTER_MS
    });
    let of_model = upstreams.entries().filter_map(|entry| entry.versions.get(&model));
    is_long_ago && of_model.min().is_some_and(|oldest| *oldest > version)
}
