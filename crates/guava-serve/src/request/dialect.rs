//! Interface to the wire format of requests and answers, which an adapter implements.
//!
//! The request path makes all decisions; a dialect only encodes them in requests, and decodes what the
//! heads of answers state.

use crate::request::accepted_request::AcceptedRequest;
use crate::upstreams::upstream_table::WeightVersion;
use bytes::Bytes;
use guava_policy::{ReportedLoad, ReportedLoadError, UpstreamAnnouncements};
use guava_types::UpstreamId;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::Full;
use std::net::SocketAddr;

/// Instructions that a request to an engine carries.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineInstructions {
    /// Version of the weights that the engine must serve; with any other it must not run the request.
    pub version: WeightVersion,
    /// Cache salt under which the engine stores and looks up prompt parts.
    pub salt: Box<str>,
    /// For each prompt part, the store or engine to fetch it from; empty if nothing is fetched.
    pub fetch: Vec<Option<SocketAddr>>,
    /// When an unfinished fetch is abandoned, in milliseconds of the upstreams' clock.
    pub fetch_until_ms: Option<u64>,
    /// For each prompt part, the store to save it to.
    pub save: Vec<Option<SocketAddr>>,
}

/// One send of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct SendPlan {
    /// The upstream and its start; any other must not run the request.
    pub upstream: UpstreamId,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Milliseconds until the request's deadline.
    pub left_ms: u64,
    /// Priority among requests; 0 is the most urgent.
    pub priority: u8,
    /// Instructions if the upstream is an engine.
    pub engine: Option<EngineInstructions>,
    /// Id of the event after which an interrupted stream resumes.
    pub resume_after: Option<Box<str>>,
}

/// What the head of an answer states in addition to its status.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerMarks {
    /// Id of the request that it answers, if stated.
    pub request: Option<Box<str>>,
    /// Whether it states no id though upstreams state one in each such answer to a request.
    pub is_unnamed: bool,
    /// Whether the upstream states that it did not run the request.
    pub is_not_run: bool,
    /// Whether the answer is a refusal by another upstream or other weights than the request named.
    pub is_unexpected: bool,
    /// Name of the upstream that answers, if stated.
    pub instance: Option<Box<str>>,
    /// Version of the weights that computed the answer, or would have.
    pub weights: Option<WeightVersion>,
    /// Longest time that the connection may stay idle, in milliseconds, if stated.
    pub idle_limit_ms: Option<u64>,
    /// Whether the upstream closes the connection after this answer.
    pub is_last: bool,
    /// Whether the end of the body can be distinguished from a broken connection.
    pub is_framed: bool,
    /// Announcements of the upstream.
    pub announcements: UpstreamAnnouncements,
    /// Load that the upstream reports, or why its report can't be read; `None` if it reports none.
    pub load: Option<Result<ReportedLoad, ReportedLoadError>>,
}

/// The functions that implement one wire format.
#[derive(Clone, Copy)]
pub struct Dialect {
    /// Encodes a request for an upstream.
    pub encode: fn(&AcceptedRequest, &SendPlan) -> Request<Full<Bytes>>,
    /// Encodes a request for a peer daemon, as its caller sent it, with so many milliseconds left.
    pub forward: fn(&AcceptedRequest, u64) -> Request<Full<Bytes>>,
    /// Decodes what the head of an answer states.
    pub marks: fn(StatusCode, &HeaderMap) -> AnswerMarks,
    /// Removes the headers that concern only the connection to the upstream, and a length that its
    /// transfer codings override.
    pub strip: fn(&mut HeaderMap),
}
