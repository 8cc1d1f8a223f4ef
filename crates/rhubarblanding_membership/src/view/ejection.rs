//! Cap on the share of a service's targets that failure detection may take away.

use rhubarblanding_core::prelude::ServiceName;

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

    /// Ejects kept targets as far as the cap allows.
    pub(super) fn eject_kept(&mut self) -> Vec<Event> {
        let mut events = Vec::new();
        let kept = self
            .targets
            .iter()
            .filter(|(_, e)| e.presence == Presence::Kept);
        let keys: Vec<_> = kept.map(|(key, _)| key).collect();
        for key in keys {
            let Some(record) = self.targets.get(key).map(|entry| entry.record.clone()) else {
                continue;
            };
            if !self.may_eject(&record.info.service) {
                continue;
            }
            if let Some(entry) = self.targets.get_mut(key) {
                entry.presence = Presence::Gone;
            }
            events.push(down_event(&record));
        }
        events
    }
}

fn is_ejected(entry: &&Entry) -> bool {
    entry.presence == Presence::Gone && entry.record.verdict == Verdict::Down
}
