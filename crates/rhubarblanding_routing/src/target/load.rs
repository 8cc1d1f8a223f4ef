//! Load estimate of one target from this node's requests and the reported load.

use std::time::Duration;

use rhubarblanding_core::prelude::*;

/// Age above which a report is not used.
const REPORT_AGE_MAX: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug)]
struct Reported {
    load: LoadReport,
    at: MonoTime,
    /// Requests of this node in flight when the report was received.
    own: u32,
}

/// Load estimate of one target.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Load {
    /// Requests of this node in flight.
    own: u32,
    reported: Option<Reported>,
}

impl Load {
    pub(super) fn started(&mut self) {
        self.own += 1;
    }

    pub(super) fn finished(&mut self) {
        self.own = self.own.saturating_sub(1);
    }

    pub(super) fn own(&self) -> u32 {
        self.own
    }

    pub(super) fn observe(&mut self, now: MonoTime, load: LoadReport) {
        self.reported = Some(Reported {
            load,
            at: now,
            own: self.own,
        });
    }

    /// Returns the number of requests running or waiting at the target: the reported number,
    /// corrected by the requests that this node sent or finished since.
    pub(super) fn pending(&self, now: MonoTime) -> u32 {
        let Some(reported) = self.fresh_report(now) else {
            return self.own;
        };
        let total = reported.load.in_flight.saturating_add(reported.load.queued);
        let others = total.saturating_sub(reported.own);
        others.saturating_add(self.own)
    }

    /// Returns the concurrency limit reported by the target's node, or the announced slots.
    pub(super) fn limit(&self, slots: u32) -> u32 {
        let reported = self.reported.map_or(0, |reported| reported.load.limit);
        let limit = if reported > 0 { reported } else { slots };
        limit.max(1)
    }

    fn fresh_report(&self, now: MonoTime) -> Option<Reported> {
        self.reported
            .filter(|reported| now.since(reported.at) <= REPORT_AGE_MAX)
    }
}
