//! Fresh changes, how often each is still to be pushed, and which ones were seen lately.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use rhubarblanding_core::prelude::{HashMap, HostId, MonoTime, TargetState};

use crate::record::{Record, Stamp, Verdict};

#[derive(Clone, Debug)]
struct Hot {
    record: Record,
    rounds_left: u32,
}

#[derive(Clone, Copy, Debug)]
struct Seen {
    stamp: Stamp,
    at: MonoTime,
}

/// Fresh changes, at most one for each host.
#[derive(Clone, Debug, Default)]
pub struct Updates {
    hot: BTreeMap<HostId, Hot>,
    seen: HashMap<HostId, Seen>,
}

impl Updates {
    /// Whether `record` is newer than what was seen lately of its host.
    pub fn is_newer(&self, record: &Record) -> bool {
        match self.seen.get(&record.host()) {
            Some(seen) => record.stamp() > seen.stamp,
            None => true,
        }
    }

    /// Whether something newer than `record` was seen lately of its host.
    pub fn is_outdated(&self, record: &Record) -> bool {
        let seen = self.seen.get(&record.host());
        seen.is_some_and(|seen| seen.stamp > record.stamp())
    }

    /// Remembers `record` as seen without pushing it.
    pub fn mark_seen(&mut self, now: MonoTime, record: &Record) {
        let stamp = record.stamp();
        self.hot.remove(&record.host());
        self.seen.insert(record.host(), Seen { stamp, at: now });
    }

    /// Remembers `record` as seen and pushes it for `rounds` rounds.
    pub fn insert(&mut self, now: MonoTime, record: Record, rounds: u32) {
        let host = record.host();
        let stamp = record.stamp();
        self.seen.insert(host, Seen { stamp, at: now });
        let hot = Hot {
            record,
            rounds_left: rounds,
        };
        self.hot.insert(host, hot);
    }

    /// Drops everything that is still to be pushed.
    pub fn clear(&mut self) {
        self.hot.clear();
    }

    /// Whether a change is still to be pushed.
    pub fn has_pending(&self) -> bool {
        !self.hot.is_empty()
    }

    /// Takes up to `max` changes for one push: leaving targets first, then those pushed least.
    pub fn next_round(&mut self, max: usize) -> Vec<Record> {
        let chosen = self.least_pushed(max);
        let mut records = Vec::with_capacity(chosen.len());
        for host in chosen {
            let Some(hot) = self.hot.get_mut(&host) else {
                continue;
            };
            records.push(hot.record.clone());
            hot.rounds_left = hot.rounds_left.saturating_sub(1);
            if hot.rounds_left == 0 {
                self.hot.remove(&host);
            }
        }
        records
    }

    /// Up to `max` changes to travel along on another message.
    pub fn piggyback(&self, max: usize) -> Vec<Record> {
        let chosen = self.least_pushed(max);
        let hot = chosen.iter().filter_map(|host| self.hot.get(host));
        hot.map(|hot| hot.record.clone()).collect()
    }

    /// Forgets what was seen before `now - ttl`.
    pub fn expire(&mut self, now: MonoTime, ttl: Duration) {
        self.seen.retain(|_, seen| now.since(seen.at) < ttl);
    }

    /// Memory taken, in bytes.
    pub fn heap_bytes(&self) -> usize {
        self.seen.capacity() * size_of::<(HostId, Seen)>()
            + self.hot.len() * size_of::<(HostId, Hot)>()
    }

    fn least_pushed(&self, max: usize) -> Vec<HostId> {
        let mut hosts: Vec<_> = self.hot.iter().collect();
        if hosts.len() > max {
            hosts.sort_by_key(|(host, hot)| {
                (!is_urgent(&hot.record), Reverse(hot.rounds_left), **host)
            });
            hosts.truncate(max);
        }
        hosts.into_iter().map(|(host, _)| *host).collect()
    }
}

/// Whether other nodes send requests in vain until they know of the change.
pub fn is_urgent(record: &Record) -> bool {
    record.verdict == Verdict::Alive && record.info.state >= TargetState::Draining
}
