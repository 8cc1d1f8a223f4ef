//! Stateful fuzzing of a fleet: loss, duplication, delay, partitions, pauses, kills and restarts.
//!
//! `RHUBARBLANDING_FUZZ_CASES` sets the number of cases and `RHUBARBLANDING_FUZZ_SEED` the seed.

mod common;

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use rhubarblanding_core::prelude::*;
use rhubarblanding_membership::prelude::*;
use rhubarblanding_membership::testing::{Faults, NodeKey};

use crate::common::oracle::Oracle;
use crate::common::{Fleet, Shape};

const SHAPE: Shape = Shape {
    nodes: 24,
    services: 3,
    zones: 4,
};
const DEFAULT_CASES: u32 = 12;
const DEFAULT_SEED: u64 = 6_700;
const START: Duration = Duration::from_secs(30);
/// Time limit for all views to converge after the last fault has ended.
const CONVERGENCE_LIMIT: Duration = Duration::from_secs(120);

/// State of one node in the plan of the test.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NodeState {
    Running,
    Leaving,
    Paused,
    Dead,
}

#[derive(Clone, Debug)]
struct Plan {
    seed: u64,
    states: Vec<NodeState>,
    version: u64,
}

#[derive(Clone, Debug)]
enum Action {
    Run {
        millis: u64,
    },
    Kill(usize),
    Start(usize),
    Leave(usize),
    Stop(usize),
    Pause(usize),
    Continue(usize),
    Cut {
        zone: usize,
    },
    Split,
    Heal,
    Network {
        loss_percent: u8,
        duplication_percent: u8,
        max_delay_millis: u64,
    },
    Document {
        at: usize,
    },
}

struct Reference;

impl ReferenceStateMachine for Reference {
    type State = Plan;
    type Transition = Action;

    fn init_state() -> BoxedStrategy<Plan> {
        let plan = |seed| Plan {
            seed,
            states: vec![NodeState::Running; SHAPE.nodes],
            version: 0,
        };
        any::<u64>().prop_map(plan).boxed()
    }

    fn transitions(_: &Plan) -> BoxedStrategy<Action> {
        let node = 0..SHAPE.nodes;
        prop_oneof![
            8 => (100..20_000u64).prop_map(|millis| Action::Run { millis }),
            2 => node.clone().prop_map(Action::Kill),
            3 => node.clone().prop_map(Action::Start),
            3 => node.clone().prop_map(Action::Leave),
            1 => node.clone().prop_map(Action::Stop),
            1 => node.clone().prop_map(Action::Pause),
            2 => node.clone().prop_map(Action::Continue),
            1 => (0..SHAPE.zones).prop_map(|zone| Action::Cut { zone }),
            1 => Just(Action::Split),
            2 => Just(Action::Heal),
            2 => (0..=20u8, 0..=10u8, 1..=200u64).prop_map(
                |(loss_percent, duplication_percent, max_delay_millis)| Action::Network {
                    loss_percent,
                    duplication_percent,
                    max_delay_millis,
                }
            ),
            2 => node.prop_map(|at| Action::Document { at }),
        ]
        .boxed()
    }

    fn preconditions(plan: &Plan, action: &Action) -> bool {
        match action {
            Action::Kill(node) => plan.states[*node] != NodeState::Dead,
            Action::Start(node) => {
                matches!(plan.states[*node], NodeState::Dead | NodeState::Leaving)
            }
            Action::Leave(node) | Action::Pause(node) => plan.states[*node] == NodeState::Running,
            Action::Stop(node) => plan.states[*node] == NodeState::Leaving,
            Action::Continue(node) => plan.states[*node] == NodeState::Paused,
            _ => true,
        }
    }

    fn apply(mut plan: Plan, action: &Action) -> Plan {
        match action {
            Action::Kill(node) | Action::Stop(node) => plan.states[*node] = NodeState::Dead,
            Action::Start(node) | Action::Continue(node) => plan.states[*node] = NodeState::Running,
            Action::Leave(node) => plan.states[*node] = NodeState::Leaving,
            Action::Pause(node) => plan.states[*node] = NodeState::Paused,
            Action::Document { .. } => plan.version += 1,
            _ => {}
        }
        plan
    }
}

struct Run {
    fleet: Fleet,
    oracle: Oracle,
}

