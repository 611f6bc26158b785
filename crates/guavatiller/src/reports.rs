//! What the client shows.

use crate::output::{ReportTable, row};
use guava_schema::operators::change_reply::Verdict;
use guava_schema::operators::object::Value;
use guava_schema::operators::{
    ChangeReply, ExplainReply, HistoryReply, ListReply, ObjectReply, StatusReply,
};
use serde_json::json;

fn fields(reply: &ObjectReply) -> serde_json::Value {
    match reply.value.as_ref().and_then(|object| object.value.as_ref()) {
        None => json!("(none)"),
        Some(Value::Customer(customer)) => json!(format!(
            "rate={} concurrency={} keys={}",
            customer.requests_per_second,
            customer.concurrency,
            customer
                .key_hashes
                .iter()
                .map(|h| h.get(..8).unwrap_or(h))
                .collect::<Vec<_>>()
                .join(",")
        )),
        Some(Value::Service(service)) => {
            let rules = service.rules.iter().map(|rule| {
                let kind = if rule.idempotent { "idempotent" } else { "non-idempotent" };
                format!("{} {} {kind}", rule.method, rule.path)
            });
            json!(rules.collect::<Vec<_>>().join("; "))
        }
        Some(Value::Model(model)) => json!(format!(
            "current={} previous={} versions={}",
            model.current,
            model.previous,
            model.versions.join(",")
        )),
        Some(Value::Upstream(upstream)) => json!(format!(
            "{:?} {} {} fencing={} draining={} {}{} prefill={} link={} slots={}",
            upstream.kind(),
            upstream.address,
            upstream.data_centre,
            upstream.checks_fencing,
            upstream.draining,
            upstream.service,
            upstream.model,
            upstream.prefill_tokens_per_second,
            upstream.link_bytes_per_second,
            upstream.slots
        )),
        Some(Value::DataCentre(centre)) => json!(format!("drained={}", centre.drained)),
        Some(Value::Profile(profile)) => json!(format!(
            "first_token={} recompute={} link={}",
            profile.first_token, profile.recompute, profile.link
        )),
    }
}

/// Objects.
pub fn objects(replies: &[ObjectReply]) -> Vec<ReportTable> {
    let rows = replies.iter().map(|reply| {
        row(json!({ "object": reply.object, "revision": reply.revision, "value": fields(reply) }))
    });
    vec![ReportTable { name: "objects", rows: rows.collect() }]
}

/// A list.
pub fn list(reply: &ListReply) -> Vec<ReportTable> {
    objects(&reply.objects)
}

/// The outcome of a change.
pub fn change(object: &str, id: &str, reply: &ChangeReply) -> Vec<ReportTable> {
    let verdict = match reply.verdict() {
        Verdict::Accepted => "accepted",
        Verdict::Raced => "raced",
        Verdict::Invalid => "invalid",
        Verdict::Refused => "refused",
        Verdict::Unknown | Verdict::Unspecified => "unknown",
    };
    let line = json!({
        "object": object, "verdict": verdict, "revision": reply.revision,
        "winner": reply.winner, "reason": reply.reason, "in_force": reply.in_force,
        "missing": reply.missing, "in_force_ms": reply.in_force_ms, "change_id": id,
    });
    vec![ReportTable { name: "change", rows: vec![row(line)] }]
}

/// A daemon's view of the whole.
pub fn status(reply: &StatusReply) -> Vec<ReportTable> {
    let seen = json!({
        "asked": reply.name, "freshness": reply.freshness, "held_keys": reply.held_keys,
    });
    let daemons = reply.daemons.iter().map(|daemon| {
        row(json!({
            "name": daemon.name, "data_centre": daemon.data_centre, "phase": daemon.phase,
            "next_offset": daemon.next_offset, "heard_ms": daemon.heard_ms,
            "callers": daemon.caller_address, "incarnation": daemon.incarnation,
        }))
    });
    let leases = reply.leases.iter().map(|lease| {
        row(json!({
            "name": lease.name, "holder": lease.holder, "fencing_token": lease.fencing_token,
        }))
    });
    let upstreams = reply.upstreams.iter().map(|upstream| {
        row(json!({
            "name": upstream.name, "kind": upstream.kind, "state": upstream.state,
            "address": upstream.address, "versions": upstream.versions,
            "queued_tokens": upstream.queued_tokens, "running": upstream.running,
            "slowness_percent": upstream.slowness_percent,
        }))
    });
    vec![
        ReportTable { name: "seen_by", rows: vec![row(seen)] },
        ReportTable { name: "daemons", rows: daemons.collect() },
        ReportTable { name: "leases", rows: leases.collect() },
        ReportTable { name: "upstreams", rows: upstreams.collect() },
    ]
}

/// The latest changes.
pub fn history(reply: &HistoryReply) -> Vec<ReportTable> {
    let rows = reply.entries.iter().map(|entry| {
        row(json!({
            "offset": entry.offset, "operator": entry.operator, "object": entry.object,
            "verdict": entry.verdict, "change_id": entry.change_id,
        }))
    });
    vec![ReportTable { name: "history", rows: rows.collect() }]
}

/// Decision lines.
pub fn explain(reply: &ExplainReply) -> Vec<ReportTable> {
    let rows = reply.lines.iter().map(|line| row(json!({ "decision": line })));
    vec![ReportTable { name: "decisions", rows: rows.collect() }]
}
