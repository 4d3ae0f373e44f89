//! Locks for state shared between threads, held only briefly and never across an
//! await.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex and ignores poisoning. No code panics half-way through a change of the
/// guarded data, so the data is consistent even after a panic.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
