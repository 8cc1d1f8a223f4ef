//! Invariants of a fleet, checked against the actual state of its nodes.

use std::collections::BTreeMap;
use std::time::Duration;

use rhubarblanding_core::prelude::*;
use rhubarblanding_membership::prelude::*;
use rhubarblanding_membership::testing::{NodeKey, host_number};
use rhubarblanding_membership::view::EjectionCap;

use super::Fleet;

/// Time limit for all nodes to learn of a leaving target.
const LEAVING_LIMIT: Duration = Duration::from_secs(3);
/// Time for which a node must have been undisturbed before it counts for timed checks.
const UNDISTURBED: Duration = Duration::from_secs(20);
/// Maximum message loss at which the timed checks apply, 0 to 1.
const LOSS_LIMIT: f64 = 0.1;

/// Violated invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    EndedIncarnationReturned {
        observer: NodeKey,
        host: HostId,
    },
    ReachableDeclaredDown {
        observer: NodeKey,
        host: HostId,
    },
    LeavingUnknown {
        observer: NodeKey,
        host: HostId,
    },
    TooManyEjected {
        observer: NodeKey,
        lost: usize,
        limit: usize,
    },
    VersionDecreased {
        observer: NodeKey,
    },
}

/// Checks the invariants of a fleet.
#[derive(Default)]
pub struct Oracle {
    ended: BTreeMap<(NodeKey, HostId), Incarnation>,
    versions: BTreeMap<NodeKey, DocVersion>,
    disturbed: BTreeMap<usize, MonoTime>,
    disturbed_all: MonoTime,
    leaving: Vec<(MonoTime, usize)>,
}

impl Oracle {
    /// Records that `node` was paused or resumed.
    pub fn disturb(&mut self, fleet: &Fleet, node: usize) {
        self.disturbed.insert(node, fleet.net.now);
    }

    /// Records that `node` started or ended, which loses its earlier state.
    pub fn record_start_or_end(&mut self, fleet: &Fleet, node: usize) {
        let observer = NodeKey(node);
        self.disturb(fleet, node);
        self.ended.retain(|(by, _), _| *by != observer);
        self.versions.remove(&observer);
    }

    /// Records that the network changed for all nodes.
    pub fn disturb_all(&mut self, fleet: &Fleet) {
        self.disturbed_all = fleet.net.now;
    }

    /// Records that `node` announced that it is leaving.
    pub fn record_leaving(&mut self, fleet: &Fleet, node: usize) {
        self.leaving.push((fleet.net.now, node));
    }

    /// Checks the events since the last call and the present state of the fleet.
    pub fn check(&mut self, fleet: &mut Fleet) -> Vec<Violation> {
        let events = std::mem::take(&mut fleet.events);
        let mut found = Vec::new();
        for (at, observer, event) in &events {
            found.extend(self.check_event(fleet, *at, *observer, event));
        }
        found.extend(self.check_versions(fleet));
        found.extend(self.check_leaving(fleet));
        found.extend(self.check_ejections(fleet));
        found
    }

    fn check_event(
        &mut self,
        fleet: &Fleet,
        at: MonoTime,
        observer: NodeKey,
        event: &Event,
    ) -> Option<Violation> {
        match event {
            Event::TargetUp { info, .. } => self.check_up(observer, info),
            Event::TargetDown {
                host, incarnation, ..
            } => {
                self.ended.insert((observer, *host), *incarnation);
                self.check_down(fleet, at, observer, *host)
            }
            _ => None,
        }
    }

    fn check_up(&self, observer: NodeKey, info: &TargetInfo) -> Option<Violation> {
        let host = info.host;
        let ended = self.ended.get(&(observer, host))?;
        (info.incarnation <= *ended)
            .then_some(Violation::EndedIncarnationReturned { observer, host })
    }

    fn check_down(
        &self,
        fleet: &Fleet,
        at: MonoTime,
        observer: NodeKey,
        host: HostId,
    ) -> Option<Violation> {
        let target = fleet.net.key_of(host)?;
        let running = fleet.net.member(target)?.me().state != TargetState::Stopped;
        let undisturbed =
            self.undisturbed_at(fleet, at, observer.0) && self.undisturbed_at(fleet, at, target.0);
        let reachable = running && undisturbed && same_group(fleet, observer, target);
        reachable.then_some(Violation::ReachableDeclaredDown { observer, host })
    }

