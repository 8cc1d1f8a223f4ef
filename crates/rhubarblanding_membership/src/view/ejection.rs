//! Cap on the share of a service's targets that failure detection may eject.

use rhubarblanding_core::prelude::{HostId, ServiceName};

use super::{Entry, Presence, View, down_event};
use crate::io::Event;
use crate::record::Verdict;

/// Cap on the targets of one service that may be down by failure detection.
#[derive(Clone, Copy, Debug)]
pub struct EjectionCap {
    /// Maximum share, 0 to 1.
    pub share: f64,
    /// `true` if the cap is active.
    pub enabled: bool,
}

impl EjectionCap {
    /// Returns the maximum number of ejected targets among `members`.
    ///
    /// A service of two or more targets may always lose one.
    pub fn limit(&self, members: usize) -> usize {
        if !self.enabled {
            return members;
        }
        let share = (self.share * members as f64).floor() as usize;
        match members {
            0 | 1 => 0,
            _ => share.max(1),
        }
    }

    /// Returns `true` if another of `members` targets may be ejected after `ejected` of them.
    pub fn allows(&self, ejected: usize, members: usize) -> bool {
        ejected < self.limit(members)
    }
}

impl View {
    /// Returns the number of targets of `service` that are down by failure detection.
    pub(super) fn ejected(&self, service: &ServiceName) -> usize {
        self.entries(service).filter(is_ejected).count()
    }

    /// Returns the number of targets of `service`, including ejected and excluding stopped ones.
    pub(super) fn members(&self, service: &ServiceName) -> usize {
        let member = |entry: &&Entry| entry.presence != Presence::Tombstone || is_ejected(entry);
        self.entries(service).filter(member).count()
    }

    /// Returns `true` if `host` was declared down by a peer and not verified yet.
    pub fn is_unverified(&self, host: HostId) -> bool {
        let entry = self
            .by_host
            .get(&host)
            .and_then(|key| self.targets.get(*key));
        entry.is_some_and(|entry| entry.presence == Presence::Unverified)
    }

    /// Ejects a target that is down, or keeps it if the cap is reached.
    pub fn eject(&mut self, host: HostId) -> Option<Event> {
        let key = self.by_host.get(&host).copied()?;
        let entry = self.targets.get(key)?;
        if entry.record.verdict != Verdict::Down || entry.presence == Presence::Tombstone {
            return None;
        }
        let record = entry.record.clone();
        let presence = match self.may_eject(&record.info.service) {
            true => Presence::Tombstone,
            false => Presence::KeptByCap,
        };
        self.targets.get_mut(key)?.presence = presence;
        self.remove_if_tombstones_disabled(key);
        (presence == Presence::Tombstone).then(|| down_event(&record))
    }

    /// Marks the kept targets that the cap now allows to eject as unverified, and returns them.
    pub fn take_ejectable(&mut self) -> Vec<HostId> {
        let kept = self
            .targets
            .iter()
            .filter(|(_, e)| e.presence == Presence::KeptByCap);
        let keys: Vec<_> = kept.map(|(key, _)| key).collect();
        let mut hosts = Vec::new();
        for key in keys {
            let service = self.targets.get(key).map(|e| e.record.info.service.clone());
            if !service.is_some_and(|service| self.may_eject(&service)) {
                continue;
            }
            if let Some(entry) = self.targets.get_mut(key) {
                entry.presence = Presence::Unverified;
                hosts.push(entry.record.host());
            }
        }
        hosts
    }
}

fn is_ejected(entry: &&Entry) -> bool {
    entry.presence == Presence::Tombstone && entry.record.verdict == Verdict::Down
}
