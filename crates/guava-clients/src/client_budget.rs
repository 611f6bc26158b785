//! The budget of a process: bytes and places of all clients' connections.

use crate::budget_table::{BudgetLevels, SharedTable};
use crate::client_limits::{ClientLimits, ClientTimes, ListenerPlaces};
use crate::close_reason::CloseReason;
use crate::connection_account::ConnectionAccount;
use crate::events;
use crate::held_bytes::HeldBytes;
use crate::turn_gate::TurnGate;
use guava_log::log_event;
use guava_types::Moment;
use socket2::SockRef;
use std::os::fd::AsFd;
use std::sync::{Arc, Mutex, PoisonError};

/// The system doubles the size that it is asked for, to make room for its own records.
const KERNEL_OVERHEAD_FACTOR: usize = 2;

/// The budget; clones share it.
#[derive(Clone)]
pub struct ClientBudget {
    table: SharedTable,
    turns: TurnGate,
    /// What was closed, as of the last log lines.
    reported: Arc<Mutex<BudgetLevels>>,
}

impl ClientBudget {
    /// A budget of which nothing is held.
    pub fn new(limits: ClientLimits) -> Self {
        Self {
            table: SharedTable::new(limits),
            turns: TurnGate::default(),
            reported: Arc::default(),
        }
    }

    /// Changes the number of connections that may be open.
    pub fn set_connections(&self, connections: usize) {
        self.table.lock().set_connections(connections);
    }

    /// Opens the account of a connection that was accepted at a listener. If all places are taken,
    /// another connection is closed for it; `None` if none may be.
    pub fn open(&self, places: ListenerPlaces, times: ClientTimes) -> Option<ConnectionAccount> {
        let (number, closing) = self.table.lock().open(places, times)?;
        Some(ConnectionAccount::new(&self.table, number, closing, self.turns.clone()))
    }

    /// Whether all places are taken.
    pub fn is_full(&self) -> bool {
        self.table.lock().is_full()
    }

    /// Closes a connection, after the system refused a descriptor for another one.
    pub fn make_place(&self) {
        self.table.lock().evict(CloseReason::Places, |_, _| true);
    }

    /// Bounds the kernel's buffers of a listener's connections, which the system would otherwise grow by
    /// megabytes; fails with the error of the system call.
    pub fn bound_buffers<S: AsFd>(&self, listener: &S) -> std::io::Result<()> {
        let socket = SockRef::from(listener);
        let bytes = self.table.lock().socket_buffer_bytes() / KERNEL_OVERHEAD_FACTOR;
        socket.set_recv_buffer_size(bytes)?;
        socket.set_send_buffer_size(bytes)
    }

    /// Reserves bytes that belong to no connection; `None` if they would exceed the limit.
    pub fn hold(&self, count: usize) -> Option<HeldBytes> {
        let mut held = HeldBytes::of_process(&self.table);
        held.grow(count).then_some(held)
    }

    /// Advances the time for which connections have stood still, closes those that are overdue, and
    /// logs what was closed since the last time. To be called a few times a second.
    pub fn sweep(&self, now: Moment) {
        self.table.lock().advance(now);
        let levels = self.levels();
        let mut reported = self.reported.lock().unwrap_or_else(PoisonError::into_inner);
        let before = std::mem::replace(&mut *reported, levels);
        drop(reported);
        for reason in CloseReason::ALL {
            let count = levels.closed[reason.index()] - before.closed[reason.index()];
            if count > 0 {
                log_event!(
                    warn,
                    events::CONNECTIONS_CLOSED,
                    reason = reason,
                    count = count,
                    open = levels.connections,
                    held_bytes = levels.bytes
                );
            }
        }
    }

    /// What is held, and what was closed.
    pub fn levels(&self) -> BudgetLevels {
        self.table.lock().levels()
    }
}
