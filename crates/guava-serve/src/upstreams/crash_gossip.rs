//! Crash notices that this daemon sends to its peers.
//!
//! Each notice is sent at once, and repeated in the summaries of the next two seconds, so that a
//! lost datagram doesn't hide the evidence against a request until it has crashed more upstreams.
//! Quarantines are part of every summary, so that daemons that start, or were cut off, know them
//! within a second.

use crate::upstreams::crash_notice::CrashNotice;
use guava_policy::ClearNotice;
use guava_types::{Deadline, Moment};

/// For how long a notice is repeated, in milliseconds: two summaries to remote data centres.
const REPEAT_MS: u64 = 2_200;
/// Largest number of suspects in one message, at 18 or 19 bytes each, so that the message with its
/// other contents fits into one datagram.
const MAX_SUSPECTS_PER_MESSAGE: usize = 80;
/// Largest number of notices that are repeated.
const MAX_REPEATED_NOTICES: usize = 128;

/// Notices of crashes that are to be sent, and to be repeated.
#[derive(Debug, Default)]
pub struct CrashGossip {
    unsent: Vec<CrashNotice>,
    recent: Vec<(CrashNotice, Deadline)>,
}

impl CrashGossip {
    /// Adds a notice to be sent; if too many are repeated, the oldest no longer is.
    pub fn note_crash(&mut self, notice: CrashNotice, now: Moment) {
        if self.recent.len() >= MAX_REPEATED_NOTICES {
            self.recent.remove(0);
        }
        self.recent.push((notice.clone(), Deadline::after(now, REPEAT_MS)));
        self.unsent.push(notice);
    }

    /// Removes a cleared request from the notices of crashes up to its clearance.
    pub fn remove_cleared(&mut self, cleared: ClearNotice) {
        let notices =
            self.unsent.iter_mut().chain(self.recent.iter_mut().map(|(notice, _)| notice));
        let before = notices.filter(|notice| notice.at <= cleared.at);
        before.for_each(|notice| {
            notice.requests.retain(|other| *other != cleared.request);
            notice.parts.retain(|part| part.digest != cleared.request);
        });
    }

    /// Takes the notices that were not sent yet, grouped by message.
    pub fn take_unsent(&mut self) -> Vec<Vec<CrashNotice>> {
        group_by_message(std::mem::take(&mut self.unsent))
    }

    /// Notices that a summary repeats: the newest ones that fit into a message.
    pub fn repeated(&mut self, now: Moment) -> Vec<CrashNotice> {
        self.recent.retain(|(_, until)| !until.passed(now));
        let newest = self.recent.iter().rev().map(|(notice, _)| notice.clone()).collect();
        group_by_message(newest).into_iter().next().unwrap_or_default()
    }
}

/// Groups notices into as few messages as their order allows; long ones are split.
fn group_by_message(notices: Vec<CrashNotice>) -> Vec<Vec<CrashNotice>> {
    let mut messages: Vec<Vec<CrashNotice>> = Vec::new();
    let mut capacity = 0;
    for piece in notices.iter().flat_map(pieces) {
        // An upstream's id takes about as many bytes as two digests.
        let size = piece.requests.len() + piece.parts.len() + 2;
        match messages.last_mut().filter(|_| capacity >= size) {
            Some(message) => message.push(piece),
            None => {
                messages.push(vec![piece]);
                capacity = MAX_SUSPECTS_PER_MESSAGE + 2;
            }
        }
        capacity = capacity.saturating_sub(size);
    }
    messages
}

/// A notice, or such as fit into a message if it is too long, parts first.
fn pieces(notice: &CrashNotice) -> Vec<CrashNotice> {
    if notice.requests.len() + notice.parts.len() <= MAX_SUSPECTS_PER_MESSAGE {
        // Suspects are weighed against each other, so those of one crash belong together.
        return vec![notice.clone()];
    }
    let empty = || CrashNotice { requests: Vec::new(), parts: Vec::new(), ..notice.clone() };
    let parts = notice.parts.chunks(MAX_SUSPECTS_PER_MESSAGE);
    let parts = parts.map(|parts| CrashNotice { parts: parts.to_vec(), ..empty() });
    let requests = notice.requests.chunks(MAX_SUSPECTS_PER_MESSAGE);
    let requests = requests.map(|requests| CrashNotice { requests: requests.to_vec(), ..empty() });
    parts.chain(requests).collect()
}
