//! Locking what threads share, for a few steps without waiting.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex. Nothing panics half-way through a change of what it guards, so that its
/// contents are whole also after a panic.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
