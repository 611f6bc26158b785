//! Non-idempotent calls: at most once, by an intent in the log or by a pinned key.
//!
//! For a logged key the order of the log decides which incarnation may dispatch. The intent is
//! appended and read back before the first byte goes to the service; only the first intent of a
//! key is ever dispatched. A pinned key needs no append: its text names the one incarnation that
//! dispatches it, from memory, for as long as it lives.

use crate::announcement_handler::{closed, note_announcements, pass, reopens_in_ms};
use crate::append_ring::{AppendBody, AppendVerdict};
use crate::call_forward::{attach, forward_pinned};
use crate::call_table::{CallEntry, CallRun, wait_outcome};
use crate::context::DaemonContext;
use crate::crash_watch::{note_answer, note_interrupted, stop_refusal};
use crate::events;
use crate::key_hold::KeyHold;
use crate::keyed_call::{COME_BACK_MS, KeyedCall, mismatch, wait_or_unknown};
use crate::lock::locked;
use crate::outcome::{CallOutcome, Refusal, RefusalKind};
use crate::readiness::readiness_refusal;
use guava_log::log_event;
use guava_outside::{HttpError, SendError, ServiceCall, ServiceClient};
use guava_state::{FleetState, IntentEntry, IntentVerdict, UpstreamKind};
use guava_types::{
    CallKey, CallerKey, Deadline, Incarnation, Moment, PinnedKey, RecordId, ServiceName,
    UpstreamId, WallTime,
};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// How long an intent may take to be read back, in milliseconds.
const INTENT_MS: u64 = 5_000;
/// How long a dispatched run is waited for, whatever its caller's deadline, in milliseconds.
const RUN_MS: u64 = 600_000;
const RELEASE_MS: u64 = 10_000;
/// How far a key's minting may lie ahead of this VM's clock, in milliseconds.
const MINTED_AHEAD_MS: u64 = 300_000;
/// Logged keys inside their windows, over all daemons; each is kept in every daemon's memory.
const MAX_HELD_KEYS: usize = 200_000;
const SETTLE_MS: u64 = 50;
const CONNECT_FAILED_MS: u64 = 500;

/// Runs a call once, or joins its run wherever that is.
pub async fn call_once(context: &Arc<DaemonContext>, call: KeyedCall) -> CallOutcome {
    let outcome = run_or_join(context, &call).await;
    call.told(outcome)
}

async fn run_or_join(context: &Arc<DaemonContext>, call: &KeyedCall) -> CallOutcome {
    let fingerprint = call.fingerprint();
    let deadline = call.deadline;
    match context.calls.enter(&call.key, fingerprint, call.keep_until()) {
        CallEntry::Mismatch => mismatch(),
        CallEntry::Full => call.refused(RefusalKind::OVERLOADED, "too many keys", COME_BACK_MS),
        CallEntry::Known(receiver) => {
            log_event!(
                info,
                events::CALL_ATTACHED,
                request = call.request,
                key = call.key,
                holder = context.me
            );
            wait_or_unknown(wait_outcome(receiver, deadline).await)
        }
        CallEntry::New(run) => {
            let Some(Ok(receiver)) = context.calls.find(&call.key, fingerprint) else {
                return CallOutcome::unknown("the run is not known here any more", COME_BACK_MS);
            };
            // A task of its own: the caller's connection may go, and a run that was dropped half
            // way would lose its outcome for all repeats.
            tokio::spawn(run_new(Arc::clone(context), call.clone(), run));
            wait_or_unknown(wait_outcome(receiver, deadline).await)
        }
    }
}

async fn run_new(context: Arc<DaemonContext>, call: KeyedCall, mut run: CallRun) {
    let work = context.work.enter();
    let held = match call.key.key {
        CallerKey::Pinned(pinned) => hold_pinned(&context, &call, pinned).await,
        CallerKey::Logged(_) => hold_logged(&context, &call).await,
    };
    let outcome = match held {
        Ok(hold) => dispatch_held(&context, &call, hold, &mut run).await,
        Err(outcome) => outcome,
    };
    if run.may_have_run() {
        log_event!(
            info,
            events::CALL_FINISHED,
            request = call.request,
            key = call.key,
            outcome = outcome.name()
        );
    } else {
        log_event!(
            info,
            events::CALL_NOT_SENT,
            request = call.request,
            key = call.key,
            outcome = outcome.name(),
            reason = outcome.reason()
        );
    }
    context.calls.settle(run, outcome);
    drop(work);
}

