//! Each check of the oracle passes with all mechanisms and fails without the one it covers.

mod common;

use std::time::Duration;

use googletest::prelude::*;
use rhubarblanding_core::prelude::*;
use rhubarblanding_membership::prelude::*;
use rhubarblanding_membership::testing::{Faults, NodeKey};

use crate::common::oracle::{Oracle, Violation};
use crate::common::{Fleet, Shape};

const SHAPE: Shape = Shape {
    nodes: 48,
    services: 4,
    zones: 3,
};
const SETTLE: Duration = Duration::from_secs(30);

fn without(switch: fn(&mut Mechanisms)) -> MembershipSettings {
    let mut settings = MembershipSettings::default();
    switch(&mut settings.mechanisms);
    settings
}

fn settled(settings: MembershipSettings) -> (Fleet, Oracle) {
    let mut fleet = Fleet::new(21, SHAPE, Faults::default(), settings);
    fleet.run(SETTLE);
    (fleet, Oracle::default())
}

fn kinds(violations: &[Violation]) -> Vec<std::mem::Discriminant<Violation>> {
    let mut kinds: Vec<_> = violations.iter().map(std::mem::discriminant).collect();
    kinds.dedup();
    kinds
}

/// The loss of an availability zone must not eject more targets than the cap allows.
fn zone_cut(settings: MembershipSettings) -> Vec<Violation> {
    let (mut fleet, mut oracle) = settled(settings);
    let zone = (0..SHAPE.nodes).filter(|node| fleet.zone_of(*node) < 2);
    zone.collect::<Vec<_>>()
        .into_iter()
        .for_each(|n| fleet.net.set_group(NodeKey(n), 1));
    oracle.disturb_all(&fleet);
    fleet.run(Duration::from_secs(90));
    oracle.check(&mut fleet)
}

/// Message loss makes nodes suspect each other; reachable nodes must not be declared down.
fn lossy_network(settings: MembershipSettings) -> Vec<Violation> {
    let (mut fleet, mut oracle) = settled(settings);
    fleet.net.faults.loss = 0.1;
    fleet.run(Duration::from_secs(120));
    oracle.check(&mut fleet)
}

/// A node that was paused while another was killed must not spread the outdated record of it.
fn stale_peer(settings: MembershipSettings) -> Vec<Violation> {
    let (mut fleet, mut oracle) = settled(settings);
    fleet.net.pause(NodeKey(5), true);
    fleet.net.kill(NodeKey(9));
    fleet.run(Duration::from_secs(90));
    let mut violations = oracle.check(&mut fleet);
    fleet.net.pause(NodeKey(5), false);
    oracle.disturb(&fleet, 5);
    fleet.run(SETTLE);
    violations.extend(oracle.check(&mut fleet));
    violations
}

/// All nodes must learn of a leaving target in time, however rare probes are.
fn leaving(settings: MembershipSettings) -> Vec<Violation> {
    let settings = MembershipSettings {
        probe_interval: Duration::from_secs(5),
        ..settings
    };
    let (mut fleet, mut oracle) = settled(settings);
    fleet.announce(7, TargetState::Draining);
    oracle.record_leaving(&fleet, 7);
    fleet.run(Duration::from_secs(3));
    oracle.check(&mut fleet)
}

/// An outdated document must not replace a newer one.
fn late_document(settings: MembershipSettings) -> Vec<Violation> {
    let (mut fleet, mut oracle) = settled(settings);
    let mut violations = Vec::new();
    for version in [5, 4] {
        let document = Document::whole(DocVersion(version), String::new());
        fleet.input(NodeKey(0), Input::Document(document));
        violations.extend(oracle.check(&mut fleet));
    }
    violations
}

type Scenario = fn(MembershipSettings) -> Vec<Violation>;

fn oracle_detects(scenario: Scenario, switch: fn(&mut Mechanisms), expected: Violation) {
    assert_that!(scenario(MembershipSettings::default()), is_empty());
    let found = scenario(without(switch));
    assert_that!(
        kinds(&found),
        contains(eq(&std::mem::discriminant(&expected)))
    );
}

const OBSERVER: NodeKey = NodeKey(0);

fn host() -> HostId {
    rhubarblanding_membership::testing::host_number(0)
}

rhubarblanding_core::cases! {
    oracle_detects;
    ejection_cap: (zone_cut, |m| m.ejection_cap = false, Violation::TooManyEjected { observer: OBSERVER, lost: 0, limit: 0 });
    refutation_and_verification: (lossy_network, |m| { m.refutation = false; m.verification = false; }, Violation::ReachableDeclaredDown { observer: OBSERVER, host: host() });
    tombstones: (stale_peer, |m| m.tombstones = false, Violation::EndedIncarnationReturned { observer: OBSERVER, host: host() });
    eager_spreading: (leaving, |m| m.eager_spreading = false, Violation::LeavingUnknown { observer: OBSERVER, host: host() });
    version_check: (late_document, |m| m.version_check = false, Violation::VersionDecreased { observer: OBSERVER });
}

/// Suspicions caused by message loss end with it, if the suspects can refute them.
fn views_agree_after_losses(settings: MembershipSettings, expected: bool) {
    let (mut fleet, _) = settled(settings);
    fleet.net.faults.loss = 0.3;
    fleet.run(Duration::from_secs(60));
    fleet.net.faults.loss = 0.0;
    let took = fleet.run_until(Duration::from_secs(60), Fleet::converged);
    assert_that!(took.is_some(), eq(expected));
}

mod refutation {
    use super::*;

    rhubarblanding_core::cases! {
        views_agree_after_losses;
        enabled: (MembershipSettings::default(), true);
        disabled: (without(|m| m.refutation = false), false);
    }
}

/// Views converge after a partition, unless nodes never compare them.
fn views_agree_after_a_cut(settings: MembershipSettings, expected: bool) {
    let (mut fleet, _) = settled(settings);
    (0..SHAPE.nodes / 2).for_each(|node| fleet.net.set_group(NodeKey(node), 1));
    [3, 40]
        .into_iter()
        .for_each(|node| fleet.announce(node, TargetState::Stopped));
    fleet.run(Duration::from_secs(20));
    (0..SHAPE.nodes).for_each(|node| fleet.net.set_group(NodeKey(node), 0));
    let took = fleet.run_until(Duration::from_secs(60), Fleet::converged);
    assert_that!(took.is_some(), eq(expected));
}

mod anti_entropy {
    use super::*;

    rhubarblanding_core::cases! {
        views_agree_after_a_cut;
        enabled: (MembershipSettings::default(), true);
        disabled: (without(|m| m.anti_entropy = false), false);
    }
}
