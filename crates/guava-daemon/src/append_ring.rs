//! The bounded ring to the log duty.

use guava_state::{ChangeVerdict, IntentEntry, IntentVerdict, LogRecord};
use guava_types::{Deadline, Offset};
use snafu::Snafu;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

/// Commands that may wait.
const RING_LEN: usize = 1_024;

/// Why an append has no verdict.
#[derive(Clone, Copy, Debug, Snafu, PartialEq, Eq)]
pub enum AppendError {
    /// The ring is full: nothing was appended.
    #[snafu(display("too many appends wait"))]
    Full,
    /// Not read back in time: it may be in the log, or get there later.
    #[snafu(display("not read back from the log in time"))]
    Unknown,
}

/// What to append.
#[derive(Clone, Debug)]
pub enum AppendBody {
    /// An intent, committed together with others.
    Intent(IntentEntry),
    /// A release, committed together with others.
    Release(IntentEntry),
    /// A record of its own.
    Record(Box<LogRecord>),
}

/// What the reducer made of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AppendVerdict {
    /// Of an intent.
    Intent(IntentVerdict),
    /// Of a change.
    Change(ChangeVerdict),
    /// Of any other record: it was read back before this offset.
    Folded(Offset),
}

/// An append with the time until which it is tried and where its verdict goes.
#[derive(Debug)]
pub struct AppendCommand {
    /// What to append.
    pub body: AppendBody,
    /// No attempt is started after this.
    pub deadline: Deadline,
    /// Where the verdict goes.
    pub verdict: oneshot::Sender<AppendVerdict>,
}

/// The sending end.
#[derive(Clone, Debug)]
pub struct AppendRing {
    sender: mpsc::Sender<AppendCommand>,
}

impl AppendRing {
    /// A ring and its receiving end.
    pub fn new() -> (Self, mpsc::Receiver<AppendCommand>) {
        let (sender, receiver) = mpsc::channel(RING_LEN);
        (Self { sender }, receiver)
    }

    /// Appends and waits until the record has been read back and judged.
    pub async fn append(
        &self,
        body: AppendBody,
        deadline: Deadline,
    ) -> Result<AppendVerdict, AppendError> {
        let (verdict, judged) = oneshot::channel();
        let command = AppendCommand { body, deadline, verdict };
        self.sender.try_send(command).map_err(|_| AppendError::Full)?;
        match timeout(deadline.time_left(), judged).await {
            Ok(Ok(verdict)) => Ok(verdict),
            _ => Err(AppendError::Unknown),
        }
    }

    /// Appends without waiting for the verdict.
    pub fn append_later(&self, body: AppendBody, deadline: Deadline) {
        let (verdict, _) = oneshot::channel();
        // A full ring drops the command; what is appended this way only frees something early.
        drop(self.sender.try_send(AppendCommand { body, deadline, verdict }));
    }
}
