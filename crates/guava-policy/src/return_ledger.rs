//! When refused callers were told to return, so that they keep their places among those who wait.
//!
//! A returning request has a new id, but the same digest, and may arrive at any daemon. So daemons
//! tell each other whom they refused. Equal requests of one customer share a digest: each refusal is
//! an entry of its own, and each return takes one of them.

use guava_types::{Deadline, FastMap, Moment, RequestDigest};

/// Most entries of a ledger.
pub const MAX_RETURNS: usize = 4_096;
/// Shortest interval between two sweeps of a full ledger, in milliseconds: each reads all of it.
const SWEEP_INTERVAL_MS: u64 = 250;
/// How much earlier than told a caller may return, in milliseconds: the word of its refusal reaches
/// other daemons with a delay that they don't know.
const EARLY_TOLERANCE_MS: u64 = 100;
/// How much later than told a caller may return, in milliseconds: it has other things to do.
const LATE_TOLERANCE_MS: u64 = 2_000;
/// Furthest moment at which a caller is expected, in milliseconds from now.
const MAX_RETURN_MS: u64 = 60_000;

/// A refused request whose caller was told when to return.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReturnNotice {
    /// Digest of the request, which its repetition shares.
    pub request: RequestDigest,
    /// When the caller's first attempt arrived.
    pub first: Moment,
    /// When it was told to return.
    pub due: Deadline,
}

impl ReturnNotice {
    fn accepted_from(&self) -> Deadline {
        Deadline(self.due.0.minus_millis(EARLY_TOLERANCE_MS))
    }

    /// Whether the caller is too late to keep its place.
    pub fn is_over(&self, now: Moment) -> bool {
        Deadline::after(self.due.0, LATE_TOLERANCE_MS).passed(now)
    }
}

/// Place of a request that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReturnPlace {
    /// Its caller was not refused lately.
    New,
    /// Its caller was told to return later, and counts as new.
    Early,
    /// Its caller returns as told; its first attempt arrived at this moment.
    Returned(Moment),
}

impl ReturnPlace {
    /// When the first attempt of a request arrived that itself arrived at the moment given.
    pub fn first_attempt(self, arrived: Moment) -> Moment {
        match self {
            Self::New | Self::Early => arrived,
            Self::Returned(first) => first.min(arrived),
        }
    }
}

/// Refused callers that are expected back, at this daemon or another one.
#[derive(Clone, Debug, Default)]
pub struct ReturnLedger {
    notices: FastMap<RequestDigest, Vec<ReturnNotice>>,
    count: usize,
    swept: Moment,
}

impl ReturnLedger {
    /// Whether no caller is expected back; digests need not be computed then.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Records a refusal. Returns false if it is ignored: its moments can't be, or the ledger is full.
    pub fn note(&mut self, notice: ReturnNotice, now: Moment) -> bool {
        let is_near = notice.due.millis_left(now) <= MAX_RETURN_MS;
        if notice.is_over(now) || !is_near || notice.first > notice.due.0 {
            return false;
        }
        if self.count >= MAX_RETURNS && now.millis_since(self.swept) >= SWEEP_INTERVAL_MS {
            self.sweep(now);
        }
        if self.count >= MAX_RETURNS {
            return false;
        }
        self.notices.entry(notice.request).or_default().push(notice);
        self.count += 1;
        true
    }

    /// Place of a request that arrives now. Of several equal requests that are due, the one that was
    /// told to return first is taken from the ledger.
    pub fn claim(&mut self, request: RequestDigest, now: Moment) -> ReturnPlace {
        let Some(notices) = self.notices.get_mut(&request) else { return ReturnPlace::New };
        let before = notices.len();
        notices.retain(|notice| !notice.is_over(now));
        self.count -= before - notices.len();
        let earliest = notices.iter().enumerate().min_by_key(|(_, notice)| notice.due);
        let earliest = earliest.map(|(index, notice)| (index, notice.accepted_from()));
        let place = match earliest {
            None => ReturnPlace::New,
            Some((_, from)) if !from.passed(now) => ReturnPlace::Early,
            Some((index, _)) => {
                self.count -= 1;
                ReturnPlace::Returned(notices.swap_remove(index).first)
            }
        };
        if notices.is_empty() {
            self.notices.remove(&request);
        }
        place
    }

    /// Removes callers that did not return in time.
    pub fn sweep(&mut self, now: Moment) {
        self.swept = now;
        self.notices.retain(|_, notices| {
            notices.retain(|notice| !notice.is_over(now));
            !notices.is_empty()
        });
        self.count = self.notices.values().map(Vec::len).sum();
    }
}
