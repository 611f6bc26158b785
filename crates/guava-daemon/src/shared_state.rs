//! The folded state, as the log duty writes it and everybody reads it.

use arc_swap::ArcSwap;
use guava_state::{
    FleetState, FoldOutcome, LogObservation, ObjectKind, UpstreamSpec, WeightProfile,
};
use guava_types::{CustomerId, FastMap, Incarnation, Moment, Offset, UpstreamId};
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use tokio::sync::watch;

/// What requests need of the configuration, made anew when it changes.
#[derive(Clone, Debug, Default)]
pub struct ConfigView {
    /// Customers by the hash of each of their keys.
    pub customers: FastMap<Box<str>, CustomerId>,
    /// All upstreams; those of drained data centres are drained.
    pub upstreams: Vec<(UpstreamId, UpstreamSpec)>,
    /// Daemons on the roster.
    pub roster: Vec<Incarnation>,
    /// The weights of the measures.
    pub profile: WeightProfile,
}

impl ConfigView {
    fn of(state: &FleetState) -> Self {
        let mut view = Self {
            upstreams: state.upstreams().map(|(id, spec)| (id, effective(state, spec))).collect(),
            roster: state.members().keys().copied().collect(),
            profile: state.profile(),
            ..Self::default()
        };
        let customers = state.objects().keys().filter(|key| key.kind == ObjectKind::Customer);
        for id in customers.filter_map(|key| key.name.parse::<CustomerId>().ok()) {
            let Some(spec) = state.customer(&id) else { continue };
            for hash in &spec.key_hashes {
                view.customers.insert(hash.clone(), id.clone());
            }
        }
        view
    }

    /// An upstream's specification.
    pub fn upstream(&self, id: &UpstreamId) -> Option<&UpstreamSpec> {
        self.upstreams.iter().find(|(other, _)| other == id).map(|(_, spec)| spec)
    }
}

/// An upstream's specification with what holds for its data centre.
fn effective(state: &FleetState, spec: &UpstreamSpec) -> UpstreamSpec {
    let draining = spec.draining || state.is_drained(&spec.data_centre);
    UpstreamSpec { draining, ..spec.clone() }
}

/// The state behind its lock.
#[derive(Debug)]
pub struct SharedState {
    fleet: RwLock<FleetState>,
    view: ArcSwap<ConfigView>,
    progress: watch::Sender<Offset>,
    sight: Mutex<Option<LogObservation>>,
}

impl Default for SharedState {
    fn default() -> Self {
        Self {
            fleet: RwLock::default(),
            view: ArcSwap::default(),
            progress: watch::Sender::new(Offset(0)),
            sight: Mutex::default(),
        }
    }
}

impl SharedState {
    /// Reads the state.
    pub fn read<T>(&self, look: impl FnOnce(&FleetState) -> T) -> T {
        look(&self.fleet.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// What requests need of the configuration.
    pub fn view(&self) -> Arc<ConfigView> {
        self.view.load_full()
    }

    /// The first offset not applied yet.
    pub fn next(&self) -> Offset {
        *self.progress.borrow()
    }

    /// Waits until the state has what is looked for, by a record or a state taken over.
    pub async fn wait_for<T>(&self, look: impl Fn(&FleetState) -> Option<T>) -> T {
        let mut progress = self.progress.subscribe();
        loop {
            progress.mark_unchanged();
            if let Some(found) = self.read(&look) {
                return found;
            }
            if progress.changed().await.is_err() {
                // The sender lives as long as the state.
                std::future::pending::<()>().await;
            }
        }
    }

    /// This daemon's last sight of the log's end.
    pub fn log_sight(&self) -> Option<LogObservation> {
        *self.sight.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that the log was read to an end that it had no earlier than `seen`.
    pub fn note_sight(&self, end: Offset, seen: Moment) {
        *self.sight.lock().unwrap_or_else(PoisonError::into_inner) =
            Some(LogObservation { end, seen });
    }

    /// Folds one record.
    pub fn fold(&self, offset: Offset, bytes: &[u8]) -> FoldOutcome {
        let mut fleet = self.fleet.write().unwrap_or_else(PoisonError::into_inner);
        let outcome = fleet.fold(offset, bytes);
        if !matches!(outcome, FoldOutcome::Intents(_) | FoldOutcome::Repeated) {
            self.view.store(Arc::new(ConfigView::of(&fleet)));
        }
        self.progress.send_replace(fleet.next());
        outcome
    }

    /// Takes over a state that was restored or fetched, if it is newer.
    ///
    /// A paused peer or an old snapshot may offer a state from before changes that are in force
    /// here; taking it would revert them until the next record.
    pub fn advance_to(&self, state: FleetState) -> bool {
        let mut fleet = self.fleet.write().unwrap_or_else(PoisonError::into_inner);
        if state.next() <= fleet.next() {
            return false;
        }
        *fleet = state;
        self.view.store(Arc::new(ConfigView::of(&fleet)));
        self.progress.send_replace(fleet.next());
        true
    }
}
