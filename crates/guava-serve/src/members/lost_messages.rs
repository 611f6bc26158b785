//! Messages between daemons that were lost at this daemon.
//!
//! Each loss counts in the metrics; log lines are limited to one per interval and kind of loss.

use crate::events;
use crate::metrics::ServeMetrics;
use guava_log::log_event;
use guava_types::{Deadline, Moment};
use std::fmt::Display;

/// Shortest interval between two log lines on the same kind of loss, in milliseconds.
const LOG_INTERVAL_MS: u64 = 5_000;

/// Why a message was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageLoss {
    /// It exceeds the datagram size that receivers accept.
    TooLong,
    /// Sending it failed or timed out.
    Unsent,
    /// It was received, but could not be decoded.
    Unreadable,
}

impl MessageLoss {
    /// Label of the loss in logs and metrics.
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
    unlogged_until: Deadline,
}

/// Losses by kind that have not been logged yet.
#[derive(Debug, Default)]
pub struct LostMessages {
    counts: [LossCount; 3],
}

impl LostMessages {
    /// Counts a loss, and logs all unlogged ones of its kind unless a line was logged within the
    /// interval.
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
        if count.unlogged_until.passed(now) {
            let lost = std::mem::take(&mut count.unlogged);
            count.unlogged_until = Deadline::after(now, LOG_INTERVAL_MS);
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
