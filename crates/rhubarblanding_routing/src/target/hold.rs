//! Hold times that the node of a target reports, by kind of request.

use std::time::Duration;

use rhubarblanding_core::prelude::*;

/// Kind of request whose hold times may be compared between targets of one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WorkKind(pub u64);

/// Most kinds that are remembered of a target; the one not heard of for longest is replaced.
const KINDS_MAX: usize = 8;
/// Age above which a hold time is not used: a target may have become slow or fast since.
const HOLD_AGE_MAX: Duration = Duration::from_secs(10);

/// Mean hold time of requests of one kind.
#[derive(Clone, Copy, Debug)]
struct Hold {
    kind: WorkKind,
    seconds: f64,
    at: MonoTime,
}

/// Hold times of one target.
#[derive(Clone, Debug, Default)]
pub(super) struct Holds {
    kinds: Vec<Hold>,
}

impl Holds {
    pub(super) fn observe(&mut self, now: MonoTime, kind: WorkKind, hold: Duration) {
        let seconds = hold.as_secs_f64();
        let new = Hold {
            kind,
            seconds,
            at: now,
        };
        if let Some(known) = self.kinds.iter_mut().find(|known| known.kind == kind) {
            *known = new;
        } else if self.kinds.len() < KINDS_MAX {
            self.kinds.push(new);
        } else if let Some(oldest) = self.kinds.iter_mut().min_by_key(|known| known.at) {
            *oldest = new;
        }
    }

    /// Returns the hold times that are not too old, in seconds.
    pub(super) fn fresh(&self, now: MonoTime) -> impl Iterator<Item = (WorkKind, f64)> {
        self.kinds
            .iter()
            .filter(move |hold| now.since(hold.at) <= HOLD_AGE_MAX)
            .map(|hold| (hold.kind, hold.seconds))
    }
}
