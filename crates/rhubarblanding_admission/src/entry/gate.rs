//! Refusal at the entry node while all known targets of a service shed the request's priority.

use std::time::Duration;

use rand::Rng;
use rhubarblanding_core::prelude::*;

use crate::retry_after::BackoffSettings;

/// Settings of an [`EntryGate`].
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Time for which a reported level stays in effect.
    pub hold: Duration,
    /// Time in which a level decays to open after [`hold`](Self::hold).
    pub decay: Duration,
    /// Share of the requests of the highest refused importance that is admitted as probes, in per
    /// mille.
    pub probes_per_mille: u32,
    /// Time for which a computed level is cached.
    pub refresh: Duration,
    /// Settings of the retry delay sent to refused callers.
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
struct ReportedLevel {
    level: AdmissionLevel,
    at: MonoTime,
}

/// Admission gate of one destination service at an entry node.
///
/// Its level is the lowest of those that targets reported recently, so that a request is refused
/// only if no known target admits it. Without recent reports the gate is open.
#[derive(Debug)]
pub struct EntryGate {
    settings: EntrySettings,
    targets: HashMap<HostId, ReportedLevel>,
    level: AdmissionLevel,
    computed_at: Option<MonoTime>,
    closed_since: Option<MonoTime>,
}

/// Time per doubling of the retry delay while the gate is closed.
const PRESSURE_STEP: Duration = Duration::from_secs(1);
/// Maximum number of doublings of the retry delay.
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

    /// Records the load report in an answer of `host`.
    pub fn observe(&mut self, now: MonoTime, host: HostId, report: LoadReport) {
        if report.draining {
            return self.remove(host);
        }
        let reported = ReportedLevel {
            level: report.level,
            at: now,
        };
        self.targets.insert(host, reported);
        // A lower level takes effect at once, a higher one when the level is recomputed.
        if report.level < self.level {
            self.computed_at = None;
        }
    }

    /// Removes the reported level of a target.
    pub fn remove(&mut self, host: HostId) {
        self.targets.remove(&host);
        self.computed_at = None;
    }

    /// Decides whether a request of `priority` may enter.
    ///
    /// # Errors
    ///
    /// A refusal of kind [`ErrorKind::UpstreamOverloaded`] if no target would admit it.
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

    /// Returns the current level.
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
            .retain(|_, reported| now.since(reported.at) < lifetime);
        let decayed = self
            .targets
            .values()
            .map(|reported| self.decayed(now, *reported));
        self.level = decayed.min().unwrap_or(AdmissionLevel::OPEN);
        self.computed_at = Some(now);
        self.closed_since = match self.level {
            AdmissionLevel::OPEN => None,
            _ => self.closed_since.or(Some(now)),
        };
    }

    fn decayed(&self, now: MonoTime, reported: ReportedLevel) -> AdmissionLevel {
        let falling = now.since(reported.at).saturating_sub(self.settings.hold);
        let decay = self.settings.decay.as_micros().max(1);
        let left = decay.saturating_sub(falling.as_micros());
        AdmissionLevel((u128::from(reported.level.0) * left / decay) as u16)
    }

    /// Returns `true` if a refused request is admitted as a probe.
    ///
    /// Only requests of the highest refused importance are probes, so that no probe is admitted
    /// while a more important request is refused.
    fn is_probe(&self, rng: &mut impl Rng, priority: Priority, level: AdmissionLevel) -> bool {
        let highest_refused = level.0.saturating_sub(1) / Priority::STEPS;
        priority.importance() as u16 == highest_refused
            && rng.random_range(0..1_000) < self.settings.probes_per_mille
    }
}
