//! The account of one client's connection.

use crate::account_state::AccountState;
use crate::budget_table::SharedTable;
use crate::client_limits::REQUEST_BYTES;
use crate::connection_entry::{ConnectionEntry, UntakenPiece};
use crate::held_bytes::HeldBytes;
use crate::turn_gate::TurnGate;
use http::HeaderMap;
use std::fmt;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tokio::sync::Notify;

/// What the bytes of a head take at most in a buffer that grows for them.
const GROWTH_FACTOR: usize = 2;
/// The same of a request in service, which has another copy for its upstream.
const HEAD_COPIES: usize = GROWTH_FACTOR + 1;

/// A connection's account; clones share it, and it ends with the last of them.
#[derive(Clone)]
pub struct ConnectionAccount {
    state: Arc<AccountState>,
    turns: TurnGate,
}

impl fmt::Debug for ConnectionAccount {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.debug_tuple("ConnectionAccount").field(&self.state.number).finish()
    }
}

impl ConnectionAccount {
    pub(crate) fn new(
        table: &SharedTable,
        number: u64,
        closing: Arc<Notify>,
        turns: TurnGate,
    ) -> Self {
        Self { state: Arc::new(AccountState::new(table, number, closing)), turns }
    }

    fn update<T>(&self, change: impl FnOnce(&mut ConnectionEntry, u64) -> T) -> Option<T> {
        let mut table = self.state.table.lock();
        let now_ms = table.now_ms();
        table.entry(self.state.number).map(|entry| change(entry, now_ms))
    }

    /// Waits until the connection is to be closed.
    pub async fn closed(&self) {
        self.state.closing.notified().await;
    }

    /// Whether the connection's close is to drop what its client has not taken.
    pub(crate) fn is_abortive(&self) -> bool {
        self.update(|entry, _| entry.is_abortive).unwrap_or(false)
    }

    /// A reservation that can grow.
    pub fn hold_nothing(&self) -> HeldBytes {
        HeldBytes::of_connection(&self.state)
    }

    /// Reserves bytes; `None` if they would exceed the limit of all clients.
    pub fn hold(&self, count: usize) -> Option<HeldBytes> {
        let mut held = self.hold_nothing();
        held.grow(count).then_some(held)
    }

    /// Reserves what a request in service takes, with its head, in a buffer that had to grow for it, and the
    /// copy for its upstream; `None` if that would exceed the limit of all clients.
    pub fn hold_request(&self, headers: &HeaderMap) -> Option<HeldBytes> {
        let fields = headers.iter().map(|(name, value)| name.as_str().len() + value.len());
        self.hold(REQUEST_BYTES + HEAD_COPIES * fields.sum::<usize>())
    }

    /// Begins the service of a request whose head is complete.
    pub fn begin_request(&self) -> RequestService {
        self.end_head();
        self.update(|entry, _| entry.in_service += 1);
        RequestService { account: self.clone() }
    }

    fn end_head(&self) {
        let head = self.update(|entry, _| entry.head.take()).flatten();
        if let Some((_, bytes)) = head {
            self.state.table.lock().give_back(Some(self.state.number), bytes);
        }
    }

    /// Notes that the body of a request is read.
    pub fn begin_body(&self) -> BodyRead {
        let number = self.next_piece();
        self.update(|entry, now_ms| {
            entry.bodies.push(UntakenPiece { number, since_ms: now_ms });
        });
        BodyRead { account: self.clone(), number }
    }

    fn next_piece(&self) -> u64 {
        self.state.next_piece.fetch_add(1, Ordering::Relaxed)
    }

    /// Notes that the connection carries several requests at a time.
    pub(crate) fn note_multiplexed(&self) {
        self.update(|entry, _| entry.is_multiplexed = true);
    }

    pub(crate) fn is_multiplexed(&self) -> bool {
        self.update(|entry, _| entry.is_multiplexed).unwrap_or(false)
    }

