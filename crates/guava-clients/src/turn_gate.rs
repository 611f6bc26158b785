//! Lets other tasks of a thread have their turn between clients' requests.
//!
//! A thread runs the tasks that are ready one after the other. Clients that always have a request ready
//! would fill it, and what keeps a daemon in service, its lease, messages and readiness, would wait for
//! all of them. So only a few requests begin before the thread has looked at its timers and sockets
//! again.

use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use tokio::sync::{Notify, Semaphore};
use tokio::task::yield_now;

/// Requests that may begin in one turn.
const REQUESTS_PER_TURN: usize = 32;

struct GateState {
    begins: Semaphore,
    is_turning: AtomicBool,
    /// Tells one of those that wait to begin the next turn.
    turn_over: Notify,
}

/// The gate; clones share it.
#[derive(Clone)]
pub struct TurnGate(Arc<GateState>);

impl Default for TurnGate {
    fn default() -> Self {
        Self(Arc::new(GateState {
            begins: Semaphore::new(REQUESTS_PER_TURN),
            is_turning: AtomicBool::new(false),
            turn_over: Notify::new(),
        }))
    }
}

/// Begins the next turn when it is dropped, as the request that waits for it may be given up.
struct NextTurn<'a>(&'a GateState);

impl Drop for NextTurn<'_> {
    fn drop(&mut self) {
        self.0.is_turning.store(false, Ordering::Release);
        self.0.begins.add_permits(REQUESTS_PER_TURN);
        self.0.turn_over.notify_one();
    }
}

impl TurnGate {
    /// Waits until a request may begin, in the order of arrival.
    pub async fn enter(&self) {
        if let Ok(permit) = self.0.begins.try_acquire() {
            permit.forget();
            return;
        }
        let mut begin = pin!(self.0.begins.acquire());
        loop {
            let is_mine = !self.0.is_turning.swap(true, Ordering::AcqRel);
            let next = is_mine.then(|| NextTurn(&self.0));
            let turn = async {
                match &next {
                    Some(_) => yield_now().await,
                    None => self.0.turn_over.notified().await,
                }
            };
            tokio::select! {
                biased;
                permit = begin.as_mut() => {
                    // The semaphore is never closed.
                    permit.into_iter().for_each(|permit| permit.forget());
                    return;
                }
                () = turn => {}
            }
        }
    }
}
