//! Waits that tell a silent peer from a process that did not run.
//!
//! A process that gets no processor for a while wakes with its timers over and with bytes in its
//! sockets. The tasks that read the connections run after the one whose timer is over, which would
//! take the answer for missing though it came in time.

use guava_types::Deadline;
use std::future::poll_fn;
use std::pin::pin;
use std::task::Poll;
use tokio::task::yield_now;
use tokio::time::timeout;

/// Turns of the runtime in which bytes that lie in a socket reach who waits for them: one for the
/// socket, and one for each task on the way, with some for an answer that is read in pieces.
const SETTLE_TURNS: usize = 8;

/// Waits for a future until a deadline; what has arrived by then counts, also if it was not read yet.
pub async fn until<F: Future>(deadline: Deadline, future: F) -> Option<F::Output> {
    let mut future = pin!(future);
    if let Ok(done) = timeout(deadline.time_left(), &mut future).await {
        return Some(done);
    }
    for _ in 0..SETTLE_TURNS {
        yield_now().await;
        let polled = poll_fn(|context| Poll::Ready(future.as_mut().poll(context))).await;
        if let Poll::Ready(done) = polled {
            return Some(done);
        }
    }
    None
}
