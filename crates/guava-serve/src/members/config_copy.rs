//! Copies the configuration from a peer.
//!
//! A configuration takes some hundred kilobytes. If each daemon read each new one from the platform's
//! store, all of them would wait for its link longer than a configuration may take to be in force. So
//! the reader reads it; the others copy it from the daemon that told them of the change, together with
//! what else was read with it. Both sides prove that they know the daemons' key.

use crate::members::member_descriptor::MemberDescriptor;
use crate::members::peer_copy::{CopyError, InvalidSnafu, NoPeerSnafu, call_peer, first_copy};
use crate::members::peer_exchange::compose_attached_reads;
use crate::members::peer_message::PeerMessage;
use crate::serve_context::ServeContext;
use crate::upstreams::http_call::call_request;
use bytes::Bytes;
use guava_types::{ByteCount, Moment};
use http::header::AUTHORIZATION;
use http::{HeaderValue, Method, StatusCode};
use prost::Message;
use snafu::{OptionExt, ensure};
use std::net::SocketAddr;

/// Path under which a daemon answers with the configuration.
pub const CONFIG_PATH: &str = "/peer/config";
/// Start of the query that tells how far the asking daemon has read the operator's records.
const STATE_QUERY: &str = "state=";
/// Time for one copy, in milliseconds.
const COPY_TIMEOUT_MS: u64 = 1_500;
/// What a copy is called in errors.
const CONTENT: &str = "copy of the configuration";

/// A configuration as a peer has it.
#[derive(Debug)]
pub struct ConfigCopy {
    /// The configuration's record; `None` if the peer has read no further than this daemon.
    pub record: Option<Bytes>,
    /// What the peer knows of the operator's other records, and how far it has read them.
    pub message: PeerMessage,
}

#[derive(Clone, PartialEq, Message)]
struct WireCopy {
    #[prost(bytes = "vec", tag = "1")]
    message: Vec<u8>,
    #[prost(bytes = "bytes", optional, tag = "2")]
    record: Option<Bytes>,
}

#[derive(Clone, PartialEq, Message)]
struct WireSealed {
    #[prost(bytes = "bytes", tag = "1")]
    copy: Bytes,
    #[prost(bytes = "vec", tag = "2")]
    tag: Vec<u8>,
}

/// The answer to a peer that asks for the configuration; an error status if it does not know the
/// daemons' key, none is known here, or others are being sent copies.
pub fn compose_config(
    context: &ServeContext,
    member: &MemberDescriptor,
    query: Option<&str>,
    authorization: Option<&HeaderValue>,
    now: Moment,
) -> Result<Vec<u8>, StatusCode> {
    let key = context.peer_key.get().ok_or(StatusCode::SERVICE_UNAVAILABLE)?;
    let tag = authorization.and_then(|value| value.to_str().ok()).unwrap_or_default();
    if !key.is_call_tag(tag, CONFIG_PATH, &member.status_address()) {
        return Err(StatusCode::UNAUTHORIZED);
    }
    let record = context.config_record.borrow().clone().ok_or(StatusCode::SERVICE_UNAVAILABLE)?;
    let marks = compose_attached_reads(context, member, now).pop();
    let message = marks.filter(|message| message.operator.is_some());
    let message = message.ok_or(StatusCode::SERVICE_UNAVAILABLE)?;
    // A peer that has read as far needs no record.
    let known = query.and_then(|query| query.strip_prefix(STATE_QUERY)?.parse().ok());
    let state = message.operator.map(|mark| mark.state);
    let record = (known.is_none() || state != known).then_some(record);
    if let Some(record) = &record {
        let mut budget = context.config_copies.borrow_mut();
        if !budget.is_open(now) {
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        budget.take(ByteCount(record.len() as u64));
    }
    let copy = WireCopy { message: message.encode(now), record }.encode_to_vec();
    let tag = key.answer_tag(tag, &copy).to_vec();
    Ok(WireSealed { copy: copy.into(), tag }.encode_to_vec())
}

/// Copies the configuration from the first of these peers that has it.
pub async fn copy_config(
    context: &ServeContext,
    sources: Vec<SocketAddr>,
) -> Result<ConfigCopy, CopyError> {
    first_copy(context, sources, async |peer| copy_from(context, peer).await).await
}

async fn copy_from(context: &ServeContext, peer: SocketAddr) -> Result<ConfigCopy, CopyError> {
    let key = context.peer_key.get().context(NoPeerSnafu)?;
    let call_tag = key.call_tag(CONFIG_PATH, &peer);
    let known = context.reads.borrow().operator.own().map(|own| own.state);
    let query = known.map(|state| format!("?{STATE_QUERY}{state}")).unwrap_or_default();
    let target = format!("{CONFIG_PATH}{query}");
    let mut request = call_request(Method::GET, peer, &target, Vec::new());
    let header = call_tag.parse().ok().context(NoPeerSnafu)?;
    request.headers_mut().insert(AUTHORIZATION, header);
    let asked = Moment::now();
    let body = call_peer(context, peer, request, COPY_TIMEOUT_MS).await?;
    let sealed = WireSealed::decode(body).ok().context(InvalidSnafu { peer, content: CONTENT })?;
    let is_sealed = key.answer_tag(&call_tag, &sealed.copy)[..] == sealed.tag[..];
    ensure!(is_sealed, InvalidSnafu { peer, content: CONTENT });
    let copy =
        WireCopy::decode(sealed.copy).ok().context(InvalidSnafu { peer, content: CONTENT })?;
    let message = PeerMessage::decode_waiting(&copy.message, asked, Moment::now());
    Ok(ConfigCopy {
        record: copy.record,
        message: message.context(InvalidSnafu { peer, content: CONTENT })?,
    })
}