impl Run {
    fn heal(&mut self) {
        (0..SHAPE.nodes).for_each(|node| self.fleet.net.set_group(NodeKey(node), 0));
        self.oracle.disturb_all(&self.fleet);
    }

    fn cut(&mut self, apart: impl Fn(usize) -> bool) {
        for node in 0..SHAPE.nodes {
            if apart(self.fleet.zone_of(node)) {
                self.fleet.net.set_group(NodeKey(node), 1);
            }
        }
        self.oracle.disturb_all(&self.fleet);
    }

    fn act(&mut self, action: Action, version: u64) {
        match action {
            Action::Run { millis } => self.fleet.run(Duration::from_millis(millis)),
            Action::Kill(node) => self.fleet.net.kill(NodeKey(node)),
            Action::Start(node) => self.fleet.start(node),
            Action::Leave(node) => self.fleet.announce(node, TargetState::Draining),
            Action::Stop(node) => {
                self.fleet.announce(node, TargetState::Stopped);
                self.fleet.net.kill(NodeKey(node));
            }
            Action::Pause(node) => self.fleet.net.pause(NodeKey(node), true),
            Action::Continue(node) => self.fleet.net.pause(NodeKey(node), false),
            Action::Cut { zone } => self.cut(|other| other == zone),
            Action::Split => self.cut(|zone| zone < SHAPE.zones / 2),
            Action::Heal => self.heal(),
            Action::Network {
                loss_percent,
                duplication_percent,
                max_delay_millis,
            } => {
                self.fleet.net.faults = Faults {
                    loss: f64::from(loss_percent) / 100.0,
                    duplication: f64::from(duplication_percent) / 100.0,
                    max_delay: Duration::from_millis(max_delay_millis),
                    ..Faults::default()
                };
                self.oracle.disturb_all(&self.fleet);
            }
            Action::Document { at } => {
                let document = Document::whole(DocVersion(version), version.to_string());
                self.fleet.input(NodeKey(at), Input::Document(document));
            }
        }
    }

    fn record(&mut self, action: &Action) {
        match action {
            Action::Leave(node) => self.oracle.record_leaving(&self.fleet, *node),
            Action::Pause(node) | Action::Continue(node) => {
                self.oracle.disturb(&self.fleet, *node);
            }
            Action::Kill(node) | Action::Start(node) | Action::Stop(node) => {
                self.oracle.record_start_or_end(&self.fleet, *node);
            }
            _ => {}
        }
    }
}

impl StateMachineTest for Run {
    type SystemUnderTest = Run;
    type Reference = Reference;

    fn init_test(plan: &Plan) -> Run {
        let settings = MembershipSettings::default();
        let mut fleet = Fleet::new(plan.seed, SHAPE, Faults::default(), settings);
        fleet.run(START);
        Run {
            fleet,
            oracle: Oracle::default(),
        }
    }

    fn apply(mut run: Run, plan: &Plan, action: Action) -> Run {
        run.act(action.clone(), plan.version);
        run.record(&action);
        let violations = run.oracle.check(&mut run.fleet);
        assert!(violations.is_empty(), "{violations:?}");
        run
    }

    fn teardown(mut run: Run, plan: Plan) {
        run.heal();
        run.fleet.net.faults = Faults::default();
        let paused = plan
            .states
            .iter()
            .enumerate()
            .filter(|(_, state)| **state == NodeState::Paused);
        paused.for_each(|(node, _)| run.fleet.net.pause(NodeKey(node), false));
        let agree = |fleet: &Fleet| fleet.converged() && fleet.documents_agree();
        let took = run.fleet.run_until(CONVERGENCE_LIMIT, agree);
        let (views, documents) = (run.fleet.converged(), run.fleet.documents_agree());
        assert!(
            took.is_some(),
            "agreement of views: {views}, of documents: {documents}"
        );
    }
}

fn from_env<T: std::str::FromStr>(name: &str, default: T) -> T {
    let value = std::env::var(name).ok();
    value.and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn config() -> Config {
    Config {
        cases: from_env("RHUBARBLANDING_FUZZ_CASES", DEFAULT_CASES),
        rng_seed: RngSeed::Fixed(from_env("RHUBARBLANDING_FUZZ_SEED", DEFAULT_SEED)),
        failure_persistence: None,
        max_shrink_iters: 200,
        ..Config::default()
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn fleet_violates_no_invariant(sequential 5..40 => Run);
}
