//! Short queue of requests that wait for a slot.

use std::collections::BTreeMap;
use std::time::Duration;

use rhubarblanding_core::prelude::*;

use super::{AgePolicy, Arrival};

/// Number of values of [`Importance`].
const CLASSES: usize = 4;

/// A request in the queue.
#[derive(Clone, Copy, Debug)]
pub(super) struct Queued {
    pub(super) arrival: Arrival,
    pub(super) since: MonoTime,
    pub(super) timer: TimerKey,
}

#[derive(Clone, Copy, Debug)]
struct Place {
    class: usize,
    serial: u64,
}

/// Requests by importance, within one importance by age.
#[derive(Debug, Default)]
pub(super) struct Queue {
    classes: [BTreeMap<u64, Queued>; CLASSES],
    places: HashMap<u64, Place>,
    next_serial: u64,
}

impl Queue {
    pub(super) fn len(&self) -> usize {
        self.places.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    pub(super) fn contains(&self, id: u64) -> bool {
        self.places.contains_key(&id)
    }

    /// Number of requests of at least `importance`.
    pub(super) fn len_from(&self, importance: Importance) -> usize {
        self.classes[importance as usize..]
            .iter()
            .map(BTreeMap::len)
            .sum()
    }

    pub(super) fn push(&mut self, class: Importance, queued: Queued) {
        let place = Place {
            class: class as usize,
            serial: self.next_serial,
        };
        self.next_serial += 1;
        self.places.insert(queued.arrival.id, place);
        self.classes[place.class].insert(place.serial, queued);
    }

    pub(super) fn remove(&mut self, id: u64) -> Option<Queued> {
        let place = self.places.remove(&id)?;
        self.classes[place.class].remove(&place.serial)
    }

    /// Takes the request that is admitted next.
    pub(super) fn pop(
        &mut self,
        now: MonoTime,
        policy: AgePolicy,
        lifo_after: Duration,
    ) -> Option<Queued> {
        let class = self.classes.iter().rposition(|c| !c.is_empty())?;
        let waiting = &self.classes[class];
        let oldest = waiting.first_key_value()?.1;
        let turned = policy == AgePolicy::AdaptiveLifo && now.since(oldest.since) > lifo_after;
        let next = if turned {
            waiting.last_key_value()?.1
        } else {
            oldest
        };
        self.remove(next.arrival.id)
    }

    /// Priority and number of the request that is refused first: the lowest priority, of these
    /// the newest.
    pub(super) fn lowest(&self) -> Option<(Priority, u64)> {
        let waiting = self.classes.iter().find(|c| !c.is_empty())?;
        waiting
            .iter()
            .min_by_key(|(serial, queued)| (queued.arrival.priority, std::cmp::Reverse(**serial)))
            .map(|(_, queued)| (queued.arrival.priority, queued.arrival.id))
    }

    /// Takes every request.
    pub(super) fn take_all(&mut self) -> Vec<Queued> {
        self.places.clear();
        self.classes
            .iter_mut()
            .flat_map(std::mem::take)
            .map(|(_, queued)| queued)
            .collect()
    }
}
