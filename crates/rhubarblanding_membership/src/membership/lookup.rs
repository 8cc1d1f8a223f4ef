//! Interest in services, and lookup of the targets of a service that is not resolved yet.

use std::time::Duration;

use rhubarblanding_core::prelude::{HostId, ServiceName};

use super::{Cx, Membership, Timer};
use crate::message::{Body, Contacts, ServiceRecords};

impl Membership {
    /// Maximum time between two lookups of a service.
    const LOOKUP_INTERVAL_MAX: Duration = Duration::from_secs(8);
    /// Number of peers queried when the directory has no contact.
    const LOOKUP_FANOUT: usize = 3;

    pub(super) fn on_interests(&mut self, cx: &mut Cx<'_>, mut services: Vec<ServiceName>) {
        services.push(self.me.info.service.clone());
        let until = cx.now + self.settings.lookup_ttl;
        self.view.release_others(&services, until);
        for service in services {
            self.view.keep(service.clone());
            self.look_up(cx, service);
        }
    }

    pub(super) fn on_lookup_input(&mut self, cx: &mut Cx<'_>, service: ServiceName) {
        let until = cx.now + self.settings.lookup_ttl;
        self.view.keep_until(service.clone(), until);
        self.look_up(cx, service);
    }

    /// Starts a lookup of `service`, unless one is running or the service is resolved.
    pub(super) fn look_up(&mut self, cx: &mut Cx<'_>, service: ServiceName) {
        if self.view.is_resolved(&service) || self.lookups.contains_key(&service) {
            return;
        }
        self.lookups.insert(service.clone(), 0);
        self.on_lookup_timer(cx, service);
    }

    pub(super) fn on_lookup_timer(&mut self, cx: &mut Cx<'_>, service: ServiceName) {
        if self.view.is_resolved(&service) || !self.view.holds(&service) {
            self.lookups.remove(&service);
            return;
        }
        self.send_lookup(cx, &service);
        let attempt = self.lookups.entry(service.clone()).or_default();
        let factor = 1 << (*attempt).min(6);
        *attempt += 1;
        let wait = (factor * self.settings.request_timeout).min(Self::LOOKUP_INTERVAL_MAX);
        self.timers.subscribe(cx.now + wait, Timer::Lookup(service));
    }

    pub(super) fn on_lookup(&mut self, cx: &mut Cx<'_>, from: HostId, service: ServiceName) {
        let known = self.view.is_resolved(&service) || service == self.me.info.service;
        let body = match known {
            true => Body::Records(ServiceRecords {
                records: self.view.records(&service),
                service,
                answer: false,
            }),
            false => Body::Contacts(Contacts {
                hosts: self.directory.contacts(&service).to_vec(),
                service,
            }),
        };
        self.send(cx, from, body);
    }

    pub(super) fn on_contacts(&mut self, cx: &mut Cx<'_>, contacts: Contacts) {
        self.directory.merge(cx.rng, &contacts);
        let wanted = self.lookups.contains_key(&contacts.service);
        if wanted && !self.view.is_resolved(&contacts.service) {
            for host in contacts.hosts {
                self.send_unless_me(cx, host, Body::Lookup(contacts.service.clone()));
            }
        }
    }

    fn send_lookup(&mut self, cx: &mut Cx<'_>, service: &ServiceName) {
        let me = self.me.host();
        let contact = self.directory.choose(cx.rng, service);
        let mut receivers = self.sample.choose(cx.rng, Self::LOOKUP_FANOUT, me);
        if let Some(contact) = contact.filter(|host| *host != me) {
            receivers = vec![contact];
        }
        for host in receivers {
            self.send_unless_me(cx, host, Body::Lookup(service.clone()));
        }
    }

    fn send_unless_me(&self, cx: &mut Cx<'_>, to: HostId, body: Body) {
        if to != self.me.host() {
            self.send(cx, to, body);
        }
    }
}
