//! Calls that other daemons forward to this one, or ask about.

use crate::call_dispatch::call_once;
use crate::call_table::{CallFingerprint, wait_outcome};
use crate::context::DaemonContext;
use crate::keyed_call::{COME_BACK_MS, KeyedCall, mismatch, wait_or_unknown};
use crate::outcome::{CallOutcome, RefusalKind};
use guava_schema::peers::{AttachRequest, CallReply, PinnedRequest};
use guava_types::{CallKey, CallerKey, Deadline};
use std::sync::Arc;

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
