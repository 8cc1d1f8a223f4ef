//! Addresses that are used again by nodes of other services, and nodes whose service changes.

#![expect(clippy::expect_used, reason = "a test panics where its set-up fails")]

use std::collections::VecDeque;

use googletest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rhubarblanding_core::prelude::*;
use rhubarblanding_membership::message::Body;
use rhubarblanding_membership::prelude::*;

const NODES: u8 = 12;
/// Host whose address is used again, and one of the nodes that know it.
const REUSED: usize = 0;
const OBSERVER: usize = 5;
/// Incarnation of the first node at each address.
const BEFORE: Incarnation = Incarnation(10);

fn host(i: usize) -> HostId {
    HostId(([10, 0, 0, i as u8], 7_000).into())
}

fn service(name: &str) -> ServiceName {
    ServiceName::try_from(name).expect("a name")
}

fn info(i: usize, name: &str, incarnation: Incarnation) -> TargetInfo {
    TargetInfo {
        host: host(i),
        incarnation,
        service: service(name),
        zone: ZoneName::try_from("ros").expect("a name"),
        slots: 10,
        state: TargetState::Serving,
    }
}

fn member(info: TargetInfo) -> Membership {
    let settings = MembershipSettings {
        view: ViewMode::Full,
        join_fanout: usize::from(NODES),
        ..MembershipSettings::default()
    };
    Membership::new(info, settings)
}

struct Fleet {
    members: Vec<Membership>,
    rng: SmallRng,
}

impl Fleet {
    /// Starts nodes of the service `before`, all of which know each other.
    fn start() -> Self {
        let members = (0..usize::from(NODES)).map(|i| member(info(i, "before", BEFORE)));
        let mut fleet = Self {
            members: members.collect(),
            rng: SmallRng::seed_from_u64(1),
        };
        let hosts: Vec<_> = (0..usize::from(NODES)).map(host).collect();
        for i in 0..usize::from(NODES) {
            fleet.handle(i, Input::Seeds(hosts.clone()));
        }
        fleet
    }

    /// Handles an input and delivers messages until none is left. No time passes, so no timer fires.
    fn handle(&mut self, i: usize, input: Input) {
        let outputs = self.members[i].handle(MonoTime::ZERO, &mut self.rng, input);
        let mut outputs = VecDeque::from(outputs);
        while let Some(output) = outputs.pop_front() {
            if let Output::Send { to, msg } = output {
                let to = (0..usize::from(NODES)).find(|i| host(*i) == to);
                let member = &mut self.members[to.expect("a node")];
                let input = Input::Message(*msg);
                outputs.extend(member.handle(MonoTime::ZERO, &mut self.rng, input));
            }
        }
    }

    /// Returns the hosts of `name` that a node knows.
    fn known(&self, i: usize, name: &str) -> Vec<HostId> {
        let targets = self.members[i].targets(&service(name));
        targets.into_iter().map(|target| target.info.host).collect()
    }

    /// Starts a node of the service `after`, which has heard of nobody, at the reused address.
    fn reuse(&mut self, incarnation: Incarnation) {
        self.members[REUSED] = member(info(REUSED, "after", incarnation));
    }

    fn contradict(&mut self, incarnation: Incarnation) {
        let input = Input::Contradicted {
            host: host(REUSED),
            incarnation,
        };
        self.handle(OBSERVER, input);
    }

    fn expect_moved(&self) {
        assert_that!(
            self.known(OBSERVER, "before"),
            not(contains(eq(&host(REUSED))))
        );
        assert_that!(
            self.known(OBSERVER, "after"),
            elements_are![eq(&host(REUSED))]
        );
    }
}

fn is_known_at_once(incarnation: u64) {
    let mut fleet = Fleet::start();
    assert_that!(fleet.known(OBSERVER, "before"), len(eq(usize::from(NODES))));
    fleet.reuse(Incarnation(incarnation));
    fleet.contradict(BEFORE);
    fleet.expect_moved();
}

rhubarblanding_core::cases! {
    is_known_at_once;
    node_at_a_reused_address: (20);
    node_whose_clock_is_behind_that_of_the_one_before: (3);
    node_that_started_in_the_same_millisecond: (10);
}

/// The refusal of a host that has been learned of since.
#[test]
fn contradiction_of_an_earlier_record_asks_nobody() {
    let mut fleet = Fleet::start();
    fleet.reuse(Incarnation(20));
    fleet.contradict(BEFORE);
    let input = Input::Contradicted {
        host: host(REUSED),
        incarnation: BEFORE,
    };
    let outputs = fleet.members[OBSERVER].handle(MonoTime::ZERO, &mut fleet.rng, input);
    let is_message = |output: &&Output| matches!(output, Output::Send { .. });
    assert_that!(outputs.iter().filter(is_message).count(), eq(0));
}

/// A node that was cut off meanwhile spreads what it knows.
#[test]
fn record_of_before_does_not_come_back() {
    let mut fleet = Fleet::start();
    fleet.reuse(Incarnation(20));
    fleet.contradict(BEFORE);
    let before = fleet.members[7].record(host(REUSED)).cloned();
    let msg = GossipMessage {
        from: host(7),
        incarnation: BEFORE,
        document: DocVersion(0),
        updates: Vec::from_iter(before),
        body: Body::Updates,
    };
    fleet.handle(OBSERVER, Input::Message(msg));
    fleet.expect_moved();
}

/// The settings of a running node name another service.
#[test]
fn node_that_changes_its_service_is_known_under_it() {
    let mut fleet = Fleet::start();
    fleet.handle(REUSED, Input::Service(service("after")));
    let state = TargetState::Serving;
    fleet.handle(REUSED, Input::Announce { state, slots: 4 });
    assert_that!(
        fleet.known(REUSED, "after"),
        elements_are![eq(&host(REUSED))]
    );
    fleet.contradict(BEFORE);
    fleet.expect_moved();
    fleet.handle(REUSED, Input::Service(service("after")));
    let incarnation = fleet.members[REUSED].incarnation();
    assert_that!(incarnation, eq(Incarnation(BEFORE.0 + 1)), "named again");
}