/// Holds a key that this incarnation minted; a call with another's key is passed on to that one.
async fn hold_pinned(
    context: &Arc<DaemonContext>,
    call: &KeyedCall,
    pinned: PinnedKey,
) -> Result<KeyHold, CallOutcome> {
    let Some(hold) = KeyHold::of_minted(pinned, context.me) else {
        return Err(forward_pinned(context, call, pinned).await);
    };
    let now = Moment::now();
    if pinned.issued > now || pinned.window_end().passed(now) {
        let reason = "idempotency-key: its window has ended";
        return Err(call.refused(RefusalKind::BAD_REQUEST, reason, COME_BACK_MS));
    }
    match readiness_refusal(context) {
        Some(refusal) => Err(call.refused_for(refusal)),
        None => Ok(hold),
    }
}

/// Holds a logged key by an intent; else the outcome, of the run elsewhere or of a refusal.
async fn hold_logged(
    context: &Arc<DaemonContext>,
    call: &KeyedCall,
) -> Result<KeyHold, CallOutcome> {
    let issued = call.key.key.issued_wall().unwrap_or_default();
    if issued.0 > WallTime::now().0 + MINTED_AHEAD_MS {
        let reason = "idempotency-key: its timestamp lies ahead of the clock";
        return Err(call.refused(RefusalKind::BAD_REQUEST, reason, COME_BACK_MS));
    }
    loop {
        let held = context.state.read(|state| {
            let held = state.intents().holder(&call.key)?;
            Some(state.successor_of(held.holder))
        });
        if let Some(holder) = held {
            return Err(attach(context, call, holder).await);
        }
        if let Some(refusal) = readiness_refusal(context) {
            return Err(call.refused_for(refusal));
        }
        if context.state.read(|state| state.intents().len()) >= MAX_HELD_KEYS {
            let reason = "too many logged keys are inside their windows; use a pinned key";
            let outcome = call.refused(RefusalKind::OVERLOADED, reason, COME_BACK_MS);
            return Err(outcome);
        }
        if open_instances(context, &call.service).is_empty() {
            let reason = "no instance of the service takes work";
            let after_ms = come_back_ms(context, &call.service);
            let outcome = call.refused(RefusalKind::NO_UPSTREAM, reason, after_ms);
            return Err(outcome);
        }
        let intent = IntentEntry { id: RecordId::random(), key: call.key.clone() };
        log_event!(
            info,
            events::CALL_INTENT,
            request = call.request,
            key = call.key,
            daemon = context.me,
            intent = intent.id
        );
        let limit = Deadline::in_millis(INTENT_MS).earlier(call.deadline);
        let appending = context.appends.append(AppendBody::Intent(intent.clone()), limit);
        // Where the log is out, peers may tell in their state that another daemon holds the key.
        let appended = tokio::select! {
            biased;
            appended = appending => appended,
            holder = context.state.wait_for(|state| other_holder(state, context.me, &call.key)) => {
                give_up(context, call, intent, "another daemon holds the key");
                return Err(attach(context, call, holder).await);
            }
        };
        if let Ok(AppendVerdict::Intent(verdict)) = &appended
            && let Some(hold) = KeyHold::of_intent(verdict, &intent)
        {
            return Ok(hold);
        }
        match appended {
            Ok(AppendVerdict::Intent(IntentVerdict::Lost { holder })) if holder == context.me => {
                // An earlier intent of this daemon's, given up and about to be released.
                if call.deadline.passed(Moment::now()) {
                    return Err(CallOutcome::unknown("no answer yet", COME_BACK_MS));
                }
                sleep(Duration::from_millis(SETTLE_MS)).await;
            }
            Ok(AppendVerdict::Intent(IntentVerdict::Lost { holder })) => {
                let holder = context.state.read(|state| state.successor_of(holder));
                return Err(attach(context, call, holder).await);
            }
            Ok(AppendVerdict::Intent(IntentVerdict::Expired)) => {
                let reason = "idempotency-key: its window has ended";
                let outcome = call.refused(RefusalKind::BAD_REQUEST, reason, COME_BACK_MS);
                return Err(outcome);
            }
            Ok(_) | Err(_) => {
                let reason = "the log does not answer";
                give_up(context, call, intent, reason);
                let outcome = call.refused(RefusalKind::LOG_OUT, reason, COME_BACK_MS);
                return Err(outcome);
            }
        }
    }
}

/// The daemon that has the outcome of a key held by another incarnation than this one.
fn other_holder(state: &FleetState, me: Incarnation, key: &CallKey) -> Option<Incarnation> {
    let held = state.intents().holder(key)?;
    (held.holder != me).then(|| state.successor_of(held.holder))
}

/// Gives an intent up before anything was sent. Whether or not its append takes effect later, this
/// incarnation never dispatches it; the release lets a later attempt run.
fn give_up(context: &DaemonContext, call: &KeyedCall, intent: IntentEntry, reason: &str) {
    log_event!(
        info,
        events::CALL_GIVEN_UP,
        request = call.request,
        key = call.key,
        intent = intent.id,
        reason = reason
    );
    context.appends.append_later(AppendBody::Release(intent), Deadline::in_millis(RELEASE_MS));
}

