//! Priority queue of requests that wait for a slot.

use std::collections::BTreeMap;
use std::time::Duration;

use rhubarblanding_core::prelude::*;

use super::SlotArrival;
use super::fair::FairQueue;

/// A request in the queue.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiting {
    pub(super) arrival: SlotArrival,
    pub(super) since: MonoTime,
    pub(super) timer: TimerKey,
    /// Expected time for which it holds a slot.
    hold: Duration,
    class: Class,
    due: MonoTime,
}

/// Requests of equal urgency; the smallest class with waiting requests gets the next slot.
///
/// Requests that can still meet their objective go before those that cannot, and more urgent ones
/// before less urgent ones. Within a class the slots are shared between accounts, and each
/// account's request with the earliest objective goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Class {
    late: bool,
    rank: u8,
}

/// Waiting requests by identifier and by order.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    by_id: HashMap<u64, Waiting>,
    classes: BTreeMap<Class, FairQueue>,
}

impl Queue {
    pub(super) fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Adds a request that is expected to hold a slot for `hold`.
    pub(super) fn push(
        &mut self,
        arrival: SlotArrival,
        since: MonoTime,
        timer: TimerKey,
        hold: Duration,
    ) {
        let waiting = Waiting {
            arrival,
            since,
            timer,
            hold,
            class: Class {
                late: false,
                rank: arrival.rank,
            },
            due: arrival.objective,
        };
        self.link(since, &waiting);
        self.by_id.insert(arrival.id, waiting);
    }

    fn link(&mut self, now: MonoTime, waiting: &Waiting) {
        let class = self.classes.entry(waiting.class);
        let SlotArrival { account, id, .. } = waiting.arrival;
        class
            .or_insert_with(|| FairQueue::new(now))
            .push(account, waiting.due, id, waiting.hold);
    }

    fn unlink(&mut self, waiting: &Waiting) {
        if let Some(class) = self.classes.get_mut(&waiting.class) {
            let SlotArrival { account, id, .. } = waiting.arrival;
            class.remove(account, waiting.due, id);
            if class.len() == 0 {
                self.classes.remove(&waiting.class);
            }
        }
    }

    pub(super) fn get(&self, id: u64) -> Option<&Waiting> {
        self.by_id.get(&id)
    }

    /// Returns `true` if a waiting request cannot meet its objective any more.
    pub(super) fn is_late(&self, id: u64) -> bool {
        self.by_id
            .get(&id)
            .is_some_and(|waiting| waiting.class.late)
    }

    pub(super) fn remove(&mut self, id: u64) -> Option<Waiting> {
        let waiting = self.by_id.remove(&id)?;
        self.unlink(&waiting);
        Some(waiting)
    }

    pub(super) fn pop(&mut self, now: MonoTime) -> Option<Waiting> {
        let mut first = self.classes.first_entry()?;
        let id = first.get_mut().pop(now)?;
        if first.get().len() == 0 {
            first.remove();
        }
        self.by_id.remove(&id)
    }

    /// Moves a request behind all that can still meet their objective.
    pub(super) fn set_late(&mut self, now: MonoTime, id: u64, timer: TimerKey) {
        let Some(mut waiting) = self.by_id.get(&id).copied() else {
            return;
        };
        self.unlink(&waiting);
        waiting.timer = timer;
        waiting.class.late = true;
        waiting.due = waiting.arrival.deadline;
        self.link(now, &waiting);
        self.by_id.insert(id, waiting);
    }

    /// Returns the number of waiting requests before a new one.
    pub(super) fn ahead_of(&self, arrival: &SlotArrival, late: bool) -> usize {
        let rank = arrival.rank;
        let class = Class { late, rank };
        let own = self.classes.get(&class);
        if late {
            // Those of its class that others would get a slot for after it.
            let due = arrival.deadline;
            let behind = own.map_or(0, |own| {
                let others = own.len() - own.len_of(arrival.account);
                let before = own.ahead_of(arrival.account, due);
                others.saturating_sub(before)
            });
            return self.len() - behind;
        }
        let before = self.classes.range(..class).map(|(_, class)| class.len());
        let own = own.map_or(0, |own| own.ahead_of(arrival.account, arrival.objective));
        before.sum::<usize>() + own
    }

    /// Returns the time until a new request starts at its account's present share, if the share is
    /// known and other accounts wait in its class.
    pub(super) fn time_to_share(&self, arrival: &SlotArrival, late: bool) -> Option<Duration> {
        let rank = arrival.rank;
        let due = match late {
            false => arrival.objective,
            true => arrival.deadline,
        };
        self.classes
            .get(&Class { late, rank })?
            .time_to_share(arrival.account, due)
    }

    /// Returns the request that gives way to a new one of the class while the queue is full: one
    /// that is late or less urgent, or else one of its class. It is the last one of the account
    /// with the most slot time waiting, unless that is the account of the new one.
    pub(super) fn last_below(&self, arrival: &SlotArrival, hold: Duration) -> Option<u64> {
        let (last, class) = self.classes.last_key_value()?;
        if last.late || last.rank > arrival.rank {
            return class.last_of(class.heaviest(None)?);
        }
        let own = self.classes.get(&Class {
            late: false,
            rank: arrival.rank,
        })?;
        let heaviest = own.heaviest(Some((arrival.account, hold)))?;
        match heaviest == arrival.account {
            true => None,
            false => own.last_of(heaviest),
        }
    }

    /// Returns the identifiers of the waiting requests in their order.
    pub(super) fn ids(&self) -> Vec<u64> {
        let mut copy = self.clone();
        let order = std::iter::from_fn(|| copy.pop(MonoTime::ZERO));
        order.map(|waiting| waiting.arrival.id).collect()
    }

    pub(super) fn take_all(&mut self) -> Vec<Waiting> {
        self.classes.clear();
        std::mem::take(&mut self.by_id).into_values().collect()
    }

    /// Returns the number of accounts with requests waiting, counted once for each class.
    pub(super) fn accounts(&self) -> usize {
        self.classes.values().map(FairQueue::accounts).sum()
    }

    /// Returns the number of waiting requests of an account.
    pub(super) fn len_of(&self, account: AccountKey) -> usize {
        self.classes
            .values()
            .map(|class| class.len_of(account))
            .sum()
    }
}
