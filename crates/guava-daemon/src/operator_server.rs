//! The operators' calls, answered by any daemon.

use crate::append_ring::{AppendBody, AppendError, AppendVerdict};
use crate::context::DaemonContext;
use crate::lock::locked;
use crate::object_codec::{message_of, object_of};
use crate::stream_id::token_hash;
use guava_schema::operators::change_reply::Verdict;
use guava_schema::operators::operators_server::{Operators, OperatorsServer};
use guava_schema::operators::{
    ChangeReply, ChangeRequest, DaemonStatus, ExplainReply, ExplainRequest, GetRequest,
    HistoryEntry, HistoryReply, HistoryRequest, LeaseStatus, ListReply, ListRequest, ObjectReply,
    StatusReply, StatusRequest, UpstreamStatus,
};
use guava_state::{
    ChangeVerdict, ConfigObject, FreshnessVerdict, LogRecord, ObjectKey, RecordBody, StoredObject,
    UpstreamKind, UpstreamSpec,
};
use guava_types::{Deadline, Incarnation, Moment, Offset, RecordId, UpstreamId, WallTime};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;
use tonic::service::Interceptor;
use tonic::service::interceptor::InterceptedService;
use tonic::{Request, Response, Status};

const CHANGE_MS: u64 = 10_000;
const MAX_WAIT_MS: u64 = 60_000;
const WEIGHTS_MS: u64 = 2_000;
const RECHECK_MS: u64 = 50;
const MAX_OPERATOR_BYTES: usize = 128;

/// The server of one daemon.
pub struct OperatorServer {
    context: Arc<DaemonContext>,
}

/// Refuses calls without the operators' token.
#[derive(Clone)]
pub struct TokenCheck {
    expected: Box<str>,
}

impl Interceptor for TokenCheck {
    fn call(&mut self, request: Request<()>) -> Result<Request<()>, Status> {
        let token = request
            .metadata()
            .get("authorization")
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.strip_prefix("Bearer "))
            .unwrap_or("");
        if token_hash(token) == *self.expected {
            return Ok(request);
        }
        Err(Status::unauthenticated("authorization: not the operators' token"))
    }
}

/// The service to be mounted on a listener.
pub fn operator_service(
    context: Arc<DaemonContext>,
) -> InterceptedService<OperatorsServer<OperatorServer>, TokenCheck> {
    let expected = context.settings.operator_token_hash.clone();
    OperatorsServer::with_interceptor(OperatorServer { context }, TokenCheck { expected })
}

fn invalid(field: &str, reason: impl std::fmt::Display) -> Status {
    Status::invalid_argument(format!("{field}: {reason}"))
}

fn refused(reason: &str) -> ChangeReply {
    ChangeReply {
        verdict: Verdict::Refused.into(),
        reason: reason.into(),
        ..ChangeReply::default()
    }
}

fn parse_change(request: &ChangeRequest) -> Result<(RecordId, guava_state::ChangeRequest), Status> {
    let id = request.change_id.parse().map_err(|error| invalid("change_id", error))?;
    let object: ObjectKey = request.object.parse().map_err(|error| invalid("object", error))?;
    if request.operator.is_empty() || request.operator.len() > MAX_OPERATOR_BYTES {
        return Err(invalid("operator", "expected 1 to 128 bytes"));
    }
    let value = request.value.clone().map(object_of).transpose();
    let value = value.map_err(|error| invalid("value", error))?;
    if let Some(value) = &value {
        value.check().map_err(|error| invalid("value", error))?;
        if value.kind() != object.kind {
            return Err(invalid("value", "of another kind than the object"));
        }
    }
    let change = guava_state::ChangeRequest {
        operator: request.operator.clone().into(),
        object,
        against: Offset(request.against),
        value,
    };
    Ok((id, change))
}

impl OperatorServer {
    /// A version that the weight store lacks would be ordered again and again in vain.
    async fn check_weights(&self, change: &guava_state::ChangeRequest) -> Result<(), Status> {
        let Some(ConfigObject::Model(spec)) = &change.value else { return Ok(()) };
        let Ok(model) = change.object.name.parse() else { return Ok(()) };
        let known = self.context.state.read(|state| state.model(&model).cloned());
        let is_known = |version| known.as_ref().is_some_and(|old| old.versions.contains(version));
        for version in spec.versions.iter().filter(|version| !is_known(version)) {
            let deadline = Deadline::in_millis(WEIGHTS_MS);
            let present =
                self.context.platform.weights.has_version(&model, version, deadline).await;
            match present {
                Ok(true) => {}
                Ok(false) => {
                    let reason = format!("the weight store has no {model} {version}");
                    return Err(invalid("value.versions", reason));
                }
                Err(error) => {
                    return Err(Status::unavailable(format!("weight store: {error}")));
                }
            }
        }
        Ok(())
    }

