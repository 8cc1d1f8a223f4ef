//! Which life of the local target takes requests, decided from what it reports.

use rhubarblanding_core::prelude::*;
use strum::Display;

use crate::dialect::{InstanceId, InstanceLeave, InstanceLife, InstanceReport, ReportedState};

/// What a report changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum ReportVerdict {
    /// A life that was not known takes requests from now on.
    #[strum(serialize = "new_life")]
    NewInstance,
    /// The life takes requests as before.
    Unchanged,
    /// The life began to drain.
    BeganDraining,
    /// The report is older than one that is known, or repeats it.
    Stale,
    /// The life had left before.
    Departed,
    /// The report is of another service than that of this host.
    OtherService,
}

#[derive(Clone, Debug)]
struct Current {
    life: InstanceLife,
    sequence: u64,
    slots: u32,
    draining: bool,
}

/// Tracks the lives of the local target.
///
/// Lives are ordered by their start and reports of one life by their number, so that late and
/// repeated reports change nothing. A life that drains or has left never takes requests again.
#[derive(Clone, Debug, Default)]
pub struct InstanceTracker {
    current: Option<Current>,
    /// Newest start of the lives of a name that have left.
    departed: HashMap<InstanceId, UnixMillis>,
}

impl InstanceTracker {
    /// Takes in a report.
    pub fn report(&mut self, service: &ServiceName, report: &InstanceReport) -> ReportVerdict {
        if report.service != *service {
            return ReportVerdict::OtherService;
        }
        if self.has_departed(&report.life) {
            return ReportVerdict::Departed;
        }
        let is_draining = report.state == ReportedState::Draining;
        let verdict = match &self.current {
            Some(known) if report.life.born < known.life.born => return ReportVerdict::Stale,
            Some(known) if report.life == known.life => {
                if report.sequence <= known.sequence {
                    return ReportVerdict::Stale;
                }
                match (known.draining, is_draining) {
                    (false, true) => ReportVerdict::BeganDraining,
                    _ => ReportVerdict::Unchanged,
                }
            }
            _ if is_draining => ReportVerdict::BeganDraining,
            _ => ReportVerdict::NewInstance,
        };
        let same_life = self.current.as_ref().is_some_and(|c| c.life == report.life);
        let was_draining = same_life && self.is_draining();
        self.current = Some(Current {
            life: report.life.clone(),
            sequence: report.sequence,
            slots: report.slots,
            draining: is_draining || was_draining,
        });
        verdict
    }

    /// Takes in a message of leaving and returns the life that left.
    ///
    /// A message without a start may come to a process that has not heard of the life yet. It is
    /// of a life that began before `now`; later reports of that life change nothing.
    pub fn leave(&mut self, now: UnixMillis, leave: &InstanceLeave) -> InstanceLife {
        let known = self.current.as_ref().map(|known| &known.life);
        let known = known.filter(|life| life.id == leave.id);
        let born = leave.born.or(known.map(|life| life.born));
        let life = InstanceLife {
            born: born.unwrap_or(now),
            id: leave.id.clone(),
        };
        self.mark_departed(life.clone());
        life
    }

    /// Notes a life that left, perhaps before this process started. Earlier lives of the same name
    /// have left as well.
    pub fn mark_departed(&mut self, life: InstanceLife) {
        let newest = self.departed.entry(life.id).or_insert(life.born);
        *newest = life.born.max(*newest);
        let is_gone = |known: &Current| self.has_departed(&known.life);
        if self.current.as_ref().is_some_and(is_gone) {
            self.current = None;
        }
    }

    fn has_departed(&self, life: &InstanceLife) -> bool {
        let newest = self.departed.get(&life.id);
        newest.is_some_and(|born| life.born <= *born)
    }

    /// Forgets a life that does not answer at its address any more.
    pub fn forget(&mut self) {
        self.current = None;
    }

    /// The life that takes requests.
    pub fn serving(&self) -> Option<&InstanceLife> {
        let known = self.current.as_ref().filter(|known| !known.draining);
        known.map(|known| &known.life)
    }

    /// Whether the known life drains.
    pub fn is_draining(&self) -> bool {
        self.current.as_ref().is_some_and(|known| known.draining)
    }

    /// Requests that the known life runs at a time.
    pub fn slots(&self) -> u32 {
        self.current.as_ref().map_or(0, |known| known.slots)
    }
}
