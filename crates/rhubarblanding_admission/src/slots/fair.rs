//! Fair queueing between client accounts, measured in slot time.
//!
//! Load pattern: one account, or a few, send several times their usual into a full service. In the
//! order of objectives alone the next slot goes mostly to the account with the most requests.
//!
//! Start-time fair queueing: each account has a virtual time that advances by the expected hold
//! time of every request that leaves the queue for a slot, and the account with the earliest one is
//! next. An account that has not waited starts at the virtual time of the queue, so that it does
//! not wait behind the backlog of others, and has no claim for the time in which it sent nothing.

use std::collections::BTreeMap;
use std::time::Duration;

use rhubarblanding_core::prelude::*;

/// Least cost of a request: one whose hold time is not known or nearly zero must not be free.
const COST_MIN: Duration = Duration::from_millis(1);
/// Time over which the advance of the virtual time is measured: many requests of any busy backend
/// server, and short against the time that callers wait.
const PACE_WINDOW: Duration = Duration::from_millis(200);

/// Slot time given to each waiting account since the queue began to fill, in microseconds.
type VirtualTime = u64;

/// Key of a waiting request within its account; the smallest goes first.
type Place = (MonoTime, u64);

/// Waiting requests of one account.
#[derive(Clone, Debug, Default)]
struct Flow {
    /// Virtual time at which the next request starts.
    start: VirtualTime,
    /// Cost of each request, in microseconds of slot time.
    waiting: BTreeMap<Place, u64>,
    /// Sum of the costs.
    backlog: u64,
}

/// Advance of the virtual time.
#[derive(Clone, Copy, Debug)]
struct Pace {
    since: MonoTime,
    from: VirtualTime,
    /// Virtual microseconds a second, of the last whole window.
    per_second: Option<f64>,
}

/// Waiting requests of equal urgency. It is dropped once it is empty, and with it all that is known
/// of the accounts.
#[derive(Clone, Debug)]
pub(super) struct FairQueue {
    now: VirtualTime,
    /// Accounts that have requests waiting or are ahead of the others.
    flows: HashMap<AccountKey, Flow>,
    len: usize,
    pace: Pace,
}

impl Flow {
    /// Returns the number of requests that start at `tag` or before.
    fn started_by(&self, tag: VirtualTime) -> usize {
        let len = self.waiting.len();
        if len == 0 || self.start > tag {
            return 0;
        }
        let mean = (self.backlog / len as u64).max(1);
        len.min(((tag - self.start) / mean) as usize + 1)
    }
}

impl FairQueue {
    pub(super) fn new(now: MonoTime) -> Self {
        Self {
            now: 0,
            flows: HashMap::default(),
            len: 0,
            pace: Pace {
                since: now,
                from: 0,
                per_second: None,
            },
        }
    }

    pub(super) fn len(&self) -> usize {
        self.len
    }

    /// Adds a request that is expected to hold a slot for `hold`.
    pub(super) fn push(&mut self, account: AccountKey, due: MonoTime, id: u64, hold: Duration) {
        let now = self.now;
        let flow = self.flows.entry(account).or_default();
        if flow.waiting.is_empty() {
            flow.start = flow.start.max(now);
        }
        let cost = hold.max(COST_MIN).as_micros() as u64;
        if flow.waiting.insert((due, id), cost).is_none() {
            flow.backlog += cost;
            self.len += 1;
        }
    }

    /// Removes a request that gets no slot.
    pub(super) fn remove(&mut self, account: AccountKey, due: MonoTime, id: u64) {
        let Some(flow) = self.flows.get_mut(&account) else {
            return;
        };
        if let Some(cost) = flow.waiting.remove(&(due, id)) {
            flow.backlog -= cost;
            self.len -= 1;
        }
    }