async fn dispatch_held(
    context: &Arc<DaemonContext>,
    call: &KeyedCall,
    hold: KeyHold,
    run: &mut CallRun,
) -> CallOutcome {
    let outcome = dispatch(context, call, &hold, run).await;
    if let Some(intent) = run.release(hold) {
        give_up(context, call, intent, outcome.reason());
    }
    outcome
}

/// Instances of a service that may get work now.
pub fn open_instances(
    context: &DaemonContext,
    service: &ServiceName,
) -> Vec<(UpstreamId, SocketAddr)> {
    let mut instances = service_instances(context, service);
    instances.retain(|(id, _)| closed(context, id).is_none());
    instances
}

/// When to come back to a service none of whose instances may get work now, in milliseconds.
pub fn come_back_ms(context: &DaemonContext, service: &ServiceName) -> u64 {
    let instances = service_instances(context, service);
    reopens_in_ms(context, instances.iter().map(|(id, _)| id)).unwrap_or(COME_BACK_MS)
}

/// Instances of a service that take work.
fn service_instances(
    context: &DaemonContext,
    service: &ServiceName,
) -> Vec<(UpstreamId, SocketAddr)> {
    let view = context.state.view();
    let leaving = locked(&context.leaving);
    let reports = locked(&context.reports);
    view.upstreams
        .iter()
        .filter(|(_, spec)| spec.kind == UpstreamKind::Service)
        .filter(|(_, spec)| spec.service.as_ref() == Some(service) && !spec.draining)
        .filter(|(id, _)| !leaving.is_leaving(id) && reports.is_fresh(id))
        .map(|(id, spec)| (id.clone(), spec.address))
        .collect()
}

fn service_call(call: &KeyedCall) -> ServiceCall {
    ServiceCall {
        method: call.method.clone(),
        path: call.path.clone(),
        content_type: call.content_type.clone(),
        body: call.body.clone(),
        customer: call.key.customer.to_string().into(),
        key: call.key.key.to_string().into(),
    }
}

/// Sends the call to one instance. Another is tried only while no connection could be opened;
/// after the first byte there is no second send.
async fn dispatch(
    context: &Arc<DaemonContext>,
    call: &KeyedCall,
    hold: &KeyHold,
    run: &mut CallRun,
) -> CallOutcome {
    let digest = call.digest();
    if let Some(refusal) = stop_refusal(context, digest) {
        return call.refused_for(refusal);
    }
    let mut instances = open_instances(context, &call.service);
    if instances.is_empty() {
        let reason = "no instance of the service takes work";
        let after_ms = come_back_ms(context, &call.service);
        return call.refused(RefusalKind::NO_UPSTREAM, reason, after_ms);
    }
    while !instances.is_empty() {
        // A daemon that was frozen between its intent and here must not start what its caller has
        // long given up; the deadline is on a clock that counted the time.
        if call.deadline.passed(Moment::now()) {
            return call.refused(RefusalKind::OVERLOADED, "too late to start", COME_BACK_MS);
        }
        let index = usize::try_from(rand::random::<u32>()).unwrap_or(0) % instances.len();
        let (upstream, address) = instances.swap_remove(index);
        if !pass(context, &upstream) {
            continue;
        }
        let Some(permit) = run.permit(hold) else { break };
        log_event!(
            info,
            events::CALL_DISPATCHED,
            request = call.request,
            key = call.key,
            daemon = context.me,
            service = call.service,
            choice = upstream,
            others = instances.len(),
            permit = hold,
            run = permit.run(),
            reason = "random",
        );
        let client = ServiceClient { address };
        let sent = Moment::now();
        let called = client.call(permit, &service_call(call), Deadline::in_millis(RUN_MS)).await;
        match called {
            Ok(answer) => {
                note_announcements(context, &upstream, &answer.announcements, sent);
                note_answer(context, digest);
                return CallOutcome::Done {
                    status: answer.status.as_u16(),
                    content_type: answer.content_type,
                    body: answer.body,
                };
            }
            Err(SendError { error, unused: Some(permit) }) => {
                run.take_back(permit);
                if let HttpError::Malformed { .. } = error {
                    let refusal = Refusal::final_one(RefusalKind::BAD_REQUEST, error.to_string());
                    return CallOutcome::refused(call.attempt, refusal);
                }
            }
            Err(SendError { error, unused: None }) => {
                if let HttpError::Broken { .. } = error {
                    note_interrupted(context, &upstream, digest);
                }
                return CallOutcome::failed(error.to_string());
            }
        }
    }
    if run.may_have_run() {
        return CallOutcome::failed("no further send is permitted".to_owned());
    }
    let reason = "no instance of the service can be reached";
    call.refused(RefusalKind::NO_UPSTREAM, reason, CONNECT_FAILED_MS)
}
