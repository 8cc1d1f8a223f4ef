//! Cap on the share of a service's targets that failure detection may take away.

use rhubarblanding_core::prelude::{HostId, ServiceName};

use super::{Entry, Presence, View, down_event};
use crate::io::Event;
use crate::record::Verdict;

/// Cap on the targets of one service that may be down by failure detection.
#[derive(Clone, Copy, Debug)]
pub struct EjectionCap {
    /// Greatest share, 0 to 1.
    pub share: f64,
    /// Whether the cap is in force.
    pub enabled: bool,
}

impl EjectionCap {
    /// Greatest number of ejected targets among `members`.
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

    /// Whether another of `members` may be ejected when `ejected` are.
    pub fn allows(&self, ejected: usize, members: usize) -> bool {
        ejected < self.limit(members)
    }
}

impl View {
    /// Number of targets of `service` that are down by failure detection.
    pub(super) fn ejected(&self, service: &ServiceName) -> usize {
        self.entries(service).filter(is_ejected).count()
    }

    /// Number of targets of `service`, with the ejected ones and without those that stopped.
    pub(super) fn members(&self, service: &ServiceName) -> usize {
        let member = |entry: &&Entry| entry.presence != Presence::Gone || is_ejected(entry);
        self.entries(service).filter(member).count()
    }

    /// Whether `host` was declared down by a peer and not verified yet.
    pub fn is_unverified(&self, host: HostId) -> bool {
        let entry = self
            .by_host
            .get(&host)
            .and_then(|key| self.targets.get(*key));
        entry.is_some_and(|entry| entry.presence == Presence::Unverified)
    }

    /// Ejects a target that is down, or keeps it as far as the cap demands.
    pub fn eject(&mut self, host: HostId) -> Option<Event> {
        let key = self.by_host.get(&host).copied()?;
        let entry = self.targets.get(key)?;
        if entry.record.verdict != Verdict::Down || entry.presence == Presence::Gone {
            return None;
        }
        let record = entry.record.clone();
        let presence = match self.may_eject(&record.info.service) {
            true => Presence::Gone,
            false => Presence::Kept,
        };
        self.targets.get_mut(key)?.presence = presence;
        self.forget_if_gone(key);
        (presence == Presence::Gone).then(|| down_event(&record))
    }

    /// Kept targets that the cap now lets go; they are to be verified again before that.
    pub fn take_ejectable(&mut self) -> Vec<HostId> {
        let kept = self
            .targets
            .iter()
            .filter(|(_, e)| e.presence == Presence::Kept);
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
    entry.presence == Presence::Gone && entry.record.verdict == Verdict::Down
}
