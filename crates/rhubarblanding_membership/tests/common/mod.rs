//! Simulated fleet of members, and the target states that their views are compared with.

#![expect(clippy::expect_used, reason = "a wrong name is a fault of the test")]
#![allow(dead_code)]

pub mod oracle;

use std::time::Duration;

use rhubarblanding_core::prelude::*;
use rhubarblanding_membership::prelude::*;
use rhubarblanding_membership::testing::{Faults, Network, NodeKey, host_number};

/// Concurrency limit of every target.
pub const SLOTS: u32 = 10;

/// Shape of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    pub nodes: usize,
    pub services: usize,
    pub zones: usize,
}

/// Name of the service with the given number.
pub fn service(number: usize) -> ServiceName {
    ServiceName::try_from(format!("service-{number}")).expect("valid name")
}

/// Name of the availability zone with the given number.
pub fn zone(number: usize) -> ZoneName {
    ZoneName::try_from(format!("zone-{number}")).expect("valid name")
}

/// A fleet in which the nodes of service `s` call service `s + 1`.
pub struct Fleet {
    pub net: Network,
    pub shape: Shape,
    pub settings: MembershipSettings,
    pub events: Vec<(MonoTime, NodeKey, Event)>,
    next_incarnation: u64,
}

impl Fleet {
    pub fn new(seed: u64, shape: Shape, faults: Faults, settings: MembershipSettings) -> Self {
        let seeds = (0..3).map(host_number).collect();
        let mut fleet = Self {
            net: Network::new(seed, faults),
            shape,
            settings: MembershipSettings { seeds, ..settings },
            events: Vec::new(),
            next_incarnation: 1_000,
        };
        for number in 0..shape.nodes {
            fleet.start(number);
        }
        fleet
    }

    pub fn service_of(&self, node: usize) -> ServiceName {
        service(node % self.shape.services)
    }

    pub fn zone_of(&self, node: usize) -> usize {
        (node / self.shape.services) % self.shape.zones
    }

    /// Services whose targets the node must know.
    pub fn interests(&self, node: usize) -> [ServiceName; 2] {
        let own = node % self.shape.services;
        [service(own), service((own + 1) % self.shape.services)]
    }

    pub fn start(&mut self, node: usize) {
        self.next_incarnation += 1_000;
        let info = TargetInfo {
            host: host_number(node as u32),
            incarnation: Incarnation(self.next_incarnation),
            service: self.service_of(node),
            zone: zone(self.zone_of(node)),
            slots: SLOTS,
            state: TargetState::Starting,
        };
        let key = self.net.start(info, self.settings.clone());
        let called = self.interests(node)[1].clone();
        self.input(key, Input::Interests(vec![called]));
        self.announce(node, TargetState::Serving);
    }

    /// Restarts a node whose time of day went back to before its earlier start.
    pub fn restart_in_the_past(&mut self, node: usize) {
        self.net.kill(NodeKey(node));
        let later = std::mem::take(&mut self.next_incarnation);
        self.start(node);
        self.next_incarnation = later;
    }

    pub fn announce(&mut self, node: usize, state: TargetState) {
        let slots = SLOTS;
        self.input(NodeKey(node), Input::Announce { state, slots });
    }

    pub fn input(&mut self, key: NodeKey, input: Input) {
        let now = self.net.now;
        let events = self.net.input(key, input);
        self.events
            .extend(events.into_iter().map(|event| (now, key, event)));
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.net.now + time;
        let events = &mut self.events;
        self.net
            .run_until(end, |now, key, event| events.push((now, key, event)));
    }

    /// Runs until `done` or for at most `limit`; returns the time it took.
    pub fn run_until(&mut self, limit: Duration, done: impl Fn(&Self) -> bool) -> Option<Duration> {
        let begin = self.net.now;
        while self.net.now.since(begin) <= limit {
            if done(self) {
                return Some(self.net.now.since(begin));
            }
            self.run(Duration::from_millis(100));
        }
        None
    }

    pub fn member(&self, node: usize) -> Option<&Membership> {
        self.net.member(NodeKey(node))
    }

    pub fn live(&self) -> Vec<usize> {
        let all = 0..self.shape.nodes;
        all.filter(|node| self.member(*node).is_some()).collect()
    }

    /// Returns the targets of `service` that are live, as each of them announces itself.
    pub fn expected_targets(&self, service: &ServiceName) -> Vec<TargetInfo> {
        let live = self.live().into_iter();
        let own = live
            .filter_map(|node| self.member(node))
            .map(Membership::me);
        let present = own.filter(|info| info.state != TargetState::Stopped);
        present
            .filter(|info| info.service == *service)
            .cloned()
            .collect()
    }

    /// Returns the targets of `service` that are healthy in the view of `node`.
    pub fn healthy(&self, node: usize, service: &ServiceName) -> Vec<TargetInfo> {
        let targets = self
            .member(node)
            .map(|m| m.targets(service))
            .unwrap_or_default();
        let healthy = targets.into_iter().filter(|t| t.health == Health::Healthy);
        let mut infos: Vec<_> = healthy.map(|t| t.info).collect();
        infos.sort_by_key(|info| info.host);
        infos
    }

    /// Returns the usable targets of `service` in the view of `node`.
    pub fn usable(&self, node: usize, service: &ServiceName) -> Vec<TargetInfo> {
        let targets = self
            .member(node)
            .map(|m| m.targets(service))
            .unwrap_or_default();
        let mut infos: Vec<_> = targets.into_iter().map(|t| t.info).collect();
        infos.sort_by_key(|info| info.host);
        infos
    }

    /// Returns `true` if the usable targets at every live node are exactly the live targets.
    pub fn complete(&self) -> bool {
        self.live().into_iter().all(|node| {
            let interests = self.interests(node);
            interests
                .iter()
                .all(|service| self.usable(node, service) == self.expected_targets(service))
        })
    }

    /// Returns `true` if the healthy targets at every live node are exactly the live targets.
    pub fn converged(&self) -> bool {
        self.live().into_iter().all(|node| {
            let interests = self.interests(node);
            interests
                .iter()
                .all(|service| self.healthy(node, service) == self.expected_targets(service))
        })
    }

    /// Returns `true` if every live node holds the same document version.
    pub fn documents_agree(&self) -> bool {
        let live = self.live().into_iter().filter_map(|node| self.member(node));
        let newest = live.map(Membership::document_version).max();
        self.failing(|member| Some(member.document_version()) == newest)
            .is_empty()
    }

    /// Returns the live nodes for which `check` does not hold.
    pub fn failing(&self, check: impl Fn(&Membership) -> bool) -> Vec<usize> {
        let live = self.live().into_iter();
        live.filter(|node| !self.member(*node).is_some_and(&check))
            .collect()
    }
}
