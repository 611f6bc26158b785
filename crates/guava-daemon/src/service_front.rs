//! Calls of plain services.

use crate::announcement_handler::{note_announcements, pass};
use crate::call_dispatch::{call_once, come_back_ms, open_instances};
use crate::caller_request::{
    KEY_HEADER, SharedContext, bad_request, caller_info, drain_body, finish, header,
    new_request_id, read_body,
};
use crate::completion::{CallerInfo, check_readiness};
use crate::context::DaemonContext;
use crate::crash_watch::{note_answer, note_interrupted, stop_refusal};
use crate::events;
use crate::keyed_call::{KeyedCall, call_digest};
use crate::lock::locked;
use crate::outcome::{CallOutcome, Refusal, RefusalKind};
use axum::body::Body;
use axum::extract::{Path, Request, State};
use axum::http::Response;
use guava_log::log_event;
use guava_outside::{AttemptLedger, HttpError, ServiceCall, ServiceClient};
use guava_types::{CallKey, CallerKey, Moment, ServiceName};
use std::sync::Arc;

const SERVICE_TRIES: usize = 3;

/// Routes a call to an instance of the service, once or as often as it may be.
pub async fn call_service(
    State(context): SharedContext,
    Path((service, path)): Path<(String, String)>,
    incoming: Request,
) -> Response<Body> {
    let request = new_request_id();
    let outcome = route_call(&context, &request, &service, &path, incoming).await;
    context.metrics.count(match &outcome {
        CallOutcome::Done { .. } => "call.done",
        CallOutcome::NotRun(_) => "call.not_run",
        CallOutcome::Failed(_) => "call.failed",
        CallOutcome::Unknown(_) => "call.unknown",
    });
    finish(&context, &request, outcome)
}

async fn route_call(
    context: &Arc<DaemonContext>,
    request: &str,
    service: &str,
    path: &str,
    incoming: Request,
) -> CallOutcome {
    let (parts, body) = incoming.into_parts();
    let caller = match caller_info(context, request, &parts.headers) {
        Ok(caller) => caller,
        Err(outcome) => {
            drain_body(body).await;
            return outcome;
        }
    };
    let name = service.parse::<ServiceName>().ok();
    let spec = name.and_then(|name| {
        context.state.read(|state| state.service(&name).cloned()).map(|spec| (name, spec))
    });
    let Some((service, spec)) = spec else {
        drain_body(body).await;
        let reason = format!("service: no service {service:?} is configured");
        let refusal = Refusal::final_one(RefusalKind::NO_SUCH, reason);
        return CallOutcome::refused(caller.attempt, refusal);
    };
    let body = match read_body(body, parts.extensions.get(), caller.deadline).await {
        Ok(body) => body,
        Err(fault) => return CallOutcome::refused(caller.attempt, fault.refusal()),
    };
    let query = parts.uri.query().map_or(String::new(), |query| format!("?{query}"));
    let content_type = header(&parts.headers, "content-type").unwrap_or("application/octet-stream");
    let path = format!("/{path}{query}");
    if spec.is_idempotent(parts.method.as_str(), &path) {
        let call = ServiceCall {
            method: parts.method,
            path: path.into(),
            content_type: content_type.into(),
            body: body.bytes.clone(),
            customer: caller.customer.to_string().into(),
            key: header(&parts.headers, KEY_HEADER).unwrap_or("").into(),
        };
        return call_idempotent(context, &caller, &service, call).await;
    }
    let key = match header(&parts.headers, KEY_HEADER).map(str::parse::<CallerKey>) {
        Some(Ok(key)) => key,
        Some(Err(error)) => {
            return bad_request(caller.attempt, format!("{KEY_HEADER}: {error}"));
        }
        None => {
            let reason = format!("{KEY_HEADER}: a non-idempotent call needs one");
            return bad_request(caller.attempt, reason);
        }
    };
    let call = KeyedCall {
        request: request.into(),
        service,
        key: CallKey { customer: caller.customer, key },
        attempt: caller.attempt,
        deadline: caller.deadline,
        method: parts.method,
        path: path.into(),
        content_type: content_type.into(),
        body: body.bytes.clone(),
    };
    call_once(context, call).await
}

async fn call_idempotent(
    context: &Arc<DaemonContext>,
    caller: &CallerInfo,
    service: &ServiceName,
    call: ServiceCall,
) -> CallOutcome {
    let _work = context.work.enter();
    if let Err(outcome) = check_readiness(context, caller) {
        return outcome;
    }
    let digest = call_digest(&caller.customer, service, &call.path, &call.body);
    locked(&context.retries).earn();
    let mut instances = open_instances(context, service);
    let mut ledger = AttemptLedger::new(SERVICE_TRIES);
    let mut last = String::from("no instance of the service takes work");
    for attempt in 0..SERVICE_TRIES {
        if let Some(refusal) = stop_refusal(context, digest) {
            if ledger.may_have_run() {
                break;
            }
            return CallOutcome::refused(caller.attempt, refusal);
        }
        if instances.is_empty() || (attempt > 0 && !locked(&context.retries).spend()) {
            break;
        }
        let index = rand::random::<u32>() as usize % instances.len();
        let (upstream, address) = instances.swap_remove(index);
        if !pass(context, &upstream) {
            continue;
        }
        let Some(permit) = ledger.permit() else { break };
        log_event!(
            info,
            events::CALL_DISPATCHED,
            request = caller.request,
            key = "",
            daemon = context.me,
            service = service,
            choice = upstream,
            others = instances.len(),
            permit = "repeatable",
            run = permit.run(),
            reason = "random",
        );
        let sent = Moment::now();
        match (ServiceClient { address }).call(permit, &call, caller.deadline).await {
            Ok(answer) => {
                note_announcements(context, &upstream, &answer.announcements, sent);
                note_answer(context, digest);
                return CallOutcome::Done {
                    status: answer.status.as_u16(),
                    content_type: answer.content_type,
                    body: answer.body,
                };
            }
            Err(failed) => {
                if let HttpError::Broken { .. } = failed.error {
                    note_interrupted(context, &upstream, digest);
                }
                last = failed.error.to_string();
                failed.unused.into_iter().for_each(|permit| ledger.take_back(permit));
            }
        }
    }
    if ledger.may_have_run() {
        return CallOutcome::failed(last);
    }
    let after_ms = come_back_ms(context, service);
    let refusal = Refusal::later(RefusalKind::NO_UPSTREAM, last, after_ms);
    CallOutcome::refused(caller.attempt, refusal)
}