    fn reply_of(&self, verdict: ChangeVerdict) -> ChangeReply {
        match verdict {
            ChangeVerdict::Accepted { revision } => ChangeReply {
                verdict: Verdict::Accepted.into(),
                revision: revision.0,
                ..ChangeReply::default()
            },
            ChangeVerdict::Raced { current, winner } => ChangeReply {
                verdict: Verdict::Raced.into(),
                revision: current.0,
                winner: winner.into(),
                ..ChangeReply::default()
            },
            ChangeVerdict::Invalid { reason } => ChangeReply {
                verdict: Verdict::Invalid.into(),
                reason: reason.into(),
                ..ChangeReply::default()
            },
        }
    }

    /// Waits until every daemon on the roster has applied a revision, as gossip tells.
    async fn wait_in_force(&self, reply: &mut ChangeReply, wait_ms: u64) {
        let started = Moment::now();
        let deadline = Deadline::in_millis(wait_ms);
        loop {
            let (in_force, missing, is_waiting) = self.spread(Offset(reply.revision));
            let is_over = !is_waiting || deadline.passed(Moment::now());
            if in_force.len() != reply.in_force.len() {
                reply.in_force_ms = Moment::now().millis_since(started);
            }
            reply.in_force = in_force;
            reply.missing = missing;
            if is_over {
                return;
            }
            sleep(Duration::from_millis(RECHECK_MS)).await;
        }
    }

    /// Daemons that have a revision, those that are not known to, and whether any of the latter
    /// was heard lately: a dead one is not waited for.
    fn spread(&self, revision: Offset) -> (Vec<String>, Vec<String>, bool) {
        let context = &self.context;
        let members = context.state.read(|state| state.members().clone());
        let peers = locked(&context.peer_table);
        let has = |incarnation: &Incarnation| {
            *incarnation == context.me
                || peers.get(*incarnation).is_some_and(|entry| entry.next >= revision)
        };
        let name = |(_, member): (&Incarnation, &guava_state::MemberEntry)| member.name.to_string();
        let in_force = members.iter().filter(|(id, _)| has(id)).map(name).collect();
        let missing = members.iter().filter(|(id, _)| !has(id)).map(name).collect();
        let now = Moment::now();
        let is_waiting = members.keys().any(|id| !has(id) && peers.is_reachable(*id, now));
        (in_force, missing, is_waiting)
    }
}

fn object_reply(key: &ObjectKey, stored: &StoredObject) -> ObjectReply {
    ObjectReply {
        object: key.to_string(),
        revision: stored.revision.0,
        value: stored.object.as_ref().map(message_of),
    }
}

fn verdict_text(verdict: &ChangeVerdict) -> String {
    match verdict {
        ChangeVerdict::Accepted { revision } => format!("accepted at revision {revision}"),
        ChangeVerdict::Raced { current, winner } => {
            format!("raced: {winner} made revision {current} first")
        }
        ChangeVerdict::Invalid { reason } => format!("invalid: {reason}"),
    }
}

fn daemon_status(context: &DaemonContext) -> Vec<DaemonStatus> {
    let now = Moment::now();
    let settings = &context.settings;
    let mut daemons = vec![DaemonStatus {
        name: settings.name.to_string(),
        incarnation: context.me.to_string(),
        data_centre: settings.data_centre.to_string(),
        caller_address: settings.callers.advertise.to_string(),
        phase: context.phase().name().into(),
        next_offset: context.state.next().0,
        heard_ms: 0,
    }];
    let peers = locked(&context.peer_table);
    for (incarnation, entry) in peers.iter() {
        let is_reachable = peers.is_reachable(incarnation, now);
        daemons.push(DaemonStatus {
            name: entry.identity.name.to_string(),
            incarnation: incarnation.to_string(),
            data_centre: entry.identity.data_centre.to_string(),
            caller_address: entry.identity.caller_address.to_string(),
            phase: if is_reachable { entry.phase.name() } else { "silent" }.into(),
            next_offset: entry.next.0,
            heard_ms: now.millis_since(entry.made),
        });
    }
    daemons.sort_by(|left, right| left.name.cmp(&right.name));
    daemons
}

fn upstream_status(
    context: &DaemonContext,
    id: &UpstreamId,
    spec: &UpstreamSpec,
) -> UpstreamStatus {
    let now = Moment::now();
    let load = locked(&context.loads).load(id);
    let leaving = locked(&context.leaving).is_leaving(id);
    let reports = locked(&context.reports);
    let report = reports.get(id).map(|heard| heard.report.clone()).unwrap_or_default();
    let state = match (spec.draining, leaving, reports.is_fresh(id)) {
        (true, _, _) => "drained",
        (_, true, _) => "leaving",
        (_, _, false) => "silent",
        _ => "serving",
    };
    let kind = match spec.kind {
        UpstreamKind::Engine => "engine",
        UpstreamKind::Service => "service",
        UpstreamKind::Store => "store",
    };
    UpstreamStatus {
        name: id.to_string(),
        kind: kind.into(),
        address: spec.address.to_string(),
        state: state.into(),
        versions: report
            .loaded
            .iter()
            .map(|(model, version)| format!("{model}/{version}"))
            .collect(),
        queued_tokens: report.queued_tokens,
        running: report.running,
        slowness_percent: (load.slowness(now) * 100.0) as u32,
    }
}

