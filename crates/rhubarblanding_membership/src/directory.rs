//! Contacts for every service, to look up the ones that are not kept in detail.

use std::collections::BTreeMap;

use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::{IndexedRandom, IteratorRandom};
use rhubarblanding_core::prelude::{HostId, ServiceName, TargetState};

use crate::message::Contacts;
use crate::record::{Record, Verdict};

/// Few hosts for each service that know the service's targets.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    services: BTreeMap<ServiceName, Vec<HostId>>,
    per_service: usize,
}

impl Directory {
    /// Directory that keeps `per_service` contacts for each service.
    pub fn new(per_service: usize) -> Self {
        Self {
            services: BTreeMap::new(),
            per_service,
        }
    }

    /// Takes notice of a target's record.
    pub fn observe(&mut self, rng: &mut SmallRng, record: &Record) {
        let usable = record.verdict == Verdict::Alive && record.info.state <= TargetState::Serving;
        match usable {
            true => self.insert(rng, &record.info.service, record.host()),
            false => self.remove(&record.info.service, record.host()),
        }
    }

    /// Adds contacts learned from a peer.
    pub fn merge(&mut self, rng: &mut SmallRng, contacts: &Contacts) {
        for &host in &contacts.hosts {
            self.insert(rng, &contacts.service, host);
        }
    }

    /// Removes a contact that is gone.
    pub fn remove(&mut self, service: &ServiceName, host: HostId) {
        if let Some(hosts) = self.services.get_mut(service) {
            hosts.retain(|known| *known != host);
        }
    }

    /// Contacts of `service`.
    pub fn contacts(&self, service: &ServiceName) -> &[HostId] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Up to `count` entries chosen at random.
    pub fn sample(&self, rng: &mut SmallRng, count: usize) -> Vec<Contacts> {
        let chosen = self.services.iter().choose_multiple(rng, count);
        chosen.into_iter().map(Self::entry).collect()
    }

    /// Every entry.
    pub fn entries(&self) -> Vec<Contacts> {
        self.services.iter().map(Self::entry).collect()
    }

    /// One contact of `service` chosen at random.
    pub fn choose(&self, rng: &mut SmallRng, service: &ServiceName) -> Option<HostId> {
        self.contacts(service).choose(rng).copied()
    }

    /// Memory taken, in bytes.
    pub fn heap_bytes(&self) -> usize {
        let entry_bytes = |(name, hosts): (&ServiceName, &Vec<HostId>)| {
            size_of::<(ServiceName, Vec<HostId>)>()
                + name.as_str().len()
                + hosts.capacity() * size_of::<HostId>()
        };
        self.services.iter().map(entry_bytes).sum()
    }

    fn entry((service, hosts): (&ServiceName, &Vec<HostId>)) -> Contacts {
        Contacts {
            service: service.clone(),
            hosts: hosts.clone(),
        }
    }

    fn insert(&mut self, rng: &mut SmallRng, service: &ServiceName, host: HostId) {
        let hosts = match self.services.get_mut(service) {
            Some(hosts) => hosts,
            None => self.services.entry(service.clone()).or_default(),
        };
        if hosts.contains(&host) {
            return;
        }
        if hosts.len() < self.per_service {
            hosts.push(host);
            return;
        }
        let replaced = rng.random_range(0..hosts.len());
        hosts[replaced] = host;
    }
}
