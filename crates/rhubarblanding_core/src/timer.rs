//! Timer service: stores events with their due times and returns them when they are due.
//!
//! The service reads no clock. Its owner calls [`TimerService::expire`] with the current time and
//! sleeps until [`TimerService::next_due`].

use std::collections::BTreeMap;

use crate::time::MonoTime;

/// Key of one subscription: its due time and a number that makes it unique.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerKey {
    due: MonoTime,
    serial: u64,
}

/// Events that are not yet due.
#[derive(Clone, Debug)]
pub struct TimerService<E> {
    pending: BTreeMap<TimerKey, E>,
    next_serial: u64,
}

impl<E> Default for TimerService<E> {
    fn default() -> Self {
        Self {
            pending: BTreeMap::new(),
            next_serial: 0,
        }
    }
}

impl<E> TimerService<E> {
    /// Creates a service without subscriptions.
    pub fn new() -> Self {
        Self::default()
    }

    /// Subscribes `event` for `due`.
    pub fn subscribe(&mut self, due: MonoTime, event: E) -> TimerKey {
        let key = TimerKey {
            due,
            serial: self.next_serial,
        };
        self.next_serial += 1;
        self.pending.insert(key, event);
        key
    }

    /// Cancels a subscription and returns its event, or `None` if it has expired or was
    /// cancelled.
    pub fn cancel(&mut self, key: TimerKey) -> Option<E> {
        self.pending.remove(&key)
    }

    /// Removes and returns the events that are due at `now`, earliest first.
    pub fn expire(&mut self, now: MonoTime) -> Vec<E> {
        let mut due = Vec::new();
        while let Some(entry) = self.pending.first_entry() {
            if entry.key().due > now {
                break;
            }
            due.push(entry.remove());
        }
        due
    }

    /// Returns the due time of the earliest subscription.
    pub fn next_due(&self) -> Option<MonoTime> {
        self.pending.keys().next().map(|key| key.due)
    }

    /// Returns the number of subscriptions.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Returns `true` if there is no subscription.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}
