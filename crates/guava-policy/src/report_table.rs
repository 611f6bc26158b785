//! The load of upstreams by their own reports, and how far these are believed.
//!
//! A report describes a moment that has passed. Its weight halves with its age, and what takes its
//! place is the mean of the requests that daemons know to be in flight at the service; this daemon's
//! sends since are added at once. Wrong reports must cost nobody a request: those of an upstream whose
//! answers contradict them are ignored for a while.

use crate::reported_load::{LoadObservation, PacePercent, ReportedLoad};
use guava_types::{Deadline, FastMap, Moment, UpstreamId};

/// Least factor that is taken from a stated pace: an upstream that states less must not attract what
/// it can't serve.
const MIN_PACE: f64 = 0.5;
/// Age at which a stated pace has half its weight, in milliseconds.
const PACE_HALF_WEIGHT_MS: f64 = 250.0;
/// Age at which a stated number of requests has half its weight, as a multiple of a request's time:
/// by then most of those requests are over.
const COUNT_HALF_WEIGHT: f64 = 2.0;
/// Age from which a report has no weight, in milliseconds.
const EXPIRY_MS: u64 = 3_000;
/// Requests beyond an upstream's slots, as a divisor of the slots: enough to keep it busy while an
/// answer and the next request travel, few enough that they wait less than one request's time.
const SPARE_DIVISOR: u32 = 4;
/// Weight from which a report tells whether an upstream is full.
const MIN_FULL_WEIGHT: f64 = 0.5;
/// Requests per slot up to which a stated number is believed. Upstreams turn away what exceeds a short
/// queue.
const MAX_REQUESTS_PER_SLOT: u32 = 4;
/// Factor by which an answer must be faster than reports permit to contradict them.
const CONTRADICTION_FACTOR: f64 = 2.0;
/// Contradictions in a row after which reports are ignored. Load and pace change between two reports,
/// so a single one proves nothing.
const MAX_CONTRADICTIONS: u8 = 3;
/// For how long contradicted reports are ignored, in milliseconds.
const DISTRUST_MS: u64 = 5_000;
/// Longest time in which an upstream gets nothing after it turned a request away, in milliseconds.
const MAX_REFUSAL_PAUSE_MS: u64 = 500;
/// Weights of a service time below the estimate, and of one above it, which may include a wait.
const FASTER_WEIGHT: f64 = 0.3;
const SLOWER_WEIGHT: f64 = 0.1;
/// Change of the pace that is told to peers, in percent of the pace that they know.
const TOLD_CHANGE_PERCENT: u32 = 25;
/// Largest number of reports in one message to peers.
const MAX_REPORTS_PER_MESSAGE: usize = 32;

/// A report of an upstream's load, as daemons exchange it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadNotice {
    /// The upstream that reported it.
    pub upstream: UpstreamId,
    /// The report, and when it was received from the upstream.
    pub observation: LoadObservation,
}

/// Requests that daemons know to be in flight at an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KnownRequests {
    /// Of this daemon.
    pub own: u32,
    /// Of this daemon, sent since the upstream's last report.
    pub own_since: u32,
    /// Of this daemon and its peers, as these last told it.
    pub total: u32,
}

/// Load of an upstream at a moment, by its reports and by what daemons know.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadEstimate {
    /// Requests that run or wait there.
    pub requests: f64,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Factor by which work takes longer there than usual.
    pub pace: f64,
    /// Time of a request there without a wait and at the usual pace, in milliseconds.
    pub service_ms: f64,
    /// Whether it has as many requests as it may get.
    pub is_full: bool,
    /// Whether it had as many by its last report, which is too old to tell.
    pub was_full: bool,
}

impl LoadEstimate {
    /// Expected time of one more request, in milliseconds.
    pub fn answer_ms(&self) -> f64 {
        let rounds = (self.requests + 1.0) / f64::from(self.slots.max(1));
        self.service_ms * self.pace * rounds.max(1.0)
    }
}

/// What the answers of one upstream said.
#[derive(Clone, Debug, Default)]
struct ReportState {
    last: Option<LoadObservation>,
    previous: Option<ReportedLoad>,
    /// The pace that peers know; `None` if they know none.
    told_pace: Option<PacePercent>,
    service_ms: Option<f64>,
    contradictions: u8,
    distrusted_until: Deadline,
    refusals: u32,
    paused_until: Deadline,
    was_unreadable: bool,
}

impl ReportState {
    fn usable(&self, now: Moment) -> Option<LoadObservation> {
        self.last.filter(|last| now.millis_since(last.received) < EXPIRY_MS)
    }

    fn trusted(&self, now: Moment) -> Option<LoadObservation> {
        self.usable(now).filter(|_| self.distrusted_until.passed(now))
    }

