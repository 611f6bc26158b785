//! Waits with a deadline that tell a missing answer from a process that did not run.
//!
//! A process that gets no processor time for a while resumes with expired timers and with unread
//! bytes in its sockets. The task whose timer expired runs before the tasks that read the
//! connections, and would take the answer for missing although it arrived in time.

use guava_types::{Deadline, Moment};
use std::future::poll_fn;
use std::pin::pin;
use std::task::Poll;
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::timeout;

/// Polls after the deadline in which bytes that lie in a socket reach the waiting task: one for the
/// socket, one for each task in between, and some more for an answer that is read in several pieces.
const MAX_SETTLE_POLLS: usize = 8;

/// Waits for a future until a deadline; `None` if it did not complete.
///
/// An answer that arrived before the deadline counts even if it was not read by then.
pub async fn until<F: Future>(deadline: Deadline, future: F) -> Option<F::Output> {
    let mut future = pin!(future);
    if let Ok(done) = timeout(deadline.time_left(), &mut future).await {
        return Some(done);
    }
    for _ in 0..MAX_SETTLE_POLLS {
        yield_now().await;
        let polled = poll_fn(|context| Poll::Ready(future.as_mut().poll(context))).await;
        if let Poll::Ready(done) = polled {
            return Some(done);
        }
    }
    None
}

/// Interval at which a wait notes that it goes on, in milliseconds.
const WAIT_NOTE_INTERVAL_MS: u64 = 100;

/// Waits for an answer; returns it with the last moment at which it is known not to have arrived.
///
/// A timer that is over says nothing of a socket that was not read meanwhile, so that moment is the
/// timer's before: the process has read its sockets since.
pub async fn with_last_wait<F: Future>(future: F) -> (F::Output, Option<Moment>) {
    let mut future = pin!(future);
    let (mut last_wait, mut last_timer) = (None, None);
    loop {
        match timeout(Duration::from_millis(WAIT_NOTE_INTERVAL_MS), &mut future).await {
            Ok(answer) => return (answer, last_wait),
            Err(_) => last_wait = last_timer.replace(Moment::now()),
        }
    }
}
