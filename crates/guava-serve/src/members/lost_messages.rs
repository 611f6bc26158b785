//! Messages between daemons that were lost at this daemon: counted all, logged now and then.

use crate::events;
use crate::metrics::ServeMetrics;
use guava_log::log_event;
use guava_types::{Deadline, Moment};
use std::fmt::Display;

/// Pause between two log lines on the same kind of loss, in milliseconds.
const LOG_PAUSE_MS: u64 = 5_000;

/// How a message was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageLoss {
    /// It is longer than its receivers take.
    TooLong,
    /// It could not be sent.
    Unsent,
    /// It came, and can't be read.
    Unreadable,
}

impl MessageLoss {
    /// In a word, for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::TooLong => "too-long",
            Self::Unsent => "unsent",
            Self::Unreadable => "unreadable",
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct LossCount {
    unlogged: u64,
    silent_until: Deadline,
}

/// The losses.
#[derive(Debug, Default)]
pub struct LostMessages {
    counts: [LossCount; 3],
}

impl LostMessages {
    /// Notes a loss.
    pub fn note(
        &mut self,
        loss: MessageLoss,
        reason: &impl Display,
        metrics: &ServeMetrics,
        now: Moment,
    ) {
        metrics.count_lost_message(loss.name());
        let count = &mut self.counts[loss as usize];
        count.unlogged += 1;
        if count.silent_until.passed(now) {
            let lost = std::mem::take(&mut count.unlogged);
            count.silent_until = Deadline::after(now, LOG_PAUSE_MS);
            log_event!(
                warn,
                events::MESSAGE_LOST,
                kind = loss.name(),
                count = lost,
                reason = reason
            );
        }
    }
}
