//! Counts requests in progress, so that a shutdown can wait for them.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The count.
#[derive(Clone, Debug, Default)]
pub struct WorkGauge {
    running: Arc<AtomicUsize>,
}

/// One request in progress, until it is dropped.
#[derive(Debug)]
pub struct WorkGuard {
    running: Arc<AtomicUsize>,
}

impl WorkGauge {
    /// Counts one request.
    pub fn enter(&self) -> WorkGuard {
        self.running.fetch_add(1, Ordering::AcqRel);
        WorkGuard { running: Arc::clone(&self.running) }
    }

    /// How many run.
    pub fn running(&self) -> usize {
        self.running.load(Ordering::Acquire)
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.running.fetch_sub(1, Ordering::AcqRel);
    }
}
