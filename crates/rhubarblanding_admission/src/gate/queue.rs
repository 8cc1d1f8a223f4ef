//! Bounded queue of requests that wait for a slot.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rhubarblanding_core::prelude::*;

use super::{AgePolicy, Arrival};

/// Number of values of [`Importance`].
const CLASSES: usize = Importance::Critical as usize + 1;

/// A request in the queue.
#[derive(Clone, Copy, Debug)]
pub(super) struct Queued {
    pub(super) arrival: Arrival,
    pub(super) class: Importance,
    pub(super) since: MonoTime,
    pub(super) timer: TimerKey,
}

/// Order of eviction, first to last: lowest importance, lowest priority, newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct EvictionKey {
    class: Importance,
    priority: Priority,
    serial: Reverse<u64>,
    id: u64,
}

/// Waiting requests by importance, and by age within one importance.
#[derive(Debug, Default)]
pub(super) struct Queue {
    classes: [BTreeMap<u64, Queued>; CLASSES],
    evictions: BTreeSet<EvictionKey>,
    keys_by_id: HashMap<u64, EvictionKey>,
    next_serial: u64,
}

impl Queue {
    pub(super) fn len(&self) -> usize {
        self.keys_by_id.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.keys_by_id.is_empty()
    }

    pub(super) fn contains(&self, id: u64) -> bool {
        self.keys_by_id.contains_key(&id)
    }

    /// Returns the number of requests with at least the importance `class`.
    pub(super) fn len_from(&self, class: Importance) -> usize {
        self.classes[class as usize..]
            .iter()
            .map(BTreeMap::len)
            .sum()
    }

    pub(super) fn push(&mut self, queued: Queued) {
        let key = EvictionKey {
            class: queued.class,
            priority: queued.arrival.priority,
            serial: Reverse(self.next_serial),
            id: queued.arrival.id,
        };
        self.next_serial += 1;
        self.keys_by_id.insert(key.id, key);
        self.evictions.insert(key);
        self.classes[key.class as usize].insert(key.serial.0, queued);
    }

    pub(super) fn remove(&mut self, id: u64) -> Option<Queued> {
        let key = self.keys_by_id.remove(&id)?;
        self.evictions.remove(&key);
        self.classes[key.class as usize].remove(&key.serial.0)
    }

    /// Removes and returns the request to admit next.
    pub(super) fn pop(
        &mut self,
        now: MonoTime,
        policy: AgePolicy,
        lifo_after: Duration,
    ) -> Option<Queued> {
        let class = self.classes.iter().rposition(|c| !c.is_empty())?;
        let waiting = &self.classes[class];
        let oldest = waiting.first_key_value()?.1;
        let newest_first =
            policy == AgePolicy::AdaptiveLifo && now.since(oldest.since) > lifo_after;
        let next = if newest_first {
            waiting.last_key_value()?.1
        } else {
            oldest
        };
        self.remove(next.arrival.id)
    }

    /// Returns the request to evict first.
    pub(super) fn lowest(&self) -> Option<&Queued> {
        let key = self.evictions.first()?;
        self.classes[key.class as usize].get(&key.serial.0)
    }

    /// Removes and returns all requests.
    pub(super) fn take_all(&mut self) -> Vec<Queued> {
        self.keys_by_id.clear();
        self.evictions.clear();
        self.classes
            .iter_mut()
            .flat_map(std::mem::take)
            .map(|(_, queued)| queued)
            .collect()
    }
}
