//! Priority queue of requests that wait for a slot.

use std::collections::BTreeSet;

use rhubarblanding_core::prelude::*;

use super::SlotArrival;

/// A request in the queue.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiting {
    pub(super) arrival: SlotArrival,
    pub(super) since: MonoTime,
    pub(super) timer: TimerKey,
    order: Order,
}

/// Sort key of a waiting request; the smallest gets the next slot.
///
/// Requests that can still meet their objective go before those that cannot, more urgent ones
/// before less urgent ones, and among equals the one with the earliest objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Order {
    late: bool,
    rank: u8,
    due: MonoTime,
    id: u64,
}

/// Waiting requests by identifier and by order.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    by_id: HashMap<u64, Waiting>,
    order: BTreeSet<Order>,
}

impl Queue {
    pub(super) fn len(&self) -> usize {
        self.by_id.len()
    }

    pub(super) fn push(&mut self, arrival: SlotArrival, since: MonoTime, timer: TimerKey) {
        let order = Order {
            late: false,
            rank: arrival.rank,
            due: arrival.objective,
            id: arrival.id,
        };
        let waiting = Waiting {
            arrival,
            since,
            timer,
            order,
        };
        self.order.insert(order);
        self.by_id.insert(arrival.id, waiting);
    }

    pub(super) fn get(&self, id: u64) -> Option<&Waiting> {
        self.by_id.get(&id)
    }

    pub(super) fn remove(&mut self, id: u64) -> Option<Waiting> {
        let waiting = self.by_id.remove(&id)?;
        self.order.remove(&waiting.order);
        Some(waiting)
    }

    pub(super) fn pop(&mut self) -> Option<Waiting> {
        let first = self.order.pop_first()?;
        self.by_id.remove(&first.id)
    }

    /// Moves a request behind all that can still meet their objective.
    pub(super) fn set_late(&mut self, id: u64, timer: TimerKey) {
        let Some(waiting) = self.by_id.get_mut(&id) else {
            return;
        };
        self.order.remove(&waiting.order);
        waiting.timer = timer;
        waiting.order.late = true;
        waiting.order.due = waiting.arrival.deadline;
        self.order.insert(waiting.order);
    }

    /// Returns the number of waiting requests before one of `rank` that is not late.
    pub(super) fn ahead_of(&self, rank: u8, due: MonoTime) -> usize {
        let end = Order {
            late: false,
            rank,
            due,
            id: u64::MAX,
        };
        self.order.range(..=end).count()
    }

    /// Returns the last request in the order if it is late or less urgent than `rank`.
    pub(super) fn last_below(&self, rank: u8) -> Option<u64> {
        let last = self.order.last()?;
        (last.late || last.rank > rank).then_some(last.id)
    }

    /// Returns the identifiers of the waiting requests in their order.
    pub(super) fn ids(&self) -> Vec<u64> {
        self.order.iter().map(|order| order.id).collect()
    }

    pub(super) fn take_all(&mut self) -> Vec<Waiting> {
        self.order.clear();
        std::mem::take(&mut self.by_id).into_values().collect()
    }
}
