//! Orders to engines, given by one daemon at a time under a lease in the log.
//!
//! The lease's token goes with each order, for the engines that check it. For those that don't,
//! orders are absolute ("be at this version"), and a new holder waits until the flight time of the
//! last holder's orders is over before it reads what is and orders what should be.

use crate::announcement_handler::is_backing_off;
use crate::append_commit::own_record;
use crate::context::DaemonContext;
use crate::daemon_phase::DaemonPhase;
use crate::events;
use crate::lock::locked;
use guava_log::log_event;
use guava_outside::{EngineClient, LoadOrder};
use guava_state::{LeaseRequest, LeaseWatch, RecordBody, UpstreamKind, UpstreamSpec};
use guava_types::{Deadline, FastMap, ModelName, Moment, Offset, UpstreamId, VersionName};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

const LEASE: &str = "orders";
const TERM_MS: u64 = 10_000;
const RENEW_MS: u64 = 3_000;
const TICK_MS: u64 = 200;
const ORDER_MS: u64 = 1_000;
/// How long an order may be under way: its deadline and as much again in the network.
const FLIGHT_MS: u64 = 2 * ORDER_MS;
/// Loads at one time; more slow each other down at the weight store.
const MAX_LOADS: usize = 3;
/// An order whose effect is not reported by then is given again.
const REPEAT_MS: u64 = 5_000;

struct OrderTask {
    context: Arc<DaemonContext>,
    lease: LeaseWatch,
    asked_at: Moment,
    token: Option<Offset>,
    quiet_until: Deadline,
    ordered: FastMap<UpstreamId, (VersionName, Moment)>,
}

/// Runs until the process ends.
pub async fn run(context: Arc<DaemonContext>) {
    let mut duty = OrderTask {
        context,
        lease: LeaseWatch::default(),
        asked_at: Moment::default(),
        token: None,
        quiet_until: Deadline::default(),
        ordered: FastMap::default(),
    };
    loop {
        duty.keep_lease();
        duty.give_orders().await;
        sleep(Duration::from_millis(TICK_MS)).await;
    }
}

impl OrderTask {
    fn keep_lease(&mut self) {
        let now = Moment::now();
        let me = self.context.me;
        let entry = self.context.state.read(|state| state.lease(LEASE).cloned());
        self.lease.observe(entry.as_ref(), me, now);
        let token = self.lease.token(now);
        if token != self.token {
            match token {
                Some(token) => {
                    log_event!(info, events::LEASE_TAKEN, lease = LEASE, token = token);
                    self.quiet_until = Deadline::after(now, FLIGHT_MS);
                    self.ordered.clear();
                }
                None => log_event!(info, events::LEASE_LOST, lease = LEASE),
            }
            self.token = token;
        }
        let may_hold = self.context.told_phase() == DaemonPhase::Serving
            && self.context.freshness().is_fresh();
        if !may_hold || now.millis_since(self.asked_at) < RENEW_MS {
            return;
        }
        if let Some(against) = self.lease.may_request(me, now) {
            self.asked_at = now;
            self.lease.request_sent(now, TERM_MS);
            let request = LeaseRequest { name: LEASE.into(), against, term_ms: TERM_MS };
            let body = own_record(&self.context, RecordBody::Lease(request));
            self.context.appends.append_later(body, Deadline::in_millis(RENEW_MS));
        }
    }

    async fn give_orders(&mut self) {
        if self.token.is_none() || !self.quiet_until.passed(Moment::now()) {
            return;
        }
        let wanted = self.wanted_loads();
        for (upstream, spec, model, version) in wanted {
            let now = Moment::now();
            // Looked up for each order: the lease may have ended while the last one was under way.
            let Some(token) = self.lease.token(now) else { return };
            let is_leaving = locked(&self.context.leaving).is_leaving(&upstream);
            if is_leaving || is_backing_off(&self.context, &upstream) {
                continue;
            }
            let client = EngineClient { upstream: upstream.clone(), address: spec.address };
            let order = LoadOrder { token, model, version: version.clone() };
            log_event!(
                info,
                events::PLACED,
                upstream = upstream,
                model = order.model,
                version = version,
                token = token,
                reason = "configured version is not loaded",
            );
            self.ordered.insert(upstream.clone(), (version, now));
            if let Ok(answer) = client.order(&order, Deadline::in_millis(ORDER_MS)).await
                && !answer.accepted
            {
                log_event!(
                    warn,
                    events::ORDER_REFUSED,
                    upstream = upstream,
                    reason = answer.reason
                );
            }
        }
    }

    /// Engines that are not at their model's current version, as many as may load now.
    fn wanted_loads(&mut self) -> Vec<(UpstreamId, UpstreamSpec, ModelName, VersionName)> {
        let now = Moment::now();
        let view = self.context.state.view();
        let reports = locked(&self.context.reports);
        let mut loading = 0;
        let mut wanted = Vec::new();
        // An order is new work too: a drained engine would load weights only to go away.
        let engines = view
            .upstreams
            .iter()
            .filter(|(_, spec)| spec.kind == UpstreamKind::Engine && !spec.draining);
        for (id, spec) in engines {
            let Some(model) = spec.model.clone() else { continue };
            let current = self
                .context
                .state
                .read(|state| state.model(&model).map(|model| model.current.clone()));
            let (Some(current), Some(heard), true) =
                (current, reports.get(id), reports.is_fresh(id))
            else {
                continue;
            };
            let is_loaded = heard.report.loaded.get(&model) == Some(&current);
            let is_loading = heard.report.loading.is_some();
            let was_ordered = self.ordered.get(id).is_some_and(|(version, at)| {
                *version == current && now.millis_since(*at) < REPEAT_MS
            });
            if is_loaded && !is_loading {
                continue;
            }
            let is_right = heard.report.loading.as_ref() == Some(&current);
            if is_right || (was_ordered && !is_loaded) {
                loading += 1;
            } else if !was_ordered {
                wanted.push((id.clone(), spec.clone(), model, current));
            }
        }
        wanted.truncate(MAX_LOADS.saturating_sub(loading));
        wanted
    }
}
