//! Which addresses callers are told to use.

use crate::caller_request::{
    SharedContext, authenticate, bad_request, finish, new_request_id, read_body,
};
use crate::context::DaemonContext;
use crate::daemon_phase::DaemonPhase;
use crate::lock::locked;
use crate::outcome::CallOutcome;
use axum::Json;
use axum::body::Body;
use axum::extract::{Query, Request, State};
use axum::http::Response;
use axum::response::IntoResponse;
use guava_policy::prefix_chain;
use guava_types::{CustomerId, DataCentre, Deadline, ModelName, Moment};
use serde::Deserialize;
use std::net::SocketAddr;

/// Time in which the prompt must be complete, in milliseconds.
const BODY_MS: u64 = 30_000;

/// Where the caller stands.
#[derive(Deserialize)]
pub struct AddressQuery {
    data_centre: Option<DataCentre>,
}

/// The prompt that the caller is about to send.
#[derive(Deserialize)]
pub struct AffinityBody {
    model: ModelName,
    prompt: Box<str>,
}

/// The daemon that owns a prompt's cache entries.
fn owner_address(
    context: &DaemonContext,
    customer: &CustomerId,
    body: &AffinityBody,
) -> Option<SocketAddr> {
    let model = context.state.read(|state| state.model(&body.model).cloned())?;
    let chain = prefix_chain(customer, &body.model, &model.current, &body.prompt);
    let peers = locked(&context.peer_table);
    match peers.owner(context.me, chain.owner_seed(), Moment::now()) {
        Some(owner) => peers.get(owner).map(|entry| entry.identity.caller_address),
        None => Some(context.settings.callers.advertise),
    }
}

fn address_answer(
    context: &DaemonContext,
    data_centre: Option<&DataCentre>,
    owner: Option<SocketAddr>,
) -> Response<Body> {
    let mut entries: Vec<(bool, bool, u32, DataCentre, SocketAddr)> = Vec::new();
    let mut add = |centre: &DataCentre, address: SocketAddr| {
        let is_far = data_centre.is_some_and(|wanted| wanted != centre);
        entries.push((Some(address) != owner, is_far, rand::random(), centre.clone(), address));
    };
    let mut is_any_serving = false;
    {
        let peers = locked(&context.peer_table);
        let alive = peers.alive(Moment::now());
        for (_, entry) in alive.filter(|(_, entry)| entry.phase == DaemonPhase::Serving) {
            is_any_serving = true;
            add(&entry.identity.data_centre, entry.identity.caller_address);
        }
    }
    let may_serve = context.phase() == DaemonPhase::Serving && context.freshness().is_fresh();
    if may_serve && (context.told_phase() == DaemonPhase::Serving || !is_any_serving) {
        add(&context.settings.data_centre, context.settings.callers.advertise);
    }
    entries.sort_unstable();
    let addresses: Vec<_> = entries
        .into_iter()
        .map(|(_, _, _, data_centre, address)| {
            serde_json::json!({ "address": address, "data_centre": data_centre })
        })
        .collect();
    let keep_ms = context.settings.address_keep_ms;
    Json(serde_json::json!({ "addresses": addresses, "keep_ms": keep_ms })).into_response()
}

/// Answers with the nearest daemons first.
pub async fn get_address(
    State(context): SharedContext,
    Query(query): Query<AddressQuery>,
) -> Response<Body> {
    address_answer(&context, query.data_centre.as_ref(), None)
}

/// Answers with the owner of the prompt's cache entries first.
pub async fn post_address(
    State(context): SharedContext,
    Query(query): Query<AddressQuery>,
    incoming: Request,
) -> Response<Body> {
    let (parts, body) = incoming.into_parts();
    let deadline = Deadline::in_millis(BODY_MS);
    let body = match read_body(body, parts.extensions.get(), deadline).await {
        Ok(body) => body,
        Err(fault) => {
            let outcome = CallOutcome::refused(Some(1), fault.refusal());
            return finish(&context, &new_request_id(), outcome);
        }
    };
    let body: AffinityBody = match serde_json::from_slice(&body.bytes) {
        Ok(body) => body,
        Err(error) => {
            let outcome = bad_request(Some(1), format!("body: {error}"));
            return finish(&context, &new_request_id(), outcome);
        }
    };
    let customer = authenticate(&context, &parts.headers);
    let owner = customer.and_then(|customer| owner_address(&context, &customer, &body));
    address_answer(&context, query.data_centre.as_ref(), owner)
}
