//! Queue of gossip updates with their remaining pushes, and the recently seen ones.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use rhubarblanding_core::prelude::{HashMap, HostId, MonoTime, TargetState};

use crate::record::{Record, Stamp, Verdict};

#[derive(Clone, Debug)]
struct Pending {
    record: Record,
    rounds_left: u32,
}

#[derive(Clone, Copy, Debug)]
struct Seen {
    stamp: Stamp,
    at: MonoTime,
}

/// Pending and recently seen updates, at most one of each for a host.
#[derive(Clone, Debug, Default)]
pub struct Updates {
    pending: BTreeMap<HostId, Pending>,
    seen: HashMap<HostId, Seen>,
}

impl Updates {
    /// Returns `true` if `record` is newer than the recently seen one of its host, if any.
    pub fn is_newer(&self, record: &Record) -> bool {
        match self.seen.get(&record.host()) {
            Some(seen) => record.stamp() > seen.stamp,
            None => true,
        }
    }

    /// Returns `true` if a newer record of its host than `record` was seen recently.
    pub fn is_outdated(&self, record: &Record) -> bool {
        let seen = self.seen.get(&record.host());
        seen.is_some_and(|seen| seen.stamp > record.stamp())
    }

    /// Marks `record` as seen and removes any pending update of its host.
    pub fn mark_seen(&mut self, now: MonoTime, record: &Record) {
        let stamp = record.stamp();
        self.pending.remove(&record.host());
        self.seen.insert(record.host(), Seen { stamp, at: now });
    }

    /// Marks `record` as seen and queues it for `rounds` pushes.
    pub fn insert(&mut self, now: MonoTime, record: Record, rounds: u32) {
        let host = record.host();
        let stamp = record.stamp();
        self.seen.insert(host, Seen { stamp, at: now });
        let pending = Pending {
            record,
            rounds_left: rounds,
        };
        self.pending.insert(host, pending);
    }

    /// Drops all pending updates.
    pub fn clear(&mut self) {
        self.pending.clear();
    }

    /// Returns `true` if an update is pending.
    pub fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Takes up to `max` updates for one push: leaving targets first, then the least pushed.
    pub fn next_round(&mut self, max: usize) -> Vec<Record> {
        let chosen = self.least_pushed(max);
        let mut records = Vec::with_capacity(chosen.len());
        for host in chosen {
            let Some(pending) = self.pending.get_mut(&host) else {
                continue;
            };
            records.push(pending.record.clone());
            pending.rounds_left = pending.rounds_left.saturating_sub(1);
            if pending.rounds_left == 0 {
                self.pending.remove(&host);
            }
        }
        records
    }

    /// Returns up to `max` updates to piggyback on another message.
    pub fn piggyback(&self, max: usize) -> Vec<Record> {
        let chosen = self.least_pushed(max);
        let pending = chosen.iter().filter_map(|host| self.pending.get(host));
        pending.map(|pending| pending.record.clone()).collect()
    }

    /// Removes seen entries older than `ttl`.
    pub fn expire(&mut self, now: MonoTime, ttl: Duration) {
        self.seen.retain(|_, seen| now.since(seen.at) < ttl);
    }

    /// Returns the memory used, in bytes.
    pub fn heap_bytes(&self) -> usize {
        self.seen.capacity() * size_of::<(HostId, Seen)>()
            + self.pending.len() * size_of::<(HostId, Pending)>()
    }

    fn least_pushed(&self, max: usize) -> Vec<HostId> {
        let mut hosts: Vec<_> = self.pending.iter().collect();
        if hosts.len() > max {
            hosts.sort_by_key(|(host, pending)| {
                (
                    !is_urgent(&pending.record),
                    Reverse(pending.rounds_left),
                    **host,
                )
            });
            hosts.truncate(max);
        }
        hosts.into_iter().map(|(host, _)| *host).collect()
    }
}

/// Returns `true` if the target is leaving: nodes not informed of this send requests in vain.
pub fn is_urgent(record: &Record) -> bool {
    record.verdict == Verdict::Alive && record.info.state >= TargetState::Draining
}
