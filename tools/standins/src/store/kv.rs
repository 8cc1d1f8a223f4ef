//! Keys, revisions and leases.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytes::Bytes;
use rhubarblanding_core::collections::HashMap;

/// State of a key at one revision. A key that was removed has no value but keeps a revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Revision of the last change of the key, 0 if it never existed.
    pub revision: u64,
    /// Value, unless the key was removed or never existed.
    pub value: Option<Bytes>,
}

impl Snapshot {
    /// Revision that a writer must expect.
    fn expected(&self) -> u64 {
        match self.value {
            Some(_) => self.revision,
            None => 0,
        }
    }
}

/// Result of a put.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Put {
    /// Stored with this revision.
    Stored(u64),
    /// The key has this revision, 0 if it does not exist.
    Conflict(u64),
    /// There is no such lease.
    LeaseLapsed,
}

#[derive(Clone, Debug, Default)]
struct Entry {
    newest: Snapshot,
    previous: Snapshot,
    lease: Option<u64>,
}

impl Entry {
    fn replace(&mut self, next: Snapshot, lease: Option<u64>) {
        self.previous = std::mem::replace(&mut self.newest, next);
        self.lease = lease;
    }
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    expiry: Instant,
    ttl: Duration,
}

/// The whole state of the service.
#[derive(Clone, Debug, Default)]
pub struct Kv {
    entries: BTreeMap<String, Entry>,
    leases: HashMap<u64, Lease>,
    last_revision: u64,
    last_lease: u64,
}

impl Kv {
    /// Present state of `key`.
    pub fn newest(&self, key: &str) -> Snapshot {
        self.entries
            .get(key)
            .map(|entry| entry.newest.clone())
            .unwrap_or_default()
    }

    /// State of `key` before its newest change.
    pub fn previous(&self, key: &str) -> Snapshot {
        self.entries
            .get(key)
            .map(|entry| entry.previous.clone())
            .unwrap_or_default()
    }

    /// Stores a value if the key has the expected revision.
    pub fn put(&mut self, key: &str, expected: u64, value: Bytes, lease: Option<u64>) -> Put {
        if lease.is_some_and(|id| !self.leases.contains_key(&id)) {
            return Put::LeaseLapsed;
        }
        let entry = self.entries.entry(key.to_owned()).or_default();
        let current = entry.newest.expected();
        if current != expected {
            return Put::Conflict(current);
        }
        self.last_revision += 1;
        let next = Snapshot {
            revision: self.last_revision,
            value: Some(value),
        };
        entry.replace(next, lease);
        Put::Stored(self.last_revision)
    }

    /// Creates a lease.
    pub fn grant(&mut self, now: Instant, ttl: Duration) -> u64 {
        self.last_lease += 1;
        let expiry = now + ttl;
        self.leases.insert(self.last_lease, Lease { expiry, ttl });
        self.last_lease
    }

    /// Extends a lease, by its present time to live if no other is given; `None` if it has lapsed.
    pub fn renew(&mut self, id: u64, now: Instant, ttl: Option<Duration>) -> Option<Duration> {
        let lease = self.leases.get_mut(&id)?;
        lease.ttl = ttl.unwrap_or(lease.ttl);
        lease.expiry = now + lease.ttl;
        Some(lease.ttl)
    }

    /// Removes lapsed leases and the values bound to them; true if a value was removed.
    pub fn expire(&mut self, now: Instant) -> bool {
        self.leases.retain(|_, lease| lease.expiry > now);
        let mut removed = false;
        for entry in self.entries.values_mut() {
            let lapsed = entry.lease.is_some_and(|id| !self.leases.contains_key(&id));
            if !lapsed {
                continue;
            }
            self.last_revision += 1;
            let next = Snapshot {
                revision: self.last_revision,
                value: None,
            };
            entry.replace(next, None);
            removed = true;
        }
        removed
    }

    /// Ends all leases; the values bound to them go with the next [`expire`](Self::expire).
    pub fn revoke_leases(&mut self) {
        self.leases.clear();
    }

    /// Revision of the last change of any key.
    pub fn last_revision(&self) -> u64 {
        self.last_revision
    }

    /// Keys that begin with `prefix` and have changed since `revision`, in the order of their
    /// changes.
    pub fn changed_since(&self, prefix: &str, revision: u64) -> Vec<(String, Snapshot)> {
        let mut changed: Vec<(String, Snapshot)> = self
            .entries
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(_, entry)| entry.newest.revision > revision)
            .map(|(key, entry)| (key.clone(), entry.newest.clone()))
            .collect();
        changed.sort_by_key(|(_, snapshot)| snapshot.revision);
        changed
    }

    /// Keys with a value that begin with `prefix`, each with its revision.
    pub fn list(&self, prefix: &str) -> Vec<(String, u64)> {
        self.entries
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(_, entry)| entry.newest.value.is_some())
            .map(|(key, entry)| (key.clone(), entry.newest.revision))
            .collect()
    }
}
