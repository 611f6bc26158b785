//! Counts the runs that a request may have had, and permits its sends.
//!
//! A request is written to a connection only with a permit. The runs of a permit count from the moment
//! when it is handed out, so nothing that is done or awaited between the decision to send and the send
//! can lead to one run too many. They are given back only with the permit itself: one that was not
//! spent, or that is restored by proof that the request did not run. A permit that is dropped stays
//! counted.

use crate::request::accepted_request::AcceptedRequest;
use crate::request::dialect::AnswerMarks;
use crate::request::send_bar::SendBar;
use std::fmt;

/// Why a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitGround {
    /// It was not sent before.
    First,
    /// All earlier sends are known not to have run.
    NotRun,
    /// It may have run, and its route permits another run.
    Repeatable,
    /// It may have run, and goes on after the last event that its caller has.
    Resumption,
}

impl PermitGround {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::NotRun => "not-run-before",
            Self::Repeatable => "repeatable",
            Self::Resumption => "resumption",
        }
    }
}

impl fmt::Display for PermitGround {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

/// Runs of one request: how many its route permits, and how many there may have been.
#[derive(Debug, Default)]
pub struct RunLedger {
    permitted: u32,
    runs: u32,
}

/// Permission to send a request once. An unspent permit shows that the request was not sent with it.
#[derive(Debug)]
#[must_use = "the runs of a permit that is dropped stay counted"]
pub struct SendPermit {
    first: u32,
    runs: u32,
    permitted: u32,
    ground: PermitGround,
}

/// The permit of a request that was written to a connection, and may have run.
#[derive(Debug)]
#[must_use = "the runs of a permit that is dropped stay counted"]
pub struct SpentPermit(SendPermit);

/// Proof that a request did not run though its permit was spent.
#[derive(Debug)]
pub struct NotRunProof(());

impl RunLedger {
    /// A ledger of a request that may run so often.
    pub fn new(permitted: u32) -> Self {
        Self { permitted, runs: 0 }
    }

    /// A ledger of a request that may run as often as its route and the daemon that forwarded it
    /// permit.
    pub fn of_request(request: &AcceptedRequest) -> Self {
        let route = &request.route;
        let permitted = if route.repeat.may_repeat() { route.max_attempts.max(1) } else { 1 };
        Self::new(permitted.min(request.run_limit.unwrap_or(u32::MAX)))
    }

    /// Runs that there may have been or may still be, those of unspent permits included.
    pub fn runs(&self) -> u32 {
        self.runs
    }

    /// Runs that are still permitted.
    pub fn left(&self) -> u32 {
        self.permitted.saturating_sub(self.runs)
    }

    /// Why no further run is permitted.
    pub fn bar(&self) -> Option<SendBar> {
        let bar = if self.permitted == 1 { SendBar::MayHaveRun } else { SendBar::Runs };
        (self.left() == 0).then_some(bar)
    }

    /// Permits a send that leads to so many runs at most; `None` if fewer are left.
    pub fn permit(&mut self, runs: u32, ground: PermitGround) -> Option<SendPermit> {
        if runs == 0 || runs > self.left() {
            return None;
        }
        let first = self.runs + 1;
        self.runs += runs;
        Some(SendPermit { first, runs, permitted: self.permitted, ground })
    }

    /// Takes back an unspent permit, whose runs then no longer count.
    pub fn give_back(&mut self, permit: SendPermit) {
        self.runs = self.runs.saturating_sub(permit.runs);
    }
}

impl SendPermit {
    /// Which run of the request the send may lead to, 1 first.
    pub fn first(&self) -> u32 {
        self.first
    }

    /// Runs that the send may lead to.
    pub fn runs(&self) -> u32 {
        self.runs
    }

    /// Runs that are permitted for the request in all.
    pub fn permitted(&self) -> u32 {
        self.permitted
    }

    /// Why the request may be sent.
    pub fn ground(&self) -> PermitGround {
        self.ground
    }

    /// Spends the permit, as the request is about to be written.
    pub fn spend(self) -> SpentPermit {
        SpentPermit(self)
    }
}

impl SpentPermit {
    /// The permit, as the request did not run.
    pub fn restore(self, _proof: NotRunProof) -> SendPermit {
        self.0
    }
}

impl NotRunProof {
    /// Proof by the message itself, which the HTTP library returns if no byte of it was written.
    pub(crate) fn of_unsent<T>(message: Option<T>) -> Option<Self> {
        message.map(|_| Self(()))
    }

    /// Proof by an answer which states that it did not run this request. One that names no request is
    /// believed only as the first answer on its connection: a later one may belong to none.
    pub fn of_refusal(marks: &AnswerMarks, request: &str, is_first_answer: bool) -> Option<Self> {
        let is_named =
            marks.request.as_deref().map_or(is_first_answer, |answered| answered == request);
        (marks.is_not_run && is_named).then_some(Self(()))
    }
}
