//! Permissions to send a request, counted when they are given.
//!
//! A request that must not run twice has one permission, one that may be repeated a few. A send
//! takes its permission by value and returns it only with an error that proves that nothing ran, so
//! no send follows one whose outcome is not known unless the ledger has another permission.

use crate::http_link::HttpError;

/// The sends of one request that may have run, and how many may.
#[derive(Debug)]
pub struct AttemptLedger {
    limit: usize,
    runs: usize,
}

impl AttemptLedger {
    /// A request that may run so many times and has not been sent.
    pub fn new(limit: usize) -> Self {
        Self { limit, runs: 0 }
    }

    /// Permission for one more send, counted at once; `None` if all are in use.
    pub fn permit(&mut self) -> Option<SendPermit> {
        if self.runs >= self.limit {
            return None;
        }
        self.runs += 1;
        Some(SendPermit { run: self.runs })
    }

    /// Takes back a permission under which nothing ran.
    pub fn take_back(&mut self, _unused: SendPermit) {
        self.runs = self.runs.saturating_sub(1);
    }

    /// Whether the request may have run.
    pub fn may_have_run(&self) -> bool {
        self.runs > 0
    }
}

/// Permission for one send; only a ledger makes it.
#[derive(Debug)]
#[must_use]
pub struct SendPermit {
    run: usize,
}

impl SendPermit {
    /// The number of runs there may have been once this send is made.
    pub fn run(&self) -> usize {
        self.run
    }
}

/// A send without an answer.
#[derive(Debug)]
pub struct SendError {
    /// What went wrong.
    pub error: HttpError,
    /// The permission, if nothing ran.
    pub unused: Option<SendPermit>,
}

impl SendError {
    /// Returns the permission unless the request may have reached the server.
    pub(crate) fn new(error: HttpError, permit: SendPermit) -> Self {
        let unused = (!error.may_have_run()).then_some(permit);
        Self { error, unused }
    }

    /// As `new`, for a server whose refusals say that nothing ran.
    pub(crate) fn of_refusing(error: HttpError, permit: SendPermit) -> Self {
        if error.is_refusal() {
            return Self { error, unused: Some(permit) };
        }
        Self::new(error, permit)
    }
}
