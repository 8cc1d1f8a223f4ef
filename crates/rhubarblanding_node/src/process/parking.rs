//! Locks whose holders never panic.

pub use std::sync::Mutex;
use std::sync::{MutexGuard, PoisonError};

/// Locks `mutex`; a panic of an earlier holder does not spread.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
