//! A request that was read completely, authenticated and matched to a route.

use crate::serve_config::{CallerIdentity, RepeatRule, RouteRule};
use bytes::Bytes;
use guava_policy::SuspectPart;
use guava_types::{CustomerId, Deadline, ModelName, Moment, RequestDigest, StreamKey, TokenCount};
use http::{HeaderMap, HeaderValue, Method, Uri};
use std::rc::Rc;

/// One prompt part. Different requests may share a part, identified by its id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Id given by the caller.
    pub id: Box<str>,
    /// Length of the part.
    pub tokens: TokenCount,
}

/// Parts of a prompt that are described at most. Choosing an engine looks at each part for each engine;
/// what follows is prefilled like a prompt that nobody described.
pub const MAX_PROMPT_PARTS: usize = 64;

/// Properties of a prompt that are known without parsing it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptShape {
    /// Model that must answer.
    pub model: ModelName,
    /// Prompt parts in order. The last one belongs to this request or its session alone.
    pub parts: Vec<PromptPart>,
    /// Length of the complete prompt.
    pub input: TokenCount,
    /// Maximum number of tokens to generate.
    pub output: TokenCount,
}

impl PromptShape {
    /// Engine memory that a run occupies when it finishes, with all its output.
    pub fn memory(&self) -> TokenCount {
        TokenCount(self.input.0 + self.output.0)
    }
}

/// The parts of the request head that are sent to the upstream unchanged.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// Method of the caller's request.
    pub method: Method,
    /// Path and query, unchanged byte for byte.
    pub target: Uri,
    /// Headers that callers are permitted to set.
    pub headers: HeaderMap,
}

/// An accepted request; immutable while it is served.
#[derive(Clone, Debug)]
pub struct AcceptedRequest {
    /// Id of the request; a caller's retry has another one.
    pub id: Box<str>,
    /// The route that it was matched to.
    pub route: Rc<RouteRule>,
    /// The authenticated caller.
    pub caller: CallerIdentity,
    /// When its head had been received.
    pub arrived: Moment,
    /// When its caller stops waiting or its route's time limit passes, whichever is earlier.
    pub deadline: Deadline,
    /// When its caller stops waiting.
    pub caller_deadline: Deadline,
    /// The prompt, if the request is for a language model.
    pub prompt: Option<PromptShape>,
    /// Id of the event after which the caller asks to resume a stream.
    pub resume_after: Option<Box<str>>,
    /// Id of the attempt that brought its caller the first event of that stream, if it is named.
    pub resumes: Option<Box<str>>,
    /// Head to send to the upstream.
    pub head: RequestHead,
    /// The complete body.
    pub body: Bytes,
    /// What the caller authenticated itself with; only a peer daemon gets it.
    pub credential: Option<HeaderValue>,
    /// Whether a peer daemon forwarded it; it is not forwarded again.
    pub is_forwarded: bool,
    /// Most runs that the daemon which forwarded it permits; `None` if it was not forwarded.
    pub run_limit: Option<u32>,
}

impl AcceptedRequest {
    /// Digest of caller, path and body, which a caller's retries share. Computed on each call, as
    /// few requests need it.
    pub fn digest(&self) -> RequestDigest {
        let path = self.head.target.path_and_query().map_or("", |path| path.as_str());
        RequestDigest::of(self.customer(), path, &self.body)
    }

    /// Whether its caller takes up a stream of which it has events.
    pub fn takes_up(&self) -> bool {
        let has_events = self.resume_after.is_some() || self.resumes.is_some();
        self.route.repeat.is_stream() && has_events
    }

    /// Whether its answer begins a stream that its caller can take up later.
    pub fn begins_stream(&self) -> bool {
        self.route.repeat == RepeatRule::ResumableStream && !self.takes_up()
    }

    /// Key of the stream that an attempt of the same customer began.
    pub fn stream_key(&self, attempt: &str) -> StreamKey {
        StreamKey::of(self.customer(), attempt)
    }

    /// Name of the customer whose key the caller has; empty if it has none.
    pub fn customer(&self) -> &str {
        self.customer_id().map_or("", CustomerId::as_str)
    }

    /// The customer that it is charged to; `None` if its caller has no key.
    pub fn customer_id(&self) -> Option<&CustomerId> {
        match &self.caller {
            CallerIdentity::Customer(customer) => Some(&customer.name),
            CallerIdentity::Anonymous => None,
        }
    }

    /// Parts of its prompt that it shares with others, as evidence names them. The last part is its
    /// own. Computed on each call, as few requests need them.
    pub fn shared_parts(&self) -> Vec<SuspectPart> {
        let parts = self.prompt.as_ref().map(|prompt| prompt.parts.as_slice()).unwrap_or_default();
        let shared = parts.split_last().map(|(_, shared)| shared).unwrap_or_default();
        let suspect = |(depth, part): (usize, &PromptPart)| SuspectPart {
            digest: RequestDigest::of_part(&part.id),
            depth: u8::try_from(depth).unwrap_or(u8::MAX),
        };
        shared.iter().enumerate().map(suspect).collect()
    }

    /// Priority among requests; 0 is served first. It is the customer's priority or, if it has
    /// none, the route's; among equals, requests of more urgent routes come first.
    ///
    /// By the customer's priority alone, a customer's short urgent requests would wait behind its
    /// long ones: in a burst of three times the load, callers of urgent requests timed out after
    /// two seconds.
    pub fn priority(&self) -> u8 {
        let own = match &self.caller {
            CallerIdentity::Customer(customer) => customer.priority,
            CallerIdentity::Anonymous => None,
        };
        let rank = own.unwrap_or(self.route.priority);
        rank.saturating_mul(2).saturating_add(self.route.priority.min(1))
    }
}
