//! What this daemon tells the others of upstreams' ends.
//!
//! Each end is told at once, and again with the summaries of the next two seconds: a datagram that is
//! lost must not hide what a request has ended until it has ended more. Stopped requests are told
//! with every summary, so that daemons that start, or were cut off, know them within a second.

use crate::upstreams::crash_notice::CrashNotice;
use guava_policy::ClearNotice;
use guava_types::{Deadline, Moment};

/// For how long an end is told again, in milliseconds: two summaries to other data centres.
const TOLD_MS: u64 = 2_200;
/// Requests told in one message at most, of 18 bytes each: with all else that it holds it stays one
/// datagram.
const MOST_REQUESTS: usize = 80;
/// Ends remembered for telling at most.
const MOST_ENDS: usize = 128;

/// Ends to tell.
#[derive(Debug, Default)]
pub struct CrashGossip {
    fresh: Vec<CrashNotice>,
    recent: Vec<(CrashNotice, Deadline)>,
}

impl CrashGossip {
    /// Notes an end to be told.
    pub fn note_crash(&mut self, notice: CrashNotice, now: Moment) {
        if self.recent.len() >= MOST_ENDS {
            self.recent.remove(0);
        }
        self.recent.push((notice.clone(), Deadline::after(now, TOLD_MS)));
        self.fresh.push(notice);
    }

    /// Forgets what a request was held for until it was cleared: that is not told any more.
    pub fn forget(&mut self, cleared: ClearNotice) {
        let told = self.fresh.iter_mut().chain(self.recent.iter_mut().map(|(notice, _)| notice));
        let before = told.filter(|notice| notice.at <= cleared.at);
        before.for_each(|notice| notice.requests.retain(|other| *other != cleared.request));
    }

    /// Takes what was not told yet, in pieces of a message each.
    pub fn take_unsent(&mut self) -> Vec<Vec<CrashNotice>> {
        in_messages(std::mem::take(&mut self.fresh))
    }

    /// What a summary repeats: the newest ends.
    pub fn repeated(&mut self, now: Moment) -> Vec<CrashNotice> {
        self.recent.retain(|(_, until)| !until.passed(now));
        let newest = self.recent.iter().rev().map(|(notice, _)| notice.clone()).collect();
        in_messages(newest).into_iter().next().unwrap_or_default()
    }
}

/// Ends in as many messages as they need.
fn in_messages(notices: Vec<CrashNotice>) -> Vec<Vec<CrashNotice>> {
    let mut messages: Vec<Vec<CrashNotice>> = Vec::new();
    let mut room = 0;
    for notice in notices {
        for requests in notice.requests.chunks(MOST_REQUESTS) {
            let piece = CrashNotice {
                upstream: notice.upstream.clone(),
                at: notice.at,
                requests: requests.to_vec(),
            };
            // An upstream's id takes about as much as two digests.
            let size = requests.len() + 2;
            match messages.last_mut().filter(|_| room >= size) {
                Some(message) => message.push(piece),
                None => {
                    messages.push(vec![piece]);
                    room = MOST_REQUESTS + 2;
                }
            }
            room = room.saturating_sub(size);
        }
    }
    messages
}
