//! How requests and answers look on the wire to upstreams: functions that an adapter provides.
//!
//! The request path decides; a dialect only writes decisions down and reads answers' marks.

use crate::request::accepted_request::AcceptedRequest;
use crate::upstreams::upstream_table::WeightVersion;
use bytes::Bytes;
use guava_policy::UpstreamAnnouncements;
use guava_types::UpstreamId;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::Full;
use std::net::SocketAddr;

/// What an engine is told beside the request.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineInstructions {
    /// Weights that it must have; otherwise it must not run the request.
    pub version: WeightVersion,
    /// Text under which it keeps and looks up cached parts.
    pub salt: Box<str>,
    /// For each part of the prompt the store to fetch it from.
    pub fetch: Vec<Option<SocketAddr>>,
    /// When a fetch that has not ended is thrown away, on the upstreams' clock in milliseconds.
    pub fetch_until_ms: Option<u64>,
    /// For each part of the prompt the store to save it to.
    pub save: Vec<Option<SocketAddr>>,
}

/// One send of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct SendPlan {
    /// Which start of which upstream; any other must not run it.
    pub upstream: UpstreamId,
    /// Where.
    pub address: SocketAddr,
    /// Milliseconds that the caller still waits.
    pub left_ms: u64,
    /// Rank among requests; 0 goes first.
    pub priority: u8,
    /// For an engine.
    pub engine: Option<EngineInstructions>,
    /// The event after which a stream goes on.
    pub resume_after: Option<Box<str>>,
}

/// What the head of an answer says beside its status.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerMarks {
    /// Request that it answers.
    pub request: Option<Box<str>>,
    /// Whether the upstream states that it did not run the request.
    pub is_not_run: bool,
    /// Whether it refused since it is not the upstream, or has not the weights, that was expected.
    pub is_unexpected: bool,
    /// The upstream that answers, if it says so.
    pub instance: Option<Box<str>>,
    /// Weights that the answer was, or would have been, made with.
    pub weights: Option<WeightVersion>,
    /// How long the connection may stay idle, if announced, in milliseconds.
    pub idle_limit_ms: Option<u64>,
    /// Whether the upstream closes the connection after this answer.
    pub is_last: bool,
    /// Whether the body's end can be told from a connection that broke.
    pub is_framed: bool,
    /// What the upstream says of itself.
    pub announcements: UpstreamAnnouncements,
}

/// The functions of one dialect.
#[derive(Clone, Copy)]
pub struct Dialect {
    /// Writes a request for an upstream.
    pub encode: fn(&AcceptedRequest, &SendPlan) -> Request<Full<Bytes>>,
    /// Reads the marks of an answer.
    pub marks: fn(StatusCode, &HeaderMap) -> AnswerMarks,
    /// Takes out of an answer's head what concerns only the upstream's connection.
    pub strip: fn(&mut HeaderMap),
}
