//! A request that was read whole, authenticated and given a route.

use crate::serve_config::{CallerIdentity, RouteRule};
use bytes::Bytes;
use guava_types::{Deadline, ModelName, Moment, RequestDigest, TokenCount};
use http::{HeaderMap, Method, Uri};
use std::rc::Rc;

/// One part of a prompt, in the caller's order; requests share parts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Its id as the caller gives it.
    pub id: Box<str>,
    /// Its length.
    pub tokens: TokenCount,
}

/// What is known of a prompt without reading it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptShape {
    /// Model that must answer.
    pub model: ModelName,
    /// Parts, first to last; the last belongs to this request or its session alone.
    pub parts: Vec<PromptPart>,
    /// Tokens of the whole prompt.
    pub input: TokenCount,
    /// Most tokens that may be generated.
    pub output: TokenCount,
}

impl PromptShape {
    /// Memory that a run takes at its end.
    pub fn memory(&self) -> TokenCount {
        TokenCount(self.input.0 + self.output.0)
    }
}

/// What goes to the upstream unchanged.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// Method.
    pub method: Method,
    /// Path and query, byte for byte.
    pub target: Uri,
    /// Headers that are the caller's to set.
    pub headers: HeaderMap,
}

/// A request on its way.
#[derive(Clone, Debug)]
pub struct AcceptedRequest {
    /// Id of this attempt of the caller's.
    pub id: Box<str>,
    /// Its route.
    pub route: Rc<RouteRule>,
    /// Who sent it.
    pub caller: CallerIdentity,
    /// When its head was in.
    pub arrived: Moment,
    /// When its caller no longer waits, or its route's time limit ends.
    pub deadline: Deadline,
    /// Its prompt, if it is for a language model.
    pub prompt: Option<PromptShape>,
    /// The event after which the caller wants a stream to go on.
    pub resume_after: Option<Box<str>>,
    /// Head for the upstream.
    pub head: RequestHead,
    /// Whole body.
    pub body: Bytes,
}

impl AcceptedRequest {
    /// What the request is, whichever attempt of its caller's: worked out anew each time, since few
    /// requests need it.
    pub fn digest(&self) -> RequestDigest {
        let caller = match &self.caller {
            CallerIdentity::Customer(customer) => customer.name.as_str(),
            CallerIdentity::Anonymous => "",
        };
        let path = self.head.target.path_and_query().map_or("", |path| path.as_str());
        RequestDigest::of(caller, path, &self.body)
    }

    /// Rank among requests, 0 first: by the customer's rank if it has one, else by the route's; among
    /// equals those of more urgent routes go first.
    ///
    /// By the customer's rank alone, a customer's short urgent requests would wait behind its long
    /// ones: in a burst of three times the load, callers of the urgent kind gave up after two seconds.
    pub fn priority(&self) -> u8 {
        let own = match &self.caller {
            CallerIdentity::Customer(customer) => customer.priority,
            CallerIdentity::Anonymous => None,
        };
        let rank = own.unwrap_or(self.route.priority);
        rank.saturating_mul(2).saturating_add(self.route.priority.min(1))
    }
}
