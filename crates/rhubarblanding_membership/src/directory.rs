//! Contacts for every service, used to look up services that are not in the view.

use std::collections::BTreeMap;

use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::{IndexedRandom, IteratorRandom};
use rhubarblanding_core::prelude::{HostId, ServiceName, TargetState};

use crate::message::Contacts;
use crate::record::{Record, Verdict};

/// A few hosts for each service that hold the records of its targets.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    services: BTreeMap<ServiceName, Vec<HostId>>,
    per_service: usize,
}

impl Directory {
    /// Creates a directory that keeps `per_service` contacts for each service.
    pub fn new(per_service: usize) -> Self {
        Self {
            services: BTreeMap::new(),
            per_service,
        }
    }

    /// Adds the host of a live target as a contact; removes that of a leaving, suspect or down one.
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

    /// Removes a contact of `service`.
    pub fn remove(&mut self, service: &ServiceName, host: HostId) {
        if let Some(hosts) = self.services.get_mut(service) {
            hosts.retain(|known| *known != host);
        }
    }

    /// Returns the contacts of `service`.
    pub fn contacts(&self, service: &ServiceName) -> &[HostId] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns up to `count` entries chosen at random.
    pub fn sample(&self, rng: &mut SmallRng, count: usize) -> Vec<Contacts> {
        let chosen = self.services.iter().choose_multiple(rng, count);
        chosen.into_iter().map(Self::entry).collect()
    }

    /// Returns every entry.
    pub fn entries(&self) -> Vec<Contacts> {
        self.services.iter().map(Self::entry).collect()
    }

    /// Returns one contact of `service` chosen at random.
    pub fn choose(&self, rng: &mut SmallRng, service: &ServiceName) -> Option<HostId> {
        self.contacts(service).choose(rng).copied()
    }

    /// Returns the memory used, in bytes.
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