    /// Least factor by which an answer takes longer than usual, by the reports before it and with it;
    /// `None` without both.
    fn least_factor(&self, has_queue: bool) -> Option<f64> {
        let factor = |load: ReportedLoad| load_factor(load, has_queue);
        Some(factor(self.previous?).min(factor(self.last?.load)))
    }

    fn pause(&self, now: Moment) -> Deadline {
        let service_ms = self.service_ms.unwrap_or(ReportTable::INITIAL_SERVICE_MS) as u64;
        let pause_ms = service_ms.saturating_mul(1 << self.refusals.min(8));
        Deadline::after(now, pause_ms.min(MAX_REFUSAL_PAUSE_MS))
    }

    fn is_news(&self, load: ReportedLoad) -> bool {
        let Some(pace) = load.pace else { return false };
        let known = self.told_pace.unwrap_or(PacePercent::USUAL);
        u64::from(pace.0.abs_diff(known.0)) * 100 >= u64::from(known.0 * TOLD_CHANGE_PERCENT)
    }
}

fn stated_pace(load: ReportedLoad) -> f64 {
    load.pace.unwrap_or(PacePercent::USUAL).factor().max(MIN_PACE)
}

/// Factor by which a request takes longer than usual at a reported load.
fn load_factor(load: ReportedLoad, has_queue: bool) -> f64 {
    let requests = f64::from(load.running.saturating_add(load.waiting));
    let rounds = if has_queue { (requests / f64::from(load.slots)).max(1.0) } else { 1.0 };
    stated_pace(load) * rounds
}

fn weight(observation: LoadObservation, half_weight_ms: f64, now: Moment) -> f64 {
    0.5_f64.powf(now.millis_since(observation.received) as f64 / half_weight_ms)
}

/// Most requests that an upstream with so many slots may have.
pub fn request_bound(slots: u32) -> u32 {
    slots.max(1) + slots.max(1).div_ceil(SPARE_DIVISOR)
}

/// Reports of all upstreams that report their load.
#[derive(Clone, Debug, Default)]
pub struct ReportTable {
    states: FastMap<UpstreamId, ReportState>,
    due: Vec<UpstreamId>,
}

impl ReportTable {
    /// Time of a request to a plain service that is assumed before the first answer, in milliseconds.
    pub const INITIAL_SERVICE_MS: f64 = 25.0;

    /// Notes the report in an upstream's answer, to be told to peers if its pace changed by much.
    pub fn note(&mut self, upstream: &UpstreamId, load: ReportedLoad, now: Moment) {
        let state = self.states.entry(upstream.clone()).or_default();
        state.was_unreadable = false;
        state.previous = state.usable(now).map(|last| last.load);
        state.last = Some(LoadObservation { load, received: now });
        let is_due = self.due.contains(upstream);
        if state.is_news(load) && (is_due || self.due.len() < MAX_REPORTS_PER_MESSAGE) {
            state.told_pace = load.pace;
            if !is_due {
                self.due.push(upstream.clone());
            }
        }
    }

    /// Notes an unreadable report; returns whether the one before it was readable.
    pub fn note_unreadable(&mut self, upstream: &UpstreamId) -> bool {
        let state = self.states.entry(upstream.clone()).or_default();
        !std::mem::replace(&mut state.was_unreadable, true)
    }

    /// Applies a report that a peer received, unless a later one is known.
    pub fn apply_notice(&mut self, notice: &LoadNotice) {
        let state = self.states.entry(notice.upstream.clone()).or_default();
        let LoadObservation { load, received } = notice.observation;
        if state.last.is_none_or(|last| last.received < received) {
            state.last = Some(notice.observation);
            state.told_pace = load.pace.or(state.told_pace);
        }
    }

    /// Takes the reports that peers don't know yet.
    pub fn take_due(&mut self) -> Vec<LoadNotice> {
        let due = std::mem::take(&mut self.due);
        let notice = |upstream: UpstreamId| {
            let observation = self.states.get(&upstream)?.last?;
            Some(LoadNotice { upstream, observation })
        };
        due.into_iter().filter_map(notice).collect()
    }

    /// Notes that an upstream serves a request.
    pub fn note_served(&mut self, upstream: &UpstreamId, now: Moment) {
        if let Some(state) = self.states.get_mut(upstream) {
            state.refusals = 0;
            state.paused_until = now.into();
        }
    }

    /// Notes how long a request to a plain service took, after the report in its answer.
    pub fn note_answer(&mut self, upstream: &UpstreamId, elapsed_ms: u64, now: Moment) {
        self.note_served(upstream, now);
        let Some(state) = self.states.get_mut(upstream) else { return };
        let Some(last) = state.usable(now) else { return };
        let service_ms = state.service_ms.unwrap_or(ReportTable::INITIAL_SERVICE_MS);
        let is_plausible = note_factor(state, elapsed_ms as f64, service_ms, true, now);
        if is_plausible {
            let measured = elapsed_ms.max(1) as f64 / load_factor(last.load, true);
            let weight = if measured < service_ms { FASTER_WEIGHT } else { SLOWER_WEIGHT };
            state.service_ms = Some(service_ms + (measured - service_ms) * weight);
        }
    }

