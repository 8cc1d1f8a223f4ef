//! Refusal at the entry while every known target of a service sheds the priority.

use std::time::Duration;

use rand::Rng;
use rhubarblanding_core::prelude::*;

use crate::retry_after::BackoffSettings;

/// Settings of an [`EntryGate`].
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Time for which a reported level stays in force.
    pub hold: Duration,
    /// Time within which a level falls to open after [`hold`](Self::hold).
    pub decay: Duration,
    /// Part of the refused importance next to the level that is let through as probes, in per
    /// mille.
    pub probes_per_mille: u32,
    /// Time for which a computed level is kept before it is computed anew.
    pub refresh: Duration,
    /// Settings of the time that refused callers are asked to wait.
    pub backoff: BackoffSettings,
}

impl Default for EntrySettings {
    fn default() -> Self {
        Self {
            hold: Duration::from_millis(300),
            decay: Duration::from_millis(700),
            probes_per_mille: 10,
            refresh: Duration::from_millis(10),
            backoff: BackoffSettings::default(),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Heard {
    level: AdmissionLevel,
    at: MonoTime,
}

/// Admission level of one destination service as an entry node knows it.
///
/// The level in force is the lowest of those that targets reported lately, so that a request is
/// refused only if no target is known to take it. Without reports the gate opens.
#[derive(Debug)]
pub struct EntryGate {
    settings: EntrySettings,
    targets: HashMap<HostId, Heard>,
    level: AdmissionLevel,
    computed_at: Option<MonoTime>,
    closed_since: Option<MonoTime>,
}

/// Time of being closed after which the time asked of refused callers doubles.
const PRESSURE_STEP: Duration = Duration::from_secs(1);
/// Greatest number of doublings of the time asked of refused callers.
const PRESSURE_MAX: u32 = 5;

impl EntryGate {
    /// Creates an open gate.
    pub fn new(settings: EntrySettings) -> Self {
        Self {
            settings,
            targets: HashMap::default(),
            level: AdmissionLevel::OPEN,
            computed_at: None,
            closed_since: None,
        }
    }

    /// Records the report that an answer of `host` carried.
    pub fn observe(&mut self, now: MonoTime, host: HostId, report: LoadReport) {
        if report.draining {
            return self.remove(host);
        }
        let heard = Heard {
            level: report.level,
            at: now,
        };
        self.targets.insert(host, heard);
        // A lower level counts at once, a higher one when the level is computed next.
        if report.level < self.level {
            self.computed_at = None;
        }
    }

    /// Drops what is known of a target.
    pub fn remove(&mut self, host: HostId) {
        self.targets.remove(&host);
        self.computed_at = None;
    }

    /// Decides whether a request of `priority` may enter.
    ///
    /// # Errors
    ///
    /// A refusal of kind [`ErrorKind::UpstreamOverloaded`] if no target would take it.
    pub fn check(
        &mut self,
        now: MonoTime,
        rng: &mut impl Rng,
        priority: Priority,
    ) -> Result<(), Refusal> {
        let level = self.level(now);
        if level.admits(priority) || self.is_probe(rng, priority, level) {
            return Ok(());
        }
        let closed_for = self.closed_since.map_or(Duration::ZERO, |at| now.since(at));
        let steps = (closed_for.as_millis() / PRESSURE_STEP.as_millis()) as u32;
        let retry_after = self.settings.backoff.draw(rng, steps.min(PRESSURE_MAX));
        Err(Refusal::with_retry_after(
            ErrorKind::UpstreamOverloaded,
            retry_after,
        ))
    }

    /// Level in force.
    pub fn level(&mut self, now: MonoTime) -> AdmissionLevel {
        let fresh = self
            .computed_at
            .is_some_and(|at| now.since(at) < self.settings.refresh);
        if !fresh {
            self.compute(now);
        }
        self.level
    }

    fn compute(&mut self, now: MonoTime) {
        let lifetime = self.settings.hold + self.settings.decay;
        self.targets
            .retain(|_, heard| now.since(heard.at) < lifetime);
        let decayed = self.targets.values().map(|heard| self.decayed(now, *heard));
        self.level = decayed.min().unwrap_or(AdmissionLevel::OPEN);
        self.computed_at = Some(now);
        self.closed_since = match self.level {
            AdmissionLevel::OPEN => None,
            _ => self.closed_since.or(Some(now)),
        };
    }

    fn decayed(&self, now: MonoTime, heard: Heard) -> AdmissionLevel {
        let falling = now.since(heard.at).saturating_sub(self.settings.hold);
        let decay = self.settings.decay.as_micros().max(1);
        let left = decay.saturating_sub(falling.as_micros());
        AdmissionLevel((u128::from(heard.level.0) * left / decay) as u16)
    }

    /// Whether a refused request is let through as a probe.
    ///
    /// Only the highest importance that is refused is probed with, so that no probe passes while
    /// something above it is refused.
    fn is_probe(&self, rng: &mut impl Rng, priority: Priority, level: AdmissionLevel) -> bool {
        let highest_refused = level.0.saturating_sub(1) / Priority::STEPS;
        priority.importance() as u16 == highest_refused
            && rng.random_range(0..1_000) < self.settings.probes_per_mille
    }
}
