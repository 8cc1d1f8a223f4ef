//! Services of interest, the duration of the interest, and the state of their lookup.

use std::collections::BTreeMap;
use std::time::Duration;

use rhubarblanding_core::collections::stable_hash;
use rhubarblanding_core::prelude::{HostId, MonoTime, ServiceName};

use super::{Presence, TargetKey, View, down_event};
use crate::io::Event;
use crate::record::Record;

/// Duration for which a service is kept.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Interest {
    /// While it is in the list of interests.
    #[default]
    Standing,
    /// Until the given time.
    Until(MonoTime),
}

/// One service of interest.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceView {
    interest: Interest,
    resolved: bool,
    targets: BTreeMap<HostId, TargetKey>,
}

impl ServiceView {
    pub(super) fn keys(&self) -> impl Iterator<Item = TargetKey> {
        self.targets.values().copied()
    }

    pub(super) fn insert(&mut self, host: HostId, key: TargetKey) {
        self.targets.insert(host, key);
    }

    pub(super) fn remove(&mut self, host: HostId) {
        self.targets.remove(&host);
    }

    pub(super) fn heap_bytes(&self) -> usize {
        self.targets.len() * size_of::<(HostId, TargetKey)>()
    }
}

impl View {
    /// Iterates over the services of interest, in the order of their names.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.services.keys()
    }

    /// Returns the service after `previous` in the order of the names, wrapping around at the end.
    pub fn service_after(&self, previous: Option<&ServiceName>) -> Option<&ServiceName> {
        let later = self.services.keys().find(|name| Some(*name) > previous);
        later.or_else(|| self.services.keys().next())
    }

    /// Keeps `service` until [`Self::release_others`] releases it.
    pub fn keep(&mut self, service: ServiceName) {
        self.services.entry(service).or_default().interest = Interest::Standing;
    }

    /// Keeps `service` until `until`, or longer if it is kept already.
    pub fn keep_until(&mut self, service: ServiceName, until: MonoTime) {
        let fresh = ServiceView {
            interest: Interest::Until(until),
            ..ServiceView::default()
        };
        let known = self.services.entry(service).or_insert(fresh);
        if known.interest != Interest::Standing {
            known.interest = Interest::Until(until);
        }
    }

    /// Keeps services that are not in `named` only until `until`.
    pub fn release_others(&mut self, named: &[ServiceName], until: MonoTime) {
        for (name, service) in &mut self.services {
            let standing = service.interest == Interest::Standing;
            if standing && !named.contains(name) {
                service.interest = Interest::Until(until);
            }
        }
    }

    /// Returns `true` if a peer sent the targets of `service`.
    pub fn is_resolved(&self, service: &ServiceName) -> bool {
        let known = self.services.get(service);
        known.is_some_and(|service| service.resolved)
    }

    /// Records that a peer sent the targets of `service`.
    pub fn set_resolved(&mut self, service: &ServiceName) {
        if let Some(known) = self.services.get_mut(service) {
            known.resolved = true;
        }
    }

    /// Returns a hash over the live records of `service`, equal at nodes that hold the same ones.
    pub fn digest(&self, service: &ServiceName) -> u64 {
        let live = self.entries(service).filter(|e| !e.record.is_final());
        live.fold(0, |hash, entry| hash ^ record_hash(&entry.record))
    }

    pub(super) fn expire_tombstones(&mut self, now: MonoTime, ttl: Duration) {
        let expired =
            |presence, changed| presence == Presence::Tombstone && now.since(changed) >= ttl;
        let old = self
            .targets
            .iter()
            .filter(|(_, e)| expired(e.presence, e.changed_at));
        let keys: Vec<_> = old.map(|(key, _)| key).collect();
        for key in keys {
            self.remove(key);
        }
    }

    pub(super) fn expire_services(&mut self, now: MonoTime) -> Vec<Event> {
        let is_expired =
            |service: &ServiceView| matches!(service.interest, Interest::Until(t) if t <= now);
        let expired = self
            .services
            .iter()
            .filter(|(_, service)| is_expired(service));
        let names: Vec<_> = expired.map(|(name, _)| name.clone()).collect();
        names
            .iter()
            .flat_map(|name| self.drop_service(name))
            .collect()
    }

    fn drop_service(&mut self, name: &ServiceName) -> Vec<Event> {
        let Some(service) = self.services.remove(name) else {
            return Vec::new();
        };
        let mut events = Vec::new();
        for (host, key) in service.targets {
            self.by_host.remove(&host);
            let entry = self.targets.remove(key);
            let usable = entry.filter(|entry| entry.presence != Presence::Tombstone);
            events.extend(usable.map(|entry| down_event(&entry.record)));
        }
        events
    }
}

fn record_hash(record: &Record) -> u64 {
    let seed = record.info.incarnation.0 ^ u64::from(record.revision).rotate_left(40);
    stable_hash(seed, record.host().to_string().as_bytes())
}
