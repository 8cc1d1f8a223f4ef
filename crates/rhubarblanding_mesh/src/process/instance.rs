//! Selection of the instance of the local target that serves requests, from its reports.

use std::time::Duration;

use rhubarblanding_core::prelude::*;
use strum::Display;

use crate::protocol::{Instance, InstanceId, InstanceLeave, InstanceReport, ReportedState};

/// Effect of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum ReportVerdict {
    /// A new instance serves requests from now on.
    #[strum(serialize = "new_life")]
    NewInstance,
    /// The current instance serves or drains as before.
    Unchanged,
    /// The instance began to drain.
    BeganDraining,
    /// The report is older than the latest one, or repeats it.
    Stale,
    /// The instance had left before.
    Departed,
    /// The report names a service other than that of this host.
    OtherService,
    /// The instance may have left before this process started; a later report must follow.
    Unconfirmed,
}

/// Time after which a second report shows that the instance still runs: late reports may arrive
/// several at once.
const CONFIRMATION_TIME: Duration = Duration::from_millis(500);

/// Holds back reports of instances that may have left before this process started.
///
/// Until the recorded departures have been read, one report may be a late one of an instance that
/// has left. An instance that runs reports again.
#[derive(Clone, Debug, Default)]
pub struct Confirmation {
    departures_known: bool,
    first: Option<(MonoTime, InstanceReport)>,
}

impl Confirmation {
    /// Returns `true` if the report may be applied.
    pub fn admits(&mut self, now: MonoTime, report: &InstanceReport) -> bool {
        if self.departures_known || report.state == ReportedState::Draining {
            return true;
        }
        let first = self.first.as_ref();
        if let Some((at, first)) = first.filter(|(_, first)| first.instance == report.instance) {
            let is_later = report.sequence > first.sequence;
            return is_later && now.since(*at) >= CONFIRMATION_TIME;
        }
        self.first = Some((now, report.clone()));
        false
    }

    /// Records that all departures have been read; returns the report that was held back.
    pub fn finish(&mut self) -> Option<InstanceReport> {
        self.departures_known = true;
        self.first.take().map(|(_, report)| report)
    }
}

#[derive(Clone, Debug)]
struct Current {
    instance: Instance,
    sequence: u64,
    slots: u32,
    draining: bool,
}

/// Tracks the instances of the local target.
///
/// Instances are ordered by start time and reports of one instance by sequence number, so that late
/// and repeated reports change nothing. An instance that drains or has left never serves again.
#[derive(Clone, Debug, Default)]
pub struct InstanceTracker {
    current: Option<Current>,
    /// Latest start time of the departed instances, by identifier.
    departed: HashMap<InstanceId, UnixMillis>,
}

impl InstanceTracker {
    /// Applies a report.
    pub fn report(&mut self, service: &ServiceName, report: &InstanceReport) -> ReportVerdict {
        if report.service != *service {
            return ReportVerdict::OtherService;
        }
        if self.has_departed(&report.instance) {
            return ReportVerdict::Departed;
        }
        let is_draining = report.state == ReportedState::Draining;
        let verdict = match &self.current {
            Some(current) if report.instance.started_at < current.instance.started_at => {
                return ReportVerdict::Stale;
            }
            Some(current) if report.instance == current.instance => {
                // That an instance drains is never undone, so it may be learned late.
                let tells_draining = is_draining && !current.draining;
                if report.sequence <= current.sequence && !tells_draining {
                    return ReportVerdict::Stale;
                }
                match (current.draining, is_draining) {
                    (false, true) => ReportVerdict::BeganDraining,
                    _ => ReportVerdict::Unchanged,
                }
            }
            _ if is_draining => ReportVerdict::BeganDraining,
            _ => ReportVerdict::NewInstance,
        };
        let same_instance = self
            .current
            .as_ref()
            .is_some_and(|c| c.instance == report.instance);
        let was_draining = same_instance && self.is_draining();
        let known = self.current.as_ref().filter(|_| same_instance);
        let sequence = known.map_or(0, |current| current.sequence);
        self.current = Some(Current {
            instance: report.instance.clone(),
            sequence: report.sequence.max(sequence),
            slots: report.slots,
            draining: is_draining || was_draining,
        });
        verdict
    }

    /// Applies a leave message and returns the instance that left.
    ///
    /// A message without a start time may arrive before any report of the instance. It then applies
    /// to an instance that started before `now`; later reports of it change nothing.
    pub fn leave(&mut self, now: UnixMillis, leave: &InstanceLeave) -> Instance {
        let current = self.current.as_ref().map(|current| &current.instance);
        let current = current.filter(|instance| instance.id == leave.id);
        let started_at = leave
            .started_at
            .or(current.map(|instance| instance.started_at));
        let departed = Instance {
            started_at: started_at.unwrap_or(now),
            id: leave.id.clone(),
        };
        self.mark_departed(departed.clone());
        departed
    }

    /// Marks an instance as departed, possibly before this process started. Earlier instances with
    /// the same identifier have left as well.
    pub fn mark_departed(&mut self, instance: Instance) {
        let latest_start = self
            .departed
            .entry(instance.id)
            .or_insert(instance.started_at);
        *latest_start = instance.started_at.max(*latest_start);
        let is_gone = |current: &Current| self.has_departed(&current.instance);
        if self.current.as_ref().is_some_and(is_gone) {
            self.current = None;
        }
    }

    /// Returns the instances that must not serve again: those that have left, the latest one of
    /// each identifier, and the current one if it drains.
    pub fn departed(&self) -> impl Iterator<Item = Instance> {
        let draining = self.current.iter().filter(|current| current.draining);
        let draining = draining.map(|current| current.instance.clone());
        let left = self.departed.iter().map(|(id, started_at)| Instance {
            started_at: *started_at,
            id: id.clone(),
        });
        left.chain(draining)
    }

    fn has_departed(&self, instance: &Instance) -> bool {
        let latest_start = self.departed.get(&instance.id);
        latest_start.is_some_and(|latest| instance.started_at <= *latest)
    }

    /// Removes the current instance, which no longer answers at its address.
    pub fn forget(&mut self) {
        self.current = None;
    }

    /// Returns `true` if the latest reports are those of `instance`.
    pub fn is_current(&self, instance: &Instance) -> bool {
        let current = self.current.as_ref();
        current.is_some_and(|current| current.instance == *instance)
    }

    /// Returns the instance of the latest report, draining or not.
    pub fn current(&self) -> Option<&Instance> {
        self.current.as_ref().map(|current| &current.instance)
    }

    /// Returns the instance that serves requests.
    pub fn serving(&self) -> Option<&Instance> {
        let current = self.current.as_ref().filter(|current| !current.draining);
        current.map(|current| &current.instance)
    }

    /// Returns `true` if the current instance drains.
    pub fn is_draining(&self) -> bool {
        self.current
            .as_ref()
            .is_some_and(|current| current.draining)
    }

    /// Returns the concurrency limit of the current instance.
    pub fn slots(&self) -> u32 {
        self.current.as_ref().map_or(0, |current| current.slots)
    }
}
