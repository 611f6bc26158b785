//! Final outcomes of a request, and the record of its attempts.

use crate::request::accepted_request::AcceptedRequest;
use crate::request::answer_body::AnswerBody;
use crate::request::refusal_reason::RefusalReason;
use crate::request::run_ledger::{PermitGround, RunLedger, SendPermit};
use crate::request::send_bar::SendBar;
use crate::request::stream_scope::StreamScope;
use guava_policy::QueuePlace;
use guava_types::{Deadline, Moment, UpstreamId};
use http::Response;
use std::cell::Cell;

/// Maximum attempts for one request, including refusals and failed connections.
const MAX_SEND_ATTEMPTS: u32 = 4;

/// Final outcome of a request.
pub enum ServeOutcome {
    /// Answered by an upstream; the body may still be streaming.
    Answered(Response<AnswerBody>),
    /// Refused: the request has not run and will not.
    NotRun {
        /// Reason for the refusal.
        reason: RefusalReason,
        /// Milliseconds after which the caller should retry.
        return_after_ms: u64,
    },
    /// No answer arrived before the deadline; the request may have run.
    TimedOut,
    /// The answer is lost; the request may have run.
    Lost,
}

/// A refusal of a request from the queue of its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueRefusal {
    /// Where it stood.
    pub place: QueuePlace,
    /// Milliseconds after which the caller should retry.
    pub return_after_ms: u64,
}

/// The expected wait at a place in a queue, for log lines; in milliseconds.
pub fn expected_text(place: QueuePlace) -> String {
    place.wait_ms.map_or_else(|| "unknown".to_owned(), |wait_ms| wait_ms.to_string())
}

/// Outcomes of the attempts of one request.
///
/// A request may be reported as not run only if every attempt is accounted for: either no byte was
/// written, or the upstream stated that it did not run the request. After one attempt with an
/// unknown outcome it must never be reported as not run.
#[derive(Debug, Default)]
pub struct SendRecord {
    /// Upstreams that must not be chosen again.
    pub tried: Vec<UpstreamId>,
    /// Attempts that reached an upstream, refused ones included.
    pub reached: u32,
    /// Runs that there may have been, and permits for further ones.
    pub ledger: RunLedger,
    /// Since when it may run at an upstream; `None` if none has it, or the last one refused it.
    pub sent_since: Cell<Option<Moment>>,
    /// Attempts that did not reach an upstream.
    pub unreached: u32,
    /// Attempts that an upstream refused.
    pub refusals: u32,
    /// Whether an engine refused it for weights whose publication was not known here yet.
    pub lacks_weights: bool,
    /// Whether the list of upstreams was too old for a send.
    pub is_list_stale: bool,
    /// How it was refused from the queue of its service, if it was.
    pub shed: Option<QueueRefusal>,
    /// Upstreams that may take it.
    pub scope: StreamScope,
    /// Whether no upstream serves at the software version that began its stream.
    pub is_version_gone: bool,
    /// Whether no daemon that it could be forwarded to reaches an upstream.
    pub is_out_of_reach: bool,
    /// End of its quarantine, if it is quarantined.
    pub quarantined_until: Option<Deadline>,
    /// Why no further send was made, once none is.
    pub ended_by: Option<SendBar>,
}

impl SendRecord {
    /// The record of a request that was not sent yet.
    pub fn new(request: &AcceptedRequest) -> Self {
        Self { ledger: RunLedger::of_request(request), ..Self::default() }
    }

    /// Why the request must not be sent, by its route and its attempts so far.
    pub fn bar(&self) -> Option<SendBar> {
        self.bar_after(0)
    }

    /// Why the request must not be sent again after the send under way.
    pub fn bar_after_this(&self) -> Option<SendBar> {
        self.bar_after(1)
    }

    fn bar_after(&self, under_way: u32) -> Option<SendBar> {
        if self.attempts() + under_way >= MAX_SEND_ATTEMPTS {
            Some(SendBar::Attempts)
        } else {
            self.ledger.bar()
        }
    }

    fn attempts(&self) -> u32 {
        self.reached + self.unreached
    }

    /// Permits one run at an upstream.
    pub fn permit(&mut self, is_resumption: bool) -> Result<SendPermit, SendBar> {
        self.permit_runs(1, is_resumption)
    }

    /// Permits the runs that a peer daemon may use: all that are left, but one if the request is sent
    /// again where the peer's answer is lost.
    pub fn permit_forward(&mut self, is_sent_again: bool) -> Result<SendPermit, SendBar> {
        let kept = u32::from(is_sent_again);
        self.permit_runs(self.ledger.left().saturating_sub(kept).max(1), false)
    }

    fn permit_runs(&mut self, runs: u32, is_resumption: bool) -> Result<SendPermit, SendBar> {
        if let Some(bar) = self.bar() {
            return Err(bar);
        }
        let ground = match self.ledger.runs() {
            0 if self.attempts() == 0 => PermitGround::First,
            0 => PermitGround::NotRun,
            _ if is_resumption => PermitGround::Resumption,
            _ => PermitGround::Repeatable,
        };
        self.ledger.permit(runs, ground).ok_or(SendBar::Runs)
    }

    /// Why the request was not run; `None` if it may have run.
    pub fn refusal(&self) -> Option<RefusalReason> {
        if self.ledger.runs() > 0 {
            return None;
        }
        Some(if self.quarantined_until.is_some() {
            RefusalReason::Quarantined
        } else if self.is_out_of_reach {
            RefusalReason::NoReach
        } else if let StreamScope::Nowhere(reason) = self.scope {
            reason
        } else if self.is_version_gone {
            RefusalReason::VersionGone
        } else if self.is_list_stale {
            RefusalReason::NotReady
        } else if self.shed.is_some() {
            RefusalReason::Crowded
        } else if self.refusals > 0 {
            RefusalReason::UpstreamsFull
        } else if self.unreached > 0 {
            RefusalReason::Unreachable
        } else {
            RefusalReason::NoUpstream
        })
    }
}
