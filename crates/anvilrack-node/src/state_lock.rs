//! Locking state that stays usable after a panic elsewhere.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks; each change of the state is complete by itself, so a poisoned lock is taken all the same.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
