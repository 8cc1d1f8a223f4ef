//! Number of calls made, by kind.

use std::sync::atomic::{AtomicU64, Ordering};

use strum::EnumCount;

use crate::codec::CallKind;

/// Number of calls of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCount {
    /// Calls that were begun.
    pub made: u64,
    /// Of these, calls without an answer: not connected, cut off, or out of time.
    pub unanswered: u64,
}

/// Calls of a client since it was created.
#[derive(Debug, Default)]
pub(super) struct CallCounts {
    made: [AtomicU64; CallKind::COUNT],
    unanswered: [AtomicU64; CallKind::COUNT],
}

impl CallCounts {
    pub(super) fn begin(&self, kind: CallKind) {
        self.made[kind as usize].fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn fail(&self, kind: CallKind) {
        self.unanswered[kind as usize].fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn get(&self, kind: CallKind) -> CallCount {
        CallCount {
            made: self.made[kind as usize].load(Ordering::Relaxed),
            unanswered: self.unanswered[kind as usize].load(Ordering::Relaxed),
        }
    }
}
