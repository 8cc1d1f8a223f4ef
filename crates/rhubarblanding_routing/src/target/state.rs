//! State of one target.

use std::time::Duration;

use rhubarblanding_core::prelude::*;

use super::health::{Health, HealthChange};
use super::load::Load;
use super::unserved::Unserved;
use super::{HealthStatus, TargetId, TargetOutcome};

/// Duration of a failure after which a recovered target counts as cold.
const COLD_AFTER: Duration = Duration::from_secs(1);

/// One instance of a target, with its load and health.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    info: TargetInfo,
    /// `true` after a load report that the instance is draining.
    reported_draining: bool,
    warming_since: MonoTime,
    load: Load,
    health: Health,
    unserved: Unserved,
}

impl Target {
    pub(crate) fn new(now: MonoTime, info: TargetInfo) -> Self {
        Self {
            info,
            reported_draining: false,
            warming_since: now,
            load: Load::default(),
            health: Health::new(),
            unserved: Unserved::new(now),
        }
    }

    pub(crate) fn id(&self) -> TargetId {
        TargetId {
            host: self.info.host,
            incarnation: self.info.incarnation,
        }
    }

    pub(crate) fn zone(&self) -> &ZoneName {
        &self.info.zone
    }

    /// Applies a description unless it is older. A draining instance stays draining, and a newer
    /// instance starts with fresh load and health.
    pub(crate) fn update(&mut self, now: MonoTime, info: TargetInfo) {
        if info.incarnation < self.info.incarnation {
            return;
        }
        if info.incarnation > self.info.incarnation {
            *self = Self::new(now, info);
            return;
        }
        let state = match self.info.state >= TargetState::Draining {
            true => self.info.state.max(info.state),
            false => info.state,
        };
        if state != self.info.state && state == TargetState::Serving {
            self.warming_since = now;
        }
        self.info = TargetInfo { state, ..info };
    }

    /// Returns `true` if the target takes new requests.
    pub(crate) fn is_serving(&self) -> bool {
        self.info.state == TargetState::Serving && !self.reported_draining
    }

    /// Returns `true` if the target announced that it is draining and has not stopped.
    pub(crate) fn is_draining(&self) -> bool {
        self.info.state == TargetState::Draining
    }

    pub(crate) fn is_failing(&self) -> bool {
        self.health.is_failing()
    }

    pub(crate) fn is_probe_due(&self, now: MonoTime) -> bool {
        self.health.is_probe_due(now)
    }

    pub(crate) fn own_in_flight(&self) -> u32 {
        self.load.own()
    }

    pub(crate) fn started(&mut self, now: MonoTime) {
        self.load.started();
        self.health.started(now);
    }

    /// Records the outcome of a request and returns the new status if it changed. A change of
    /// health takes precedence over one of reliability.
    pub(crate) fn finished(
        &mut self,
        now: MonoTime,
        outcome: TargetOutcome,
    ) -> Option<HealthStatus> {
        self.load.finished();
        let reliability = match outcome {
            TargetOutcome::Answered => self.unserved.record(now, true),
            TargetOutcome::Rejected | TargetOutcome::Failed => self.unserved.record(now, false),
            _ => None,
        };
        match self.health.finished(now, outcome) {
            HealthChange::None => reliability,
            HealthChange::BeganFailing => Some(HealthStatus::Failing),
            HealthChange::Recovered(after) => {
                if after >= COLD_AFTER {
                    self.warming_since = now;
                }
                Some(HealthStatus::Recovered)
            }
        }
    }

    /// Records reported load. A draining instance stays draining.
    pub(crate) fn observe(&mut self, now: MonoTime, report: LoadReport) {
        self.reported_draining |= report.draining;
        self.load.observe(now, report);
    }

    /// Returns `true` if the backend server rejects or fails a part of the requests.
    pub(crate) fn is_unreliable(&self) -> bool {
        self.unserved.is_unreliable()
    }

    /// Returns the share of requests that the backend server rejects or fails, from 0 to 1.
    pub(crate) fn unserved_share(&self, now: MonoTime) -> f64 {
        self.unserved.share(now)
    }

    /// Returns the number of requests at the target, plus one, relative to its current capacity.
    ///
    /// The capacity grows from `cold_share` of the concurrency limit to all of it within
    /// `slow_start`.
    pub(crate) fn utilisation(&self, now: MonoTime, slow_start: Duration, cold_share: f64) -> f64 {
        let age = now.since(self.warming_since).as_secs_f64();
        let progress = (age / slow_start.as_secs_f64().max(f64::MIN_POSITIVE)).min(1.0);
        let share = cold_share + (1.0 - cold_share) * progress;
        let limit = f64::from(self.load.limit(self.info.slots)) * share;
        f64::from(self.load.pending(now) + 1) / limit.max(1.0)
    }
}