#[tonic::async_trait]
impl Operators for OperatorServer {
    async fn change(
        &self,
        request: Request<ChangeRequest>,
    ) -> Result<Response<ChangeReply>, Status> {
        let request = request.into_inner();
        let (id, change) = parse_change(&request)?;
        // A change accepted by a daemon that only a minority can hear could stay out of force at
        // a majority that is cut from the log and, by the freshness rule, goes on serving.
        if !self.context.reaches_majority() {
            return Ok(Response::new(refused("this daemon is not in touch with a majority")));
        }
        self.check_weights(&change).await?;
        let record = LogRecord {
            id,
            author: self.context.me,
            wall: WallTime::now(),
            body: RecordBody::Change(change),
        };
        let body = AppendBody::Record(Box::new(record));
        let appended = self.context.appends.append(body, Deadline::in_millis(CHANGE_MS)).await;
        let mut reply = match appended {
            Ok(AppendVerdict::Change(verdict)) => self.reply_of(verdict),
            Err(AppendError::Full) => refused("too many appends wait; come back in a second"),
            Ok(_) | Err(AppendError::Unknown) => ChangeReply {
                verdict: Verdict::Unknown.into(),
                reason: "not read back from the log in time; repeat with the same change_id".into(),
                ..ChangeReply::default()
            },
        };
        if reply.verdict() == Verdict::Accepted {
            let wait_ms = u64::from(request.wait_ms).min(MAX_WAIT_MS);
            self.wait_in_force(&mut reply, wait_ms).await;
        }
        Ok(Response::new(reply))
    }

    async fn get(&self, request: Request<GetRequest>) -> Result<Response<ObjectReply>, Status> {
        let key: ObjectKey =
            request.into_inner().object.parse().map_err(|error| invalid("object", error))?;
        let stored = self.context.state.read(|state| state.object(&key));
        Ok(Response::new(object_reply(&key, &stored)))
    }

    async fn list(&self, request: Request<ListRequest>) -> Result<Response<ListReply>, Status> {
        let prefix = match &*request.into_inner().kind {
            "" => String::new(),
            kind => format!("{kind}/"),
        };
        let objects = self.context.state.read(|state| {
            let matching =
                state.objects().iter().filter(|(key, _)| key.to_string().starts_with(&prefix));
            matching.map(|(key, stored)| object_reply(key, stored)).collect()
        });
        Ok(Response::new(ListReply { objects }))
    }

    async fn status(
        &self,
        _request: Request<StatusRequest>,
    ) -> Result<Response<StatusReply>, Status> {
        let context = &self.context;
        let freshness = match context.freshness() {
            FreshnessVerdict::LogSeen => "log-seen",
            FreshnessVerdict::MajorityReachable => "majority-heard",
            FreshnessVerdict::Stale => "stale",
        };
        let (leases, held_keys) = context.state.read(|state| {
            let leases = state.leases().iter().map(|(name, lease)| LeaseStatus {
                name: name.to_string(),
                holder: lease.holder.to_string(),
                fencing_token: lease.token.0,
            });
            (leases.collect(), state.intents().len() as u64)
        });
        let view = context.state.view();
        let upstreams = view.upstreams.iter().map(|(id, spec)| upstream_status(context, id, spec));
        Ok(Response::new(StatusReply {
            name: context.settings.name.to_string(),
            freshness: freshness.into(),
            daemons: daemon_status(context),
            leases,
            upstreams: upstreams.collect(),
            held_keys,
        }))
    }

    async fn history(
        &self,
        request: Request<HistoryRequest>,
    ) -> Result<Response<HistoryReply>, Status> {
        let limit = match usize::try_from(request.into_inner().limit) {
            Ok(0) | Err(_) => usize::MAX,
            Ok(limit) => limit,
        };
        let entries = self.context.state.read(|state| {
            let history = state.history();
            let skip = history.len().saturating_sub(limit);
            let entries = history.iter().skip(skip).map(|entry| HistoryEntry {
                offset: entry.offset.0,
                change_id: entry.id.to_string(),
                operator: entry.operator.to_string(),
                object: entry.object.to_string(),
                verdict: verdict_text(&entry.verdict),
            });
            entries.collect()
        });
        Ok(Response::new(HistoryReply { entries }))
    }

    async fn explain(
        &self,
        request: Request<ExplainRequest>,
    ) -> Result<Response<ExplainReply>, Status> {
        let lines = self.context.decisions.lines(&request.into_inner().request);
        let lines = lines.into_iter().map(Into::into).collect();
        Ok(Response::new(ExplainReply { lines }))
    }
}
