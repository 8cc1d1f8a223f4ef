//! An entry gate and a model of it that tracks the last report of each target.

use std::time::Duration;

use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rhubarblanding_admission::prelude::*;
use rhubarblanding_core::prelude::{
    AdmissionLevel, HostId, Importance, LoadReport, MonoTime, Priority, RootId,
};

const HOSTS: usize = 4;
const REPORT_LIFETIME: Duration = Duration::from_secs(1);

/// Fault that is injected to check that the oracle detects it.
pub struct Fault;

impl Fault {
    pub const NONE: u8 = 0;
    /// Requests of any importance are admitted at random.
    pub const LOW_PROBES: u8 = 1;
    /// Reports of one target do not reach the gate.
    pub const REPORT_LOST: u8 = 2;
}

#[derive(Clone, Debug)]
pub enum Step {
    Observe {
        host: usize,
        level: u16,
        draining: bool,
    },
    Remove {
        host: usize,
    },
    Wait {
        millis: u64,
    },
    Check {
        roots: [u64; 4],
    },
}

pub struct Steps;

impl ReferenceStateMachine for Steps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        prop_oneof![
            8 => (0..HOSTS, 0..=AdmissionLevel::MAX.0, proptest::bool::weighted(0.1))
                .prop_map(|(host, level, draining)| Step::Observe { host, level, draining }),
            1 => (0..HOSTS).prop_map(|host| Step::Remove { host }),
            4 => (0u64..400).prop_map(|millis| Step::Wait { millis }),
            12 => any::<[u64; 4]>().prop_map(|roots| Step::Check { roots }),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

#[derive(Clone, Copy, Debug)]
struct ReportedLevel {
    level: AdmissionLevel,
    at: MonoTime,
}

pub struct Harness {
    fault: u8,
    gate: EntryGate,
    rng: SmallRng,
    now: MonoTime,
    levels: [Option<ReportedLevel>; HOSTS],
}

impl Harness {
    fn observe(&mut self, host: usize, level: u16, draining: bool) {
        let report = LoadReport {
            level: AdmissionLevel(level),
            draining,
            ..LoadReport::default()
        };
        let reported = ReportedLevel {
            level: report.level,
            at: self.now,
        };
        self.levels[host] = (!draining).then_some(reported);
        if self.fault != Fault::REPORT_LOST || host > 0 {
            self.gate.observe(self.now, host_id(host), report);
        }
    }

    /// Checks one request of each importance, and compares the results.
    fn check(&mut self, roots: [u64; 4]) {
        let importances = [
            Importance::Critical,
            Importance::High,
            Importance::Normal,
            Importance::Background,
        ];
        let mut refused = false;
        for (importance, root) in importances.into_iter().zip(roots) {
            let priority = Priority::new(importance, RootId(root));
            let passes = self.passes(priority);
            assert!(
                !(passes && refused),
                "{importance} passes while something more important is refused"
            );
            if !passes {
                self.check_refused(priority);
            }
            refused |= !passes;
        }
    }

    fn passes(&mut self, priority: Priority) -> bool {
        let passes = self.gate.check(self.now, &mut self.rng, priority).is_ok();
        passes || (self.fault == Fault::LOW_PROBES && self.rng.random_bool(0.2))
    }

    /// Checks that no target with a recent report admits a refused request.
    ///
    /// A level only falls with time, so the last reported one is the highest in effect.
    fn check_refused(&self, priority: Priority) {
        let reported = self.levels.iter().flatten();
        let is_admitted = reported
            .filter(|reported| self.now.since(reported.at) < REPORT_LIFETIME)
            .any(|reported| reported.level.admits(priority));
        assert!(
            !is_admitted,
            "{priority:?} is refused though a target takes it"
        );
    }
}

fn host_id(host: usize) -> HostId {
    HostId(([10, 0, 0, host as u8], 7_000).into())
}

pub struct EntryTest<const FAULT: u8>;

impl<const FAULT: u8> StateMachineTest for EntryTest<FAULT> {
    type SystemUnderTest = Harness;
    type Reference = Steps;

    fn init_test((): &()) -> Harness {
        Harness {
            fault: FAULT,
            gate: EntryGate::new(EntrySettings::default()),
            rng: SmallRng::seed_from_u64(1),
            now: MonoTime::ZERO,
            levels: [None; HOSTS],
        }
    }

    fn apply(mut harness: Harness, (): &(), step: Step) -> Harness {
        match step {
            Step::Observe {
                host,
                level,
                draining,
            } => harness.observe(host, level, draining),
            Step::Remove { host } => {
                harness.levels[host] = None;
                harness.gate.remove(host_id(host));
            }
            Step::Wait { millis } => harness.now = harness.now + Duration::from_millis(millis),
            Step::Check { roots } => harness.check(roots),
        }
        harness
    }
}