    /// Notes in how many milliseconds an engine had read a prompt that it usually reads in `usual_ms`.
    /// Returns whether the pace that it states permits that.
    pub fn note_read(
        &mut self,
        engine: &UpstreamId,
        elapsed_ms: u64,
        usual_ms: f64,
        now: Moment,
    ) -> bool {
        let Some(state) = self.states.get_mut(engine) else { return true };
        note_factor(state, elapsed_ms as f64, usual_ms, false, now)
    }

    /// Notes that an upstream turned a request away. It gets nothing for about the time of a request,
    /// and for longer after each further refusal. Returns whether it reports its load.
    pub fn note_refused(&mut self, upstream: &UpstreamId, now: Moment) -> bool {
        let Some(state) = self.states.get_mut(upstream) else { return false };
        if state.usable(now).is_none() {
            return false;
        }
        state.paused_until = state.pause(now);
        state.refusals = state.refusals.saturating_add(1);
        true
    }

    /// The last report of an upstream that is recent enough to be used; `None` if there is none, or
    /// if its answers contradict its reports.
    pub fn report(&self, upstream: &UpstreamId, now: Moment) -> Option<LoadObservation> {
        self.states.get(upstream)?.trusted(now)
    }

    /// When the last report of an upstream was received, if it is recent enough to be used.
    pub fn reported(&self, upstream: &UpstreamId, now: Moment) -> Option<Moment> {
        self.states.get(upstream)?.usable(now).map(|last| last.received)
    }

    /// Factor by which work takes longer than usual at an upstream; 1 if it states none.
    pub fn pace(&self, upstream: &UpstreamId, now: Moment) -> f64 {
        let Some(last) = self.report(upstream, now) else { return 1.0 };
        1.0 + (stated_pace(last.load) - 1.0) * weight(last, PACE_HALF_WEIGHT_MS, now)
    }

    /// Load of an upstream that has `listed_slots` by the list of upstreams, where daemons have
    /// `mean_per_slot` requests in flight for each slot of the service; `None` if it reports none.
    pub fn estimate(
        &self,
        upstream: &UpstreamId,
        listed_slots: u32,
        known: KnownRequests,
        mean_per_slot: f64,
        now: Moment,
    ) -> Option<LoadEstimate> {
        let state = self.states.get(upstream)?;
        let last = state.usable(now)?;
        let is_trusted = state.distrusted_until.passed(now);
        let stated_slots = if is_trusted { last.load.slots } else { u32::MAX };
        let listed_slots = if listed_slots == 0 { last.load.slots } else { listed_slots };
        let slots = stated_slots.min(listed_slots).max(1);
        let service_ms = state.service_ms.unwrap_or(Self::INITIAL_SERVICE_MS);
        let pace = self.pace(upstream, now);
        let half_weight_ms = COUNT_HALF_WEIGHT * service_ms * pace;
        let weight = if is_trusted { weight(last, half_weight_ms, now) } else { 0.0 };
        let stated = last.load.running.saturating_add(last.load.waiting);
        let stated = stated.min(slots.saturating_mul(MAX_REQUESTS_PER_SLOT));
        let since = f64::from(stated) + f64::from(known.own_since);
        let requests = since * weight + (mean_per_slot * f64::from(slots)) * (1.0 - weight);
        let requests = requests.max(f64::from(known.own));
        let is_paused = !state.paused_until.passed(now);
        let is_full = requests >= f64::from(request_bound(slots)) && weight >= MIN_FULL_WEIGHT;
        let was_full = is_trusted && stated >= request_bound(slots);
        let is_full = is_full || known.own >= request_bound(slots) || is_paused;
        Some(LoadEstimate { requests, slots, pace, service_ms, is_full, was_full })
    }

    /// Drops the reports of upstreams that are no longer known.
    pub fn retain(&mut self, is_known: impl Fn(&UpstreamId) -> bool) {
        self.states.retain(|upstream, _| is_known(upstream));
    }
}

/// Compares the time of an answer with what the reports before it and with it permit. Returns whether
/// they permit it.
fn note_factor(
    state: &mut ReportState,
    elapsed_ms: f64,
    usual_ms: f64,
    has_queue: bool,
    now: Moment,
) -> bool {
    let Some(factor) = state.least_factor(has_queue) else { return true };
    let is_contradiction = elapsed_ms * CONTRADICTION_FACTOR < usual_ms * factor;
    let contradictions = if is_contradiction { state.contradictions + 1 } else { 0 };
    state.contradictions = contradictions;
    if contradictions >= MAX_CONTRADICTIONS {
        state.contradictions = 0;
        state.distrusted_until = Deadline::after(now, DISTRUST_MS);
    }
    !is_contradiction
}