    fn check_versions(&mut self, fleet: &Fleet) -> Vec<Violation> {
        let mut found = Vec::new();
        for node in fleet.live() {
            let observer = NodeKey(node);
            let Some(version) = fleet.member(node).map(Membership::document_version) else {
                continue;
            };
            let before = self.versions.insert(observer, version);
            if before.is_some_and(|before| before > version) {
                found.push(Violation::VersionDecreased { observer });
            }
        }
        found
    }

    fn check_leaving(&mut self, fleet: &Fleet) -> Vec<Violation> {
        let now = fleet.net.now;
        let (due, later): (Vec<_>, Vec<_>) = self
            .leaving
            .drain(..)
            .partition(|(at, _)| now.since(*at) >= LEAVING_LIMIT);
        self.leaving = later;
        let nodes = due.into_iter().map(|(_, node)| node);
        nodes.flat_map(|node| self.unaware(fleet, node)).collect()
    }

    /// Returns the undisturbed nodes in whose view a leaving target still accepts requests.
    fn unaware(&self, fleet: &Fleet, node: usize) -> Vec<Violation> {
        let host = host_number(node as u32);
        let leaving = fleet
            .member(node)
            .is_some_and(|m| m.me().state >= TargetState::Draining);
        if !leaving || !self.undisturbed(fleet, node) {
            return Vec::new();
        }
        let service = fleet.service_of(node);
        let live = fleet.live().into_iter();
        let undisturbed = live.filter(|observer| {
            self.undisturbed(fleet, *observer)
                && same_group(fleet, NodeKey(*observer), NodeKey(node))
        });
        let unaware = undisturbed.filter(|observer| {
            let known = fleet.usable(*observer, &service);
            known
                .iter()
                .any(|info| info.host == host && info.state < TargetState::Draining)
        });
        let observers = unaware.map(NodeKey);
        observers
            .map(|observer| Violation::LeavingUnknown { observer, host })
            .collect()
    }

    /// Returns the nodes that ejected more running targets than the cap allows.
    fn check_ejections(&self, fleet: &Fleet) -> Vec<Violation> {
        let cap = EjectionCap {
            share: fleet.settings.max_ejected_share,
            enabled: true,
        };
        let mut found = Vec::new();
        for node in fleet.live() {
            for service in fleet.interests(node) {
                let lost = self.lost(fleet, node, &service);
                let limit = cap.limit(fleet.shape.nodes / fleet.shape.services);
                if lost > limit {
                    let observer = NodeKey(node);
                    found.push(Violation::TooManyEjected {
                        observer,
                        lost,
                        limit,
                    });
                }
            }
        }
        found
    }

    /// Returns the number of running targets that `node` knew and regards as down.
    fn lost(&self, fleet: &Fleet, node: usize, service: &ServiceName) -> usize {
        let usable = fleet.usable(node, service);
        let lost = |info: &&TargetInfo| {
            let ended = self.ended.get(&(NodeKey(node), info.host));
            let known = usable.iter().any(|other| other.host == info.host);
            !known && ended.is_some_and(|ended| *ended == info.incarnation)
        };
        fleet.expected_targets(service).iter().filter(lost).count()
    }

    fn undisturbed(&self, fleet: &Fleet, node: usize) -> bool {
        self.undisturbed_at(fleet, fleet.net.now, node)
    }

    fn undisturbed_at(&self, fleet: &Fleet, at: MonoTime, node: usize) -> bool {
        let since = self.disturbed.get(&node).copied().unwrap_or_default();
        let latest = since.max(self.disturbed_all);
        let undisturbed = at.since(latest) >= UNDISTURBED;
        undisturbed && fleet.net.nodes()[node].is_active() && fleet.net.faults.loss <= LOSS_LIMIT
    }
}

fn same_group(fleet: &Fleet, a: NodeKey, b: NodeKey) -> bool {
    let nodes = fleet.net.nodes();
    nodes[a.0].group == nodes[b.0].group
}