    /// Notes bytes read from the client.
    pub(crate) fn note_read(&self, count: usize) {
        let mut table = self.state.table.lock();
        let now_ms = table.now_ms();
        let Some(entry) = table.entry(self.state.number) else { return };
        if entry.is_multiplexed || !entry.bodies.is_empty() {
            return;
        }
        if entry.in_service == 0 {
            let count = count * GROWTH_FACTOR;
            let (since_ms, bytes) = entry.head.unwrap_or((now_ms, 0));
            entry.head = Some((since_ms, bytes + count));
            table.charge_held(self.state.number, count);
        } else if entry.ahead_since_ms.is_none() {
            entry.ahead_since_ms = Some(now_ms);
            // What else it sends stays in the kernel's buffer.
            let bytes = table.socket_buffer_bytes();
            table.charge_held(self.state.number, bytes);
            self.state.is_ahead.store(true, Ordering::Relaxed);
        }
    }

    /// Notes that the client has sent no more than was read.
    pub(crate) fn note_drained(&self) {
        if !self.state.is_ahead.load(Ordering::Relaxed) {
            return;
        }
        let was_ahead = self.update(|entry, _| {
            (entry.in_service == 0).then(|| entry.ahead_since_ms.take()).flatten().is_some()
        });
        if was_ahead == Some(true) {
            self.state.is_ahead.store(false, Ordering::Relaxed);
            self.give_buffer_back();
        }
    }

    /// Notes that the client takes no more for the moment, so that the kernel's buffer is full.
    pub(crate) fn note_blocked(&self) {
        if self.state.is_blocked.swap(true, Ordering::Relaxed) {
            return;
        }
        let mut table = self.state.table.lock();
        let now_ms = table.now_ms();
        if let Some(entry) = table.entry(self.state.number) {
            entry.blocked_since_ms = Some(now_ms);
            let bytes = table.socket_buffer_bytes();
            table.charge_held(self.state.number, bytes);
        }
    }

    /// Notes that everything was written.
    pub(crate) fn note_flushed(&self) {
        if !self.state.is_blocked.swap(false, Ordering::Relaxed) {
            return;
        }
        if self.update(|entry, _| entry.blocked_since_ms.take()).flatten().is_some() {
            self.give_buffer_back();
        }
    }

    fn give_buffer_back(&self) {
        let mut table = self.state.table.lock();
        let bytes = table.socket_buffer_bytes();
        table.give_back(Some(self.state.number), bytes);
    }

    /// Charges a piece of an answer until the client has taken it.
    pub(crate) fn hold_piece(&self, count: usize) -> AnswerPiece {
        let number = self.next_piece();
        self.update(|entry, now_ms| {
            entry.untaken.push(UntakenPiece { number, since_ms: now_ms });
        });
        let mut held = self.hold_nothing();
        held.add_held(count);
        AnswerPiece { account: self.clone(), number, _held: held }
    }
}

/// A request in service, until its answer is written or its connection ends.
#[derive(Debug)]
pub struct RequestService {
    account: ConnectionAccount,
}

impl RequestService {
    /// Waits for the request's turn among those of all connections.
    pub async fn turn(&self) {
        self.account.turns.enter().await;
    }

    /// The account of the request's connection.
    pub fn account(&self) -> &ConnectionAccount {
        &self.account
    }
}

impl Drop for RequestService {
    fn drop(&mut self) {
        self.account.update(|entry, now_ms| {
            entry.in_service -= 1;
            entry.has_served = true;
            entry.idle_since_ms = now_ms;
        });
    }
}

/// The reading of a request's body, until this is dropped.
#[derive(Debug)]
pub struct BodyRead {
    account: ConnectionAccount,
    number: u64,
}

impl Drop for BodyRead {
    fn drop(&mut self) {
        self.account.update(|entry, _| entry.bodies.retain(|body| body.number != self.number));
    }
}

/// A piece of an answer that its client has not taken.
pub(crate) struct AnswerPiece {
    account: ConnectionAccount,
    number: u64,
    _held: HeldBytes,
}

impl Drop for AnswerPiece {
    fn drop(&mut self) {
        self.account.update(|entry, _| entry.untaken.retain(|piece| piece.number != self.number));
    }
}
