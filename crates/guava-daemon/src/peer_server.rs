//! The daemons' calls among each other, answered.

use crate::cache_messages::{answer_adopt, answer_lookup, answer_note};
use crate::call_answer::{answer_attach, answer_pinned};
use crate::context::DaemonContext;
use crate::gossip_task::answer_exchange;
use crate::outcome::CallOutcome;
use crate::peer_links::MAX_MESSAGE_BYTES;
use guava_schema::peers::peers_server::{Peers, PeersServer};
use guava_schema::peers::{
    AdoptReply, AdoptRequest, AttachRequest, CallReply, FetchReply, FetchRequest, Gossip,
    HandOverReply, HandOverRequest, LookupReply, LookupRequest, NoteReply, NoteRequest,
    PinnedRequest,
};
use guava_state::state_text;
use guava_types::{CallKey, CallerKey, Deadline, Offset, WallTime};
use std::sync::Arc;
use tonic::{Request, Response, Status};

/// How long an outcome handed over is kept if its key does not say, in milliseconds.
const ADOPTED_KEPT_MS: u64 = 3_600_000;

/// The server of one daemon.
pub struct PeerServer {
    context: Arc<DaemonContext>,
}

/// The service to be mounted on a listener.
pub fn peer_service(context: Arc<DaemonContext>) -> PeersServer<PeerServer> {
    PeersServer::new(PeerServer { context })
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES)
}

fn keep_until(key: &CallKey) -> Deadline {
    match key.key.window_end_wall() {
        Some(end) => Deadline::in_millis(end.0.saturating_sub(WallTime::now().0)),
        None => Deadline::in_millis(ADOPTED_KEPT_MS),
    }
}

#[tonic::async_trait]
impl Peers for PeerServer {
    async fn exchange(&self, request: Request<Gossip>) -> Result<Response<Gossip>, Status> {
        Ok(Response::new(answer_exchange(&self.context, request.into_inner())))
    }

    async fn fetch_state(
        &self,
        request: Request<FetchRequest>,
    ) -> Result<Response<FetchReply>, Status> {
        let newer_than = Offset(request.into_inner().newer_than);
        if self.context.state.next() <= newer_than {
            return Ok(Response::new(FetchReply::default()));
        }
        let state = self.context.state.read(state_text);
        let state = state.map_err(|error| Status::internal(error.to_string()))?;
        let reply = FetchReply { digest: state.digest.into(), state: state.text.into() };
        Ok(Response::new(reply))
    }

    async fn attach(&self, request: Request<AttachRequest>) -> Result<Response<CallReply>, Status> {
        Ok(Response::new(answer_attach(&self.context, request.into_inner()).await))
    }

    async fn run_pinned(
        &self,
        request: Request<PinnedRequest>,
    ) -> Result<Response<CallReply>, Status> {
        Ok(Response::new(answer_pinned(&self.context, request.into_inner()).await))
    }

    async fn hand_over(
        &self,
        request: Request<HandOverRequest>,
    ) -> Result<Response<HandOverReply>, Status> {
        for kept in request.into_inner().outcomes {
            let fingerprint = kept.fingerprint.as_slice().try_into();
            let (Ok(key), Ok(fingerprint), Some(reply)) =
                (kept.key.parse::<CallKey>(), fingerprint, kept.reply)
            else {
                return Err(Status::invalid_argument("outcomes: one does not parse"));
            };
            let outcome = CallOutcome::from_reply(reply);
            let keep = match key.key {
                CallerKey::Logged(_) => keep_until(&key),
                CallerKey::Pinned(_) => Deadline::in_millis(ADOPTED_KEPT_MS),
            };
            self.context.calls.adopt(key, fingerprint, outcome, keep);
        }
        let successor = self.context.me.0.to_be_bytes().to_vec();
        Ok(Response::new(HandOverReply { successor }))
    }

    async fn lookup(
        &self,
        request: Request<LookupRequest>,
    ) -> Result<Response<LookupReply>, Status> {
        Ok(Response::new(answer_lookup(&self.context, request.get_ref())))
    }

    async fn note(&self, request: Request<NoteRequest>) -> Result<Response<NoteReply>, Status> {
        answer_note(&self.context, request.into_inner());
        Ok(Response::new(NoteReply {}))
    }

    async fn adopt(&self, request: Request<AdoptRequest>) -> Result<Response<AdoptReply>, Status> {
        answer_adopt(&self.context, request.into_inner());
        Ok(Response::new(AdoptReply {}))
    }
}
