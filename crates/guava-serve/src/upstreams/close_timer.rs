//! Closes sockets at their deadlines, on a thread of its own.
//!
//! Two upstreams must not work on one stream for long. The thread that serves requests may be busy with
//! other tasks while they do. Where the whole process gets no processor time, this thread gets none either.

use crate::upstreams::socket_handle::SocketDuplicate;
use guava_types::{Deadline, Moment};
use std::cell::OnceCell;
use std::collections::BTreeMap;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, OnceLock, PoisonError};

/// Sockets that are due to be closed, and the thread that closes them.
#[derive(Debug, Default)]
pub struct CloseTimer {
    queue: Arc<CloseQueue>,
    /// Whether the thread runs, once a socket was due.
    is_running: OnceCell<bool>,
}

#[derive(Debug, Default)]
struct CloseQueue {
    due: Mutex<DueSockets>,
    changed: Condvar,
}

/// Order of the sockets: by deadline, then by number.
type DueKey = (Deadline, u64);

#[derive(Debug, Default)]
struct DueSockets {
    sockets: BTreeMap<DueKey, DueSocket>,
    next_number: u64,
    is_over: bool,
}

#[derive(Debug)]
struct DueSocket {
    socket: SocketDuplicate,
    closed: Arc<OnceLock<Moment>>,
}

/// A socket that is closed at its deadline, unless this is dropped before.
#[derive(Debug)]
pub struct PendingClose {
    queue: Arc<CloseQueue>,
    key: DueKey,
    closed: Arc<OnceLock<Moment>>,
}

impl CloseTimer {
    /// Closes a socket at a deadline; `None` if there is no thread that could.
    pub fn close_at(&self, socket: SocketDuplicate, deadline: Deadline) -> Option<PendingClose> {
        if !*self.is_running.get_or_init(|| start(&self.queue)) {
            return None;
        }
        let closed = Arc::<OnceLock<Moment>>::default();
        let mut due = self.queue.lock();
        let key = (deadline, due.next_number);
        due.next_number += 1;
        due.sockets.insert(key, DueSocket { socket, closed: Arc::clone(&closed) });
        drop(due);
        self.queue.changed.notify_one();
        Some(PendingClose { queue: Arc::clone(&self.queue), key, closed })
    }
}

impl Drop for CloseTimer {
    fn drop(&mut self) {
        self.queue.lock().is_over = true;
        self.queue.changed.notify_one();
    }
}

impl PendingClose {
    /// Withdraws the close; returns when the socket was closed, if it was.
    pub fn withdraw(&self) -> Option<Moment> {
        self.queue.lock().sockets.remove(&self.key);
        self.closed.get().copied()
    }
}

impl Drop for PendingClose {
    fn drop(&mut self) {
        self.withdraw();
    }
}

impl CloseQueue {
    fn lock(&self) -> MutexGuard<'_, DueSockets> {
        self.due.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Closes what is due until the timer is dropped.
    fn run(&self) {
        let mut due = self.lock();
        while !due.is_over {
            let now = Moment::now();
            let Some((deadline, _)) = due.sockets.first_key_value().map(|(key, _)| *key) else {
                due = self.changed.wait(due).unwrap_or_else(PoisonError::into_inner);
                continue;
            };
            if !deadline.passed(now) {
                let waited = self.changed.wait_timeout(due, deadline.time_left());
                due = waited.unwrap_or_else(PoisonError::into_inner).0;
            } else if let Some((_, due)) = due.sockets.pop_first() {
                due.socket.close();
                due.closed.get_or_init(|| now);
            }
        }
    }
}

/// Starts the thread of a queue; returns whether it runs.
fn start(queue: &Arc<CloseQueue>) -> bool {
    let queue = Arc::clone(queue);
    std::thread::Builder::new().name("close".into()).spawn(move || queue.run()).is_ok()
}
