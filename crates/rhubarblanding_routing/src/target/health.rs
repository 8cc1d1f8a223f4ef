//! Failure detection of one target from the outcomes of its requests.

use std::time::Duration;

use rhubarblanding_core::prelude::*;

use super::TargetOutcome;

/// Failure share, in per mille, from which a target counts as failing.
const FAILING_PER_MILLE: u32 = 500;
/// Failure share of a target that fails every request.
const ALL_PER_MILLE: u32 = 1_000;
/// Inverse weight of an answer or of a failure of the backend server: six failures in a row make
/// the target failing.
const ANSWER_DIVISOR: u32 = 8;
/// Inverse weight of a broken connection: two in a row make the target failing.
const CONNECTION_DIVISOR: u32 = 3;
/// Wait before the first probe of a failing target.
const PROBE_WAIT: Duration = Duration::from_millis(250);
/// Longest wait between two probes.
const PROBE_WAIT_MAX: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug)]
enum State {
    Healthy,
    Failing {
        since: MonoTime,
        probe_at: MonoTime,
        wait: Duration,
        probing: bool,
    },
}

/// Change of health caused by an outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HealthChange {
    None,
    BeganFailing,
    /// A request was answered after the target had been failing for this duration.
    Recovered(Duration),
}

/// Health of one target.
#[derive(Clone, Copy, Debug)]
pub(super) struct Health {
    state: State,
    failures_per_mille: u32,
}

impl Health {
    pub(super) fn new() -> Self {
        Self {
            state: State::Healthy,
            failures_per_mille: 0,
        }
    }

    pub(super) fn is_failing(&self) -> bool {
        matches!(self.state, State::Failing { .. })
    }

    /// Returns `true` if the target is failing and may get one request as a probe.
    pub(super) fn is_probe_due(&self, now: MonoTime) -> bool {
        match self.state {
            State::Healthy => false,
            State::Failing {
                probe_at, probing, ..
            } => !probing && now >= probe_at,
        }
    }

    /// Records that a request was sent.
    pub(super) fn started(&mut self, now: MonoTime) {
        let due = self.is_probe_due(now);
        if let State::Failing { probing, .. } = &mut self.state {
            *probing |= due;
        }
    }

    pub(super) fn finished(&mut self, now: MonoTime, outcome: TargetOutcome) -> HealthChange {
        match outcome {
            TargetOutcome::Refused | TargetOutcome::Rejected | TargetOutcome::Cancelled => {
                self.end_probe();
            }
            TargetOutcome::Answered => return self.succeeded(now),
            TargetOutcome::Silent => return self.failed(now, 1),
            TargetOutcome::ConnectFailed | TargetOutcome::ConnectionLost => {
                return self.failed(now, CONNECTION_DIVISOR);
            }
            TargetOutcome::Failed => return self.failed(now, ANSWER_DIVISOR),
        }
        HealthChange::None
    }

    fn end_probe(&mut self) {
        if let State::Failing { probing, .. } = &mut self.state {
            *probing = false;
        }
    }

    fn succeeded(&mut self, now: MonoTime) -> HealthChange {
        self.failures_per_mille -= self.failures_per_mille / ANSWER_DIVISOR;
        let State::Failing { since, .. } = self.state else {
            return HealthChange::None;
        };
        *self = Self::new();
        HealthChange::Recovered(now.since(since))
    }

    fn failed(&mut self, now: MonoTime, divisor: u32) -> HealthChange {
        let missing = ALL_PER_MILLE - self.failures_per_mille;
        self.failures_per_mille += missing / divisor;
        match self.state {
            State::Healthy if self.failures_per_mille < FAILING_PER_MILLE => HealthChange::None,
            State::Healthy => {
                self.schedule_probe(now, now, PROBE_WAIT);
                HealthChange::BeganFailing
            }
            State::Failing {
                since,
                wait,
                probing,
                ..
            } => {
                if probing {
                    self.schedule_probe(now, since, (wait * 2).min(PROBE_WAIT_MAX));
                }
                HealthChange::None
            }
        }
    }

    fn schedule_probe(&mut self, now: MonoTime, since: MonoTime, wait: Duration) {
        self.state = State::Failing {
            since,
            probe_at: now + wait,
            wait,
            probing: false,
        };
    }
}
