//! Bytes that count against the budget until they are given back.

use crate::account_state::AccountState;
use crate::budget_table::SharedTable;
use crate::close_reason::CloseReason;
use std::sync::Arc;

/// Bytes held, of a connection or of the process; given back when this is dropped.
pub struct HeldBytes {
    table: SharedTable,
    /// Keeps the connection's entry for as long as bytes are charged to it.
    account: Option<Arc<AccountState>>,
    count: usize,
}

impl HeldBytes {
    pub(crate) fn of_process(table: &SharedTable) -> Self {
        Self { table: table.clone(), account: None, count: 0 }
    }

    pub(crate) fn of_connection(account: &Arc<AccountState>) -> Self {
        Self { table: account.table.clone(), account: Some(Arc::clone(account)), count: 0 }
    }

    fn connection(&self) -> Option<u64> {
        self.account.as_ref().map(|account| account.number)
    }

    /// Reserves more bytes; returns `false` and reserves none if that would exceed the limit.
    ///
    /// A process over its memory limit is killed with all its requests. Refusing some requests keeps
    /// the others.
    pub fn grow(&mut self, count: usize) -> bool {
        let mut table = self.table.lock();
        let has_room = table.has_room(count);
        if has_room {
            table.charge(self.connection(), count);
            drop(table);
            self.count += count;
        } else {
            table.note(CloseReason::NoBytes);
        }
        has_room
    }

    /// Changes what is reserved to so many bytes; returns `false` if that would exceed the limit.
    pub fn resize(&mut self, count: usize) -> bool {
        match count.checked_sub(self.count) {
            Some(more) => self.grow(more),
            None => {
                self.table.lock().give_back(self.connection(), self.count - count);
                self.count = count;
                true
            }
        }
    }

    /// Adds bytes that are held already, whatever the limit is.
    pub(crate) fn add_held(&mut self, count: usize) {
        if let Some(number) = self.connection() {
            self.table.lock().charge_held(number, count);
            self.count += count;
        }
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        if self.count > 0 {
            self.table.lock().give_back(self.connection(), self.count);
        }
    }
}
