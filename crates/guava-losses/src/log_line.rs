//! Log lines, as far as they tell what became of requests.

use serde::Deserialize;
use std::borrow::Cow;

/// A line of a daemon's log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine {
    /// When it was written, in milliseconds of Unix time by the VM's clock.
    pub at_ms: u64,
    /// What it tells.
    pub fact: RequestFact,
}

/// What a line tells of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestFact {
    /// It was sent to an upstream.
    Sent {
        /// Which request.
        request: Box<str>,
        /// Its route.
        route: Box<str>,
        /// Whose it is, if that is told.
        customer: Box<str>,
        /// Where to.
        upstream: Box<str>,
        /// Expected time to its first event, in milliseconds, if it is for an engine.
        expected_ms: Option<u64>,
        /// Time within which it should be answered, in milliseconds, if told.
        objective_ms: Option<u64>,
    },
    /// It waits in line.
    Held {
        /// Which request.
        request: Box<str>,
    },
    /// A send gave no answer.
    SendFailed {
        /// Which request.
        request: Box<str>,
        /// Where.
        upstream: Box<str>,
        /// Why.
        reason: Box<str>,
    },
    /// An upstream refused it.
    UpstreamRefused {
        /// Which request.
        request: Box<str>,
        /// Where.
        upstream: Box<str>,
    },
    /// It was answered.
    Answered {
        /// Which request.
        request: Box<str>,
        /// Time to the whole answer, or to a stream's first event, in milliseconds.
        first_ms: u64,
        /// Whether the upstream called it a success.
        is_success: bool,
    },
    /// It ended otherwise.
    Lost {
        /// Which request, if it bore an id.
        request: Box<str>,
        /// Its route, if that is told.
        route: Box<str>,
        /// Whose it is, if that is told.
        customer: Box<str>,
        /// How.
        end: LostEnd,
        /// Why, if that is told.
        reason: Option<Box<str>>,
    },
    /// Nothing of a request's way.
    Other,
}

/// How a request ended without its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum LostEnd {
    /// It has not run.
    Refused,
    /// It may have run.
    Failed,
    /// Its stream broke off.
    Broken,
    /// Its caller left.
    CallerLeft,
    /// It was turned away before it had a route.
    TurnedAway,
}

#[derive(Deserialize)]
struct WireLine<'a> {
    timestamp: u64,
    #[serde(borrow)]
    kv: WireFields<'a>,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct WireFields<'a> {
    #[serde(borrow)]
    event: Cow<'a, str>,
    #[serde(borrow)]
    request: Cow<'a, str>,
    #[serde(borrow)]
    route: Cow<'a, str>,
    #[serde(borrow)]
    customer: Cow<'a, str>,
    #[serde(borrow)]
    upstream: Cow<'a, str>,
    #[serde(borrow)]
    reason: Cow<'a, str>,
    #[serde(borrow)]
    status: Cow<'a, str>,
    #[serde(borrow)]
    expected_ms: Cow<'a, str>,
    #[serde(borrow)]
    objective_ms: Cow<'a, str>,
    #[serde(borrow)]
    first_ms: Cow<'a, str>,
    #[serde(borrow)]
    elapsed_ms: Cow<'a, str>,
    #[serde(borrow)]
    timed_out: Cow<'a, str>,
}

/// Reads a line; nothing if it is none of a daemon's. What stands before its JSON, as a collector of
/// logs puts there, is passed over.
pub fn parse_line(line: &str) -> Option<LogLine> {
    let json = &line[line.find('{')?..];
    let wire: WireLine<'_> = serde_json::from_str(json).ok()?;
    Some(LogLine { at_ms: wire.timestamp, fact: fact(&wire.kv) })
}

fn fact(fields: &WireFields<'_>) -> RequestFact {
    let request: Box<str> = fields.request.as_ref().into();
    let upstream = || fields.upstream.as_ref().into();
    let lost = |end, reason: Option<&str>| RequestFact::Lost {
        request: request.clone(),
        route: fields.route.as_ref().into(),
        customer: fields.customer.as_ref().into(),
        end,
        reason: reason.filter(|reason| !reason.is_empty()).map(Into::into),
    };
    match fields.event.as_ref() {
        "G8001" | "G8010" => RequestFact::Sent {
            route: fields.route.as_ref().into(),
            customer: fields.customer.as_ref().into(),
            upstream: upstream(),
            expected_ms: fields.expected_ms.parse().ok(),
            objective_ms: fields.objective_ms.parse().ok(),
            request,
        },
        "G8011" => RequestFact::Held { request },
        "G8002" => RequestFact::SendFailed {
            upstream: upstream(),
            reason: plain_reason(&fields.reason),
            request,
        },
        "G8003" => RequestFact::UpstreamRefused { upstream: upstream(), request },
        "G8004" => {
            let first = fields.first_ms.parse().or_else(|_| fields.elapsed_ms.parse());
            let is_success = fields.status.starts_with('2');
            RequestFact::Answered { first_ms: first.unwrap_or(0), is_success, request }
        }
        "G8005" => lost(LostEnd::Refused, Some(&fields.reason)),
        "G8006" => lost(LostEnd::Failed, (fields.timed_out == "true").then_some("timed out")),
        "G8008" => lost(LostEnd::Broken, Some(&plain_reason(&fields.reason))),
        "G8009" => lost(LostEnd::CallerLeft, None),
        "G9201" => {
            let status = format!("status {}", fields.status);
            let has_reason = !fields.reason.is_empty();
            let reason = if has_reason { fields.reason.as_ref() } else { &status };
            lost(LostEnd::TurnedAway, Some(reason))
        }
        _ => RequestFact::Other,
    }
}

/// A reason without the address in it, so that equal ones are counted together.
fn plain_reason(reason: &str) -> Box<str> {
    let is_address = |word: &&str| word.contains(':') && word.chars().any(|c| c.is_ascii_digit());
    let words = reason.split(' ').filter(|word| !is_address(word));
    words.collect::<Vec<_>>().join(" ").into()
}
