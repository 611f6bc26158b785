//! Non-idempotent calls of this incarnation: at most one run for each key, its outcome kept for
//! repeats until the key's window ends.

use crate::key_hold::KeyHold;
use crate::lock::locked;
use crate::outcome::CallOutcome;
use guava_outside::{AttemptLedger, SendPermit};
use guava_state::IntentEntry;
use guava_types::{CallKey, Deadline, FastMap, Moment};
use std::sync::Mutex;
use tokio::sync::watch;
use tokio::time::timeout;

/// Keys kept at one time.
const MAX_KEYS: usize = 100_000;
/// Bytes of answers kept at one time.
const MAX_BYTES: usize = 64 << 20;
/// Keys looked at for their window when one is entered.
const SWEEP_EVERY: u64 = 1_024;

/// Hash of what a key was first used for.
pub type CallFingerprint = [u8; 32];

type OutcomeReceiver = watch::Receiver<Option<CallOutcome>>;

struct CallSlot {
    fingerprint: CallFingerprint,
    outcome: watch::Sender<Option<CallOutcome>>,
    bytes: usize,
    keep_until: Deadline,
}

#[derive(Default)]
struct CallSlots {
    slots: FastMap<CallKey, CallSlot>,
    bytes: usize,
    entered: u64,
}

/// The run of a key at this incarnation; only entering the key makes one.
#[derive(Debug)]
pub struct CallRun {
    key: CallKey,
    ledger: AttemptLedger,
}

impl CallRun {
    fn new(key: CallKey) -> Self {
        Self { key, ledger: AttemptLedger::new(1) }
    }

    /// Permission to send the call; `None` if it may have run.
    pub fn permit(&mut self, _hold: &KeyHold) -> Option<SendPermit> {
        self.ledger.permit()
    }

    /// Takes back a permission under which nothing ran.
    pub fn take_back(&mut self, unused: SendPermit) {
        self.ledger.take_back(unused);
    }

    /// Whether the call may have run.
    pub fn may_have_run(&self) -> bool {
        self.ledger.may_have_run()
    }

    /// The intent to be released; `None` if the call may have run, as its key stays held then.
    pub fn release(&self, hold: KeyHold) -> Option<IntentEntry> {
        hold.into_intent().filter(|_| !self.may_have_run())
    }
}

/// What entering a key gave.
pub enum CallEntry {
    /// The key is new here: the caller of `enter` runs it and settles it.
    New(CallRun),
    /// It runs or ran here; the outcome comes here.
    Known(OutcomeReceiver),
    /// It was first used for another request.
    Mismatch,
    /// No room.
    Full,
}

/// The table.
#[derive(Default)]
pub struct CallTable {
    slots: Mutex<CallSlots>,
}

fn outcome_bytes(outcome: &CallOutcome) -> usize {
    match outcome {
        CallOutcome::Done { body, .. } => body.len(),
        _ => 0,
    }
}

impl CallSlots {
    fn sweep(&mut self, now: Moment) {
        let is_over =
            |slot: &CallSlot| slot.keep_until.passed(now) && slot.outcome.borrow().is_some();
        let freed: usize =
            self.slots.values().filter(|slot| is_over(slot)).map(|slot| slot.bytes).sum();
        self.slots.retain(|_, slot| !is_over(slot));
        self.bytes -= freed;
    }
}

impl CallTable {
    /// Enters a key, or finds what is known of it. The check and the entry are one step under the
    /// lock: two callers who race with one key at this daemon can't both get `New`.
    pub fn enter(
        &self,
        key: &CallKey,
        fingerprint: CallFingerprint,
        keep_until: Deadline,
    ) -> CallEntry {
        let mut slots = locked(&self.slots);
        if let Some(slot) = slots.slots.get(key) {
            if slot.fingerprint != fingerprint {
                return CallEntry::Mismatch;
            }
            return CallEntry::Known(slot.outcome.subscribe());
        }
        slots.entered += 1;
        let is_full = slots.slots.len() >= MAX_KEYS || slots.bytes >= MAX_BYTES;
        if is_full || slots.entered.is_multiple_of(SWEEP_EVERY) {
            slots.sweep(Moment::now());
        }
        if slots.slots.len() >= MAX_KEYS || slots.bytes >= MAX_BYTES {
            return CallEntry::Full;
        }
        let outcome = watch::Sender::new(None);
        slots.slots.insert(key.clone(), CallSlot { fingerprint, outcome, bytes: 0, keep_until });
        CallEntry::New(CallRun::new(key.clone()))
    }

    /// The outcome of a key that runs or ran here; `None` if the key is not known.
    pub fn find(
        &self,
        key: &CallKey,
        fingerprint: CallFingerprint,
    ) -> Option<Result<OutcomeReceiver, ()>> {
        let slots = locked(&self.slots);
        let slot = slots.slots.get(key)?;
        Some(if slot.fingerprint == fingerprint { Ok(slot.outcome.subscribe()) } else { Err(()) })
    }

    /// Tells those who wait the outcome of a run. It is kept for repeats if the call may have run;
    /// else the key is forgotten, and may be run here anew.
    pub fn settle(&self, run: CallRun, outcome: CallOutcome) {
        if run.may_have_run() {
            return self.keep(&run.key, outcome);
        }
        let mut slots = locked(&self.slots);
        if let Some(slot) = slots.slots.remove(&run.key) {
            slot.outcome.send_replace(Some(outcome));
        }
    }

    fn keep(&self, key: &CallKey, outcome: CallOutcome) {
        let mut slots = locked(&self.slots);
        let bytes = outcome_bytes(&outcome);
        slots.bytes += bytes;
        if let Some(slot) = slots.slots.get_mut(key) {
            slot.bytes = bytes;
            slot.outcome.send_replace(Some(outcome));
        }
    }

    /// Keeps an outcome that another daemon handed over.
    pub fn adopt(
        &self,
        key: CallKey,
        fingerprint: CallFingerprint,
        outcome: CallOutcome,
        keep_until: Deadline,
    ) {
        if matches!(self.enter(&key, fingerprint, keep_until), CallEntry::New(_)) {
            self.keep(&key, outcome);
        }
    }

    /// Outcomes kept, to be handed over.
    pub fn kept(&self) -> Vec<(CallKey, CallFingerprint, CallOutcome)> {
        let slots = locked(&self.slots);
        let kept = slots.slots.iter().filter_map(|(key, slot)| {
            let outcome = slot.outcome.borrow().clone()?;
            Some((key.clone(), slot.fingerprint, outcome))
        });
        kept.collect()
    }
}

/// Waits for an outcome; nothing if the deadline passes first.
pub async fn wait_outcome(
    mut receiver: OutcomeReceiver,
    deadline: Deadline,
) -> Option<CallOutcome> {
    let settled = receiver.wait_for(Option::is_some);
    timeout(deadline.time_left(), settled).await.ok()?.ok()?.clone()
}
