//! State of one target.

use std::time::Duration;

use rhubarblanding_core::prelude::*;

use super::health::{Health, HealthChange};
use super::hold::{Holds, WorkKind};
use super::load::Load;
use super::unserved::Unserved;
use super::{HealthStatus, TargetId, TargetOutcome};
use crate::router::SpeedChange;

/// Duration of a failure after which a recovered target counts as cold.
const COLD_AFTER: Duration = Duration::from_secs(1);

/// Factor by which a speed changes before it is told again.
const SPEED_CHANGE_TOLD: f64 = 1.4;

/// Weight of a request's own service time. A fast server that takes every long request for the sake
/// of its own service time leaves the others to wait; with all of it fast servers fill up first.
const OWN_SERVICE_WEIGHT: f64 = 0.3;

/// One instance of a target, with its load and health.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    info: TargetInfo,
    /// `true` after a load report that the instance is draining.
    reported_draining: bool,
    /// `true` if the host turned out to belong to another service.
    disowned: bool,
    warming_since: MonoTime,
    load: Load,
    health: Health,
    unserved: Unserved,
    holds: Holds,
    /// Speed relative to the other targets of the service.
    speed: f64,
    told_speed: f64,
}

impl Target {
    pub(crate) fn new(now: MonoTime, info: TargetInfo) -> Self {
        Self {
            info,
            reported_draining: false,
            disowned: false,
            warming_since: now,
            load: Load::default(),
            health: Health::new(),
            unserved: Unserved::new(now),
            holds: Holds::default(),
            speed: 1.0,
            told_speed: 1.0,
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
        self.info.state == TargetState::Serving && !self.reported_draining && !self.disowned
    }

    /// Returns `true` if the target announced that it is draining and has not stopped.
    pub(crate) fn is_draining(&self) -> bool {
        self.info.state == TargetState::Draining && !self.disowned
    }

    /// Marks the host as one of another service; returns `true` if it was not marked before.
    pub(crate) fn disown(&mut self) -> bool {
        !std::mem::replace(&mut self.disowned, true)
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

    /// Records the mean time for which requests of `kind` hold a slot of the target.
    pub(crate) fn observe_hold(&mut self, now: MonoTime, kind: WorkKind, hold: Duration) {
        self.holds.observe(now, kind, hold);
    }

    /// Returns the mean hold times that were reported lately, in seconds.
    pub(crate) fn holds(&self, now: MonoTime) -> impl Iterator<Item = (WorkKind, f64)> {
        self.holds.fresh(now)
    }

    /// Returns the speed relative to the other targets of the service.
    pub(crate) fn speed(&self) -> f64 {
        self.speed
    }

    pub(crate) fn set_speed(&mut self, speed: f64) {
        self.speed = speed;
    }

    /// Returns the speed if it changed much since it was last returned.
    pub(crate) fn speed_change(&mut self, now: MonoTime) -> Option<SpeedChange> {
        let (speed, before) = (self.speed, self.told_speed);
        if (speed / before).ln().abs() < SPEED_CHANGE_TOLD.ln() {
            return None;
        }
        self.told_speed = speed;
        let percent = |speed: f64| (speed * 100.0).round() as u32;
        Some(SpeedChange {
            percent: percent(speed),
            before_percent: percent(before),
            kinds: self.holds(now).count(),
        })
    }

    /// Returns the work that the target can do at a time, in slots at usual speed.
    pub(crate) fn capacity(&self) -> f64 {
        f64::from(self.load.limit(self.info.slots)) * self.speed
    }

    /// Returns `true` if the backend server rejects or fails a part of the requests.
    pub(crate) fn is_unreliable(&self) -> bool {
        self.unserved.is_unreliable()
    }

    /// Returns the share of requests that the backend server rejects or fails, from 0 to 1.
    pub(crate) fn unserved_share(&self, now: MonoTime) -> f64 {
        self.unserved.share(now)
    }

    /// Returns how late a new request would be done, in mean service times at usual speed: the number
    /// of requests at the target, plus one, relative to its current capacity, and what its speed adds
    /// to the request's own `service` time. At usual speed it is the first alone.
    ///
    /// The work ahead is not divided by the speed: requests are in the slots of a slow server for
    /// longer, so that their number shows its speed. Above the capacity of all servers, equal waits
    /// would make all requests late.
    ///
    /// The capacity grows from `cold_share` of the concurrency limit to all of it within
    /// `slow_start`.
    pub(crate) fn utilisation(
        &self,
        now: MonoTime,
        slow_start: Duration,
        cold_share: f64,
        service: f64,
    ) -> f64 {
        let age = now.since(self.warming_since).as_secs_f64();
        let progress = (age / slow_start.as_secs_f64().max(f64::MIN_POSITIVE)).min(1.0);
        let share = cold_share + (1.0 - cold_share) * progress;
        let limit = f64::from(self.load.limit(self.info.slots)) * share;
        let ahead = f64::from(self.load.pending(now) + 1) / limit.max(1.0);
        let slowness = 1.0 / self.speed - 1.0;
        ahead + OWN_SERVICE_WEIGHT * service * slowness
    }
}
