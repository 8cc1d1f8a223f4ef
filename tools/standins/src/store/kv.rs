//! Keys, revisions and leases.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytes::Bytes;
use rhubarblanding_core::collections::HashMap;

/// State of a key at one revision. A key that was removed has no value but keeps a revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Snapshot {
    pub(super) revision: u64,
    pub(super) value: Option<Bytes>,
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
pub(super) enum Put {
    Stored(u64),
    Conflict(u64),
    LeaseLapsed,
}

#[derive(Debug, Default)]
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

/// The whole state of the service.
#[derive(Debug, Default)]
pub(super) struct Kv {
    entries: BTreeMap<String, Entry>,
    leases: HashMap<u64, Instant>,
    last_revision: u64,
    last_lease: u64,
}

impl Kv {
    pub(super) fn newest(&self, key: &str) -> Snapshot {
        self.entries
            .get(key)
            .map(|entry| entry.newest.clone())
            .unwrap_or_default()
    }

    /// State of `key` before its newest change.
    pub(super) fn previous(&self, key: &str) -> Snapshot {
        self.entries
            .get(key)
            .map(|entry| entry.previous.clone())
            .unwrap_or_default()
    }

    pub(super) fn put(
        &mut self,
        key: &str,
        expected: u64,
        value: Bytes,
        lease: Option<u64>,
    ) -> Put {
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

    pub(super) fn grant(&mut self, now: Instant, ttl: Duration) -> u64 {
        self.last_lease += 1;
        self.leases.insert(self.last_lease, now + ttl);
        self.last_lease
    }

    /// Extends a lease; false if it has lapsed.
    pub(super) fn renew(&mut self, id: u64, now: Instant, ttl: Duration) -> bool {
        match self.leases.get_mut(&id) {
            Some(expiry) => {
                *expiry = now + ttl;
                true
            }
            None => false,
        }
    }

    /// Removes lapsed leases and the values bound to them; true if a value was removed.
    pub(super) fn expire(&mut self, now: Instant) -> bool {
        self.leases.retain(|_, expiry| *expiry > now);
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

    /// Keys with a value that begin with `prefix`, each with its revision.
    pub(super) fn list(&self, prefix: &str) -> Vec<(String, u64)> {
        self.entries
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(_, entry)| entry.newest.value.is_some())
            .map(|(key, entry)| (key.clone(), entry.newest.revision))
            .collect()
    }
}
