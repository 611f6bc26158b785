//! What the users of a connection's account share.

use crate::budget_table::SharedTable;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64};
use tokio::sync::Notify;

/// State of an account; its connection's entry is removed when this is dropped.
pub(crate) struct AccountState {
    pub(crate) table: SharedTable,
    pub(crate) number: u64,
    /// Tells the connection to close.
    pub(crate) closing: Arc<Notify>,
    pub(crate) next_piece: AtomicU64,
    /// Copies of what the entry says, so that most reads and writes need no lock.
    pub(crate) is_blocked: AtomicBool,
    pub(crate) is_ahead: AtomicBool,
}

impl AccountState {
    pub(crate) fn new(table: &SharedTable, number: u64, closing: Arc<Notify>) -> Self {
        Self {
            table: table.clone(),
            number,
            closing,
            next_piece: AtomicU64::new(0),
            is_blocked: AtomicBool::new(false),
            is_ahead: AtomicBool::new(false),
        }
    }
}

impl Drop for AccountState {
    fn drop(&mut self) {
        self.table.lock().remove(self.number);
    }
}
