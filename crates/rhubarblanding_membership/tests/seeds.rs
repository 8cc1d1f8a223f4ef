//! Joining: nodes that start together know all targets after one exchange of messages.

#![expect(clippy::expect_used, reason = "a test panics where its set-up fails")]

use std::collections::VecDeque;

use googletest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rhubarblanding_core::prelude::*;
use rhubarblanding_membership::message::{Body, ProbeSeq};
use rhubarblanding_membership::prelude::*;

const NODES: u8 = 40;
const SERVICES: u8 = 4;
const ZONES: u8 = 3;

fn host(i: u8) -> HostId {
    HostId(([10, 0, 0, i], 7_000).into())
}

fn service(i: u8) -> ServiceName {
    ServiceName::try_from(format!("s{}", i % SERVICES)).expect("a name")
}

fn member(i: u8) -> Membership {
    member_with_incarnation(i, Incarnation(1))
}

fn member_with_incarnation(i: u8, incarnation: Incarnation) -> Membership {
    let info = TargetInfo {
        host: host(i),
        incarnation,
        service: service(i),
        zone: ZoneName::try_from(format!("z{}", i % ZONES)).expect("a name"),
        slots: 10,
        state: TargetState::Serving,
    };
    let settings = MembershipSettings {
        view: ViewMode::Full,
        join_fanout: usize::from(NODES),
        ..MembershipSettings::default()
    };
    Membership::new(info, settings)
}

fn hosts() -> Vec<HostId> {
    (0..NODES).map(host).collect()
}

/// Delivers messages until none is left. No time passes, so no timer fires.
fn deliver(members: &mut [Membership], rng: &mut SmallRng, outputs: Vec<Output>) {
    let mut messages = VecDeque::from(outputs);
    while let Some(output) = messages.pop_front() {
        let Output::Send { to, msg } = output else {
            continue;
        };
        let at = hosts().iter().position(|host| *host == to);
        let member = &mut members[at.expect("a node")];
        messages.extend(member.handle(MonoTime::ZERO, rng, Input::Message(*msg)));
    }
}

fn joined(rng: &mut SmallRng) -> Vec<Membership> {
    let mut members: Vec<_> = (0..NODES).map(member).collect();
    let mut outputs = Vec::new();
    for member in &mut members {
        outputs.extend(member.handle(MonoTime::ZERO, rng, Input::Seeds(hosts())));
    }
    deliver(&mut members, rng, outputs);
    members
}

#[test]
fn addresses_of_all_nodes_make_all_targets_known() {
    let members = joined(&mut SmallRng::seed_from_u64(1));
    for member in &members {
        for i in 0..SERVICES {
            let known = member.targets(&service(i)).len();
            assert_that!(known, eq(usize::from(NODES / SERVICES)));
        }
    }
}

/// A node that restarts while the key-value service is unavailable receives no addresses, but the
/// others, which know its earlier incarnation, still probe it.
#[test]
fn node_without_peers_joins_through_a_node_that_probes_it() {
    let mut rng = SmallRng::seed_from_u64(2);
    let mut members = joined(&mut rng);
    members[0] = member_with_incarnation(0, Incarnation(2));
    let probe = GossipMessage {
        from: host(1),
        incarnation: Incarnation(1),
        document: DocVersion(0),
        updates: Vec::new(),
        body: Body::Ping(ProbeSeq(1)),
    };
    let outputs = members[0].handle(MonoTime::ZERO, &mut rng, Input::Message(probe));
    deliver(&mut members, &mut rng, outputs);
    for i in 0..SERVICES {
        assert_that!(members[0].targets(&service(i)).len(), gt(0));
    }
}

/// A node that learns outside of membership messages that a peer holds a newer document asks it once, and
/// again only if no answer came.
#[gtest]
fn newer_document_of_a_peer_is_requested() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut member = member(0);
    member.handle(MonoTime::ZERO, &mut rng, Input::Tick);
    let held = Document::whole(DocVersion(4), "four".to_owned());
    member.handle(MonoTime::ZERO, &mut rng, Input::Document(held));
    let mut requests_at = |millis, version| {
        let input = Input::PeerDocument {
            from: host(1),
            version: DocVersion(version),
        };
        let outputs = member.handle(MonoTime::from_millis(millis), &mut rng, input);
        let is_request = |output: &Output| match output {
            Output::Send { to, msg } => {
                *to == host(1) && matches!(msg.body, Body::DocumentRequest(DocVersion(4)))
            }
            Output::Event(_) => false,
        };
        outputs.iter().filter(|output| is_request(output)).count()
    };
    expect_that!(requests_at(1, 4), eq(0));
    expect_that!(requests_at(2, 5), eq(1));
    expect_that!(requests_at(3, 5), eq(0));
    expect_that!(requests_at(1_000, 5), eq(1));
}