    /// Removes the next request and charges its account for it.
    pub(super) fn pop(&mut self, now: MonoTime) -> Option<u64> {
        let heads = self.flows.iter().filter_map(|(account, flow)| {
            let place = *flow.waiting.keys().next()?;
            Some((flow.start, place, *account))
        });
        let (start, _, account) = heads.min()?;
        let flow = self.flows.get_mut(&account)?;
        let ((_, id), cost) = flow.waiting.pop_first()?;
        flow.backlog -= cost;
        flow.start += cost;
        self.len -= 1;
        self.now = self.now.max(start);
        let virtual_now = self.now;
        self.flows
            .retain(|_, flow| !flow.waiting.is_empty() || flow.start > virtual_now);
        self.measure(now);
        Some(id)
    }

    fn measure(&mut self, now: MonoTime) {
        let time = now.since(self.pace.since);
        if time < PACE_WINDOW {
            return;
        }
        let advance = (self.now - self.pace.from) as f64;
        self.pace = Pace {
            since: now,
            from: self.now,
            per_second: Some(advance / time.as_secs_f64()),
        };
    }

    /// Returns the number of requests that get a slot before one of `account` that is due at `due`.
    pub(super) fn ahead_of(&self, account: AccountKey, due: MonoTime) -> usize {
        let (own, tag) = self.place(account, due);
        let others = self.flows.iter().filter(|(key, _)| **key != account);
        own + others.map(|(_, flow)| flow.started_by(tag)).sum::<usize>()
    }

    /// Returns the number of requests of the account before one that is due at `due`, and the
    /// virtual time at which that one would start.
    fn place(&self, account: AccountKey, due: MonoTime) -> (usize, VirtualTime) {
        let Some(flow) = self.flows.get(&account) else {
            return (0, self.now);
        };
        let before = flow.waiting.range(..=(due, u64::MAX));
        let (len, cost) = before.fold((0, 0), |(len, sum), (_, cost)| (len + 1, sum + cost));
        (len, flow.start.max(self.now) + cost)
    }

    /// Returns the time until a request of `account` that is due at `due` starts, at the pace at
    /// which accounts were served; `None` if one account waits alone or the pace is not known.
    ///
    /// It includes what accounts that do not wait now are going to take.
    pub(super) fn time_to_share(&self, account: AccountKey, due: MonoTime) -> Option<Duration> {
        let is_alone = self.flows.keys().all(|key| *key == account);
        let pace = self
            .pace
            .per_second
            .filter(|pace| *pace > 0.0 && !is_alone)?;
        let (_, tag) = self.place(account, due);
        Duration::try_from_secs_f64((tag - self.now) as f64 / pace).ok()
    }

    /// Returns the account with the most slot time waiting, and that slot time in microseconds, as
    /// if `extra` were waiting too.
    pub(super) fn heaviest(&self, extra: Option<(AccountKey, Duration)>) -> Option<AccountKey> {
        let added = |key: AccountKey| match extra {
            Some((account, hold)) if account == key => hold.max(COST_MIN).as_micros() as u64,
            _ => 0,
        };
        let backlogs = self
            .flows
            .iter()
            .map(|(key, flow)| (flow.backlog + added(*key), *key));
        let new = extra.map(|(account, _)| (added(account), account));
        backlogs.chain(new).max().map(|(_, account)| account)
    }

    /// Returns the last request of an account.
    pub(super) fn last_of(&self, account: AccountKey) -> Option<u64> {
        let flow = self.flows.get(&account)?;
        flow.waiting.keys().next_back().map(|(_, id)| *id)
    }

    /// Returns the number of accounts with requests waiting.
    pub(super) fn accounts(&self) -> usize {
        let waiting = self.flows.values().filter(|flow| !flow.waiting.is_empty());
        waiting.count()
    }

    /// Returns the number of requests of an account.
    pub(super) fn len_of(&self, account: AccountKey) -> usize {
        self.flows
            .get(&account)
            .map_or(0, |flow| flow.waiting.len())
    }
}
