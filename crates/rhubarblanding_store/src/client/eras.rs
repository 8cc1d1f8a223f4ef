//! Era of the service, as its answers report it.

use std::sync::atomic::{AtomicBool, Ordering};

use tokio::sync::watch;

use crate::value::Era;

/// Latest era that an answer reported. Eras only rise.
#[derive(Debug)]
pub(super) struct Eras {
    latest: watch::Sender<Era>,
    /// `true` once an answer reported an era.
    reported: AtomicBool,
}

impl Default for Eras {
    fn default() -> Self {
        Self {
            latest: watch::Sender::new(Era::default()),
            reported: AtomicBool::new(false),
        }
    }
}

impl Eras {
    pub(super) fn current(&self) -> Era {
        *self.latest.borrow()
    }

    pub(super) fn subscribe(&self) -> watch::Receiver<Era> {
        self.latest.subscribe()
    }

    /// Takes the era of an answer; returns `None` if the answer is of an earlier era than one
    /// that is already known. The first era that is reported is not a change.
    pub(super) fn observe(&self, reported: Option<Era>) -> Option<Era> {
        let Some(era) = reported else {
            return Some(self.current());
        };
        let is_first = !self.reported.swap(true, Ordering::Relaxed);
        let mut is_old = false;
        self.latest.send_if_modified(|latest| {
            is_old = era < *latest;
            let has_risen = era > *latest;
            if has_risen {
                if !is_first {
                    log::warn!(era = era.0, before = latest.0; "store_restored");
                }
                *latest = era;
            }
            has_risen && !is_first
        });
        (!is_old).then_some(era)
    }
}
