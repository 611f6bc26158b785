//! Calls whose run is another daemon's: forwarded to it, or answered for it.

use crate::call_dispatch::{COME_BACK_MS, KeyedCall, call_once, mismatch, wait_or_unknown};
use crate::call_table::{CallFingerprint, wait_outcome};
use crate::context::{DaemonContext, locked};
use crate::events;
use crate::outcome::{CallOutcome, RefusalKind};
use guava_log::log_event;
use guava_schema::peers::{AttachRequest, CallReply, PinnedRequest};
use guava_types::{CallKey, CallerKey, Deadline, Incarnation, Moment, PinnedKey};
use std::net::SocketAddr;
use std::sync::Arc;

/// Wait for another daemon's answer beyond what the caller has left, in milliseconds.
const FORWARD_SLACK_MS: u64 = 200;

/// Passes a call on to the incarnation that minted its key.
pub async fn forward_pinned(
    context: &Arc<DaemonContext>,
    call: &KeyedCall,
    pinned: PinnedKey,
) -> CallOutcome {
    let holder = context.state.read(|state| state.successor_of(pinned.incarnation));
    let Some(address) = peer_address(context, holder) else {
        let reason = "the daemon that minted this key is gone";
        return call.refused(RefusalKind::NO_UPSTREAM, reason, COME_BACK_MS);
    };
    let left = call.deadline.millis_left(Moment::now());
    let request = PinnedRequest {
        key: call.key.to_string(),
        service: call.service.to_string(),
        method: call.method.to_string(),
        path: call.path.to_string(),
        content_type: call.content_type.to_string(),
        body: call.body.to_vec(),
        time_left_ms: u32::try_from(left).unwrap_or(u32::MAX),
        attempt: call.attempt.unwrap_or(0),
    };
    log_event!(info, events::CALL_ATTACHED, request = call.request, holder = holder);
    match context.links.run_pinned(address, request, left + FORWARD_SLACK_MS).await {
        Ok(reply) => CallOutcome::from_reply(reply),
        Err(error) if error.may_have_run() => {
            CallOutcome::unknown("the daemon that holds this key does not answer", COME_BACK_MS)
        }
        Err(_) => {
            let reason = "the daemon that holds this key can't be reached";
            call.refused(RefusalKind::NO_UPSTREAM, reason, COME_BACK_MS)
        }
    }
}

/// Where an incarnation's daemon is reached, if it is still known.
pub fn peer_address(context: &DaemonContext, incarnation: Incarnation) -> Option<SocketAddr> {
    let by_gossip =
        locked(&context.peer_table).get(incarnation).map(|entry| entry.identity.peer_address);
    by_gossip.or_else(|| {
        context
            .state
            .read(|state| state.members().get(&incarnation).map(|member| member.peer_address))
    })
}

/// Asks the incarnation that holds a key for the outcome of its run.
pub async fn attach(
    context: &Arc<DaemonContext>,
    call: &KeyedCall,
    holder: Incarnation,
) -> CallOutcome {
    log_event!(info, events::CALL_ATTACHED, request = call.request, holder = holder);
    let gone = "the daemon that held this key is gone; whether it ran is not known";
    if holder == context.me {
        return CallOutcome::unknown("the outcome is no longer kept", COME_BACK_MS);
    }
    let Some(address) = peer_address(context, holder) else {
        return CallOutcome::unknown(gone, COME_BACK_MS);
    };
    let left = call.deadline.millis_left(Moment::now());
    let request = AttachRequest {
        key: call.key.to_string(),
        fingerprint: call.fingerprint().to_vec(),
        time_left_ms: u32::try_from(left).unwrap_or(u32::MAX),
    };
    match context.links.attach(address, request, left + FORWARD_SLACK_MS).await {
        Ok(reply) => CallOutcome::from_reply(reply),
        Err(_) => CallOutcome::unknown(gone, COME_BACK_MS),
    }
}

/// Answers a peer that asks for the outcome of a call held here.
pub async fn answer_attach(context: &DaemonContext, request: AttachRequest) -> CallReply {
    let deadline = Deadline::in_millis(u64::from(request.time_left_ms));
    let key = request.key.parse::<CallKey>();
    let fingerprint = CallFingerprint::try_from(request.fingerprint.as_slice());
    let (Ok(key), Ok(fingerprint)) = (key, fingerprint) else {
        return CallOutcome::unknown("the question does not parse", COME_BACK_MS).to_reply();
    };
    let outcome = match context.calls.find(&key, fingerprint) {
        Some(Ok(receiver)) => wait_or_unknown(wait_outcome(receiver, deadline).await),
        Some(Err(())) => mismatch(),
        None => CallOutcome::unknown("the outcome is not kept here", COME_BACK_MS),
    };
    outcome.to_reply()
}

fn pinned_call(request: PinnedRequest) -> Option<KeyedCall> {
    Some(KeyedCall {
        request: "forwarded".into(),
        service: request.service.parse().ok()?,
        key: request.key.parse().ok()?,
        attempt: Some(request.attempt).filter(|attempt| *attempt > 0),
        deadline: Deadline::in_millis(u64::from(request.time_left_ms)),
        method: request.method.parse().ok()?,
        path: request.path.into(),
        content_type: request.content_type.into(),
        body: request.body.into(),
    })
}

/// Runs a call for a peer, if its key was minted here or handed over to here.
pub async fn answer_pinned(context: &Arc<DaemonContext>, request: PinnedRequest) -> CallReply {
    let Some(call) = pinned_call(request) else {
        return CallOutcome::unknown("the call does not parse", COME_BACK_MS).to_reply();
    };
    let is_own = matches!(
        call.key.key,
        CallerKey::Pinned(pinned) if pinned.incarnation == context.me
    );
    if is_own {
        return call_once(context, call).await.to_reply();
    }
    let fingerprint = call.fingerprint();
    let outcome = match context.calls.find(&call.key, fingerprint) {
        Some(Ok(receiver)) => wait_or_unknown(wait_outcome(receiver, call.deadline).await),
        Some(Err(())) => mismatch(),
        None => {
            let reason = "the daemon that minted this key is gone";
            call.refused(RefusalKind::NO_UPSTREAM, reason, COME_BACK_MS)
        }
    };
    outcome.to_reply()
}
