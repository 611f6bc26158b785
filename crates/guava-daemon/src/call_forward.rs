//! Calls whose run is another daemon's: forwarded to it, or answered for it.

use crate::context::DaemonContext;
use crate::events;
use crate::keyed_call::{COME_BACK_MS, KeyedCall};
use crate::lock::locked;
use crate::outcome::{CallOutcome, RefusalKind};
use guava_log::log_event;
use guava_schema::peers::{AttachRequest, PinnedRequest};
use guava_types::{Incarnation, Moment, PinnedKey};
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
    log_event!(
        info,
        events::CALL_ATTACHED,
        request = call.request,
        key = call.key,
        holder = holder
    );
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
    log_event!(
        info,
        events::CALL_ATTACHED,
        request = call.request,
        key = call.key,
        holder = holder
    );
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
