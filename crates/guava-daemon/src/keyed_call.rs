//! A call of a plain service, whoever dispatches it.

use crate::call_table::CallFingerprint;
use crate::outcome::{CallOutcome, Refusal, RefusalKind};
use bytes::Bytes;
use guava_types::{
    CallKey, CallerKey, CustomerId, Deadline, Moment, RequestDigest, ServiceName, WallTime,
};
use http::Method;

/// When to come back if nothing better is known, in milliseconds.
pub const COME_BACK_MS: u64 = 1_000;
/// A call of a plain service, as authenticated and parsed.
#[derive(Clone, Debug)]
pub struct KeyedCall {
    /// The request's id in the logs.
    pub request: Box<str>,
    /// The service.
    pub service: ServiceName,
    /// Customer and key.
    pub key: CallKey,
    /// Which attempt the caller says that this is.
    pub attempt: Option<u32>,
    /// When the caller stops waiting.
    pub deadline: Deadline,
    /// HTTP method.
    pub method: Method,
    /// Path and query at the service.
    pub path: Box<str>,
    /// Type of the body.
    pub content_type: Box<str>,
    /// The body.
    pub body: Bytes,
}

impl KeyedCall {
    /// Hash of what the key is used for.
    pub fn fingerprint(&self) -> CallFingerprint {
        let mut hasher = blake3::Hasher::new();
        for part in [self.service.as_str(), self.method.as_str(), &self.path, &self.content_type] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        hasher.update(&self.body);
        *hasher.finalize().as_bytes()
    }

    /// What is asked for, whichever attempt and key.
    pub fn digest(&self) -> RequestDigest {
        call_digest(&self.key.customer, &self.service, &self.path, &self.body)
    }

    /// Until when its outcome is kept.
    pub fn keep_until(&self) -> Deadline {
        match &self.key.key {
            CallerKey::Pinned(key) => key.window_end(),
            CallerKey::Logged(_) => {
                let end = self.key.key.window_end_wall().unwrap_or_default();
                Deadline::in_millis(end.0.saturating_sub(WallTime::now().0))
            }
        }
    }

    /// A refusal before anything was sent from here.
    ///
    /// Once the deadline has passed the caller may have sent its next attempt elsewhere, and that
    /// one may run: a daemon thawed after a pause must not say "not run" about the first.
    pub fn refused_for(&self, refusal: Refusal) -> CallOutcome {
        let is_late = self.deadline.passed(Moment::now());
        let attempt = if is_late { None } else { self.attempt };
        CallOutcome::refused(attempt, refusal)
    }

    /// What this attempt is told of an outcome that another attempt may have got.
    ///
    /// A refusal speaks for the attempt that was refused: one that joined it comes later, and an
    /// attempt between the two may have run elsewhere.
    pub fn told(&self, outcome: CallOutcome) -> CallOutcome {
        match outcome {
            CallOutcome::NotRun(refusal) if refusal.kind != RefusalKind::MISMATCH => {
                self.refused_for(refusal)
            }
            other => other,
        }
    }

    /// As `refused_for`, in short.
    pub fn refused(&self, kind: RefusalKind, reason: &str, after_ms: u64) -> CallOutcome {
        self.refused_for(Refusal::later(kind, reason, after_ms))
    }
}

/// What a call asks for, whichever attempt and key.
pub fn call_digest(
    customer: &CustomerId,
    service: &ServiceName,
    path: &str,
    body: &[u8],
) -> RequestDigest {
    RequestDigest::of(customer.as_str(), &format!("/v1/services/{service}{path}"), body)
}

/// The answer to a key that belongs to another request.
pub fn mismatch() -> CallOutcome {
    let reason = "idempotency-key: was first used for another request";
    CallOutcome::NotRun(Refusal::final_one(RefusalKind::MISMATCH, reason))
}

/// An outcome, or "unknown" if it did not come in time.
pub fn wait_or_unknown(outcome: Option<CallOutcome>) -> CallOutcome {
    outcome.unwrap_or_else(|| CallOutcome::unknown("no answer yet", COME_BACK_MS))
}
