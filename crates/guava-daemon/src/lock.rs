//! Locks that outlive a panic.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Takes a lock; a panic in another holder doesn't take the daemon down with it.
pub fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
