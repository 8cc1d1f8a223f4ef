//! Simulated backend server: slots, a queue in order of arrival, and service times.

use std::time::Duration;

use rhubarblanding_admission::prelude::*;

use super::{Attempt, DOWNSTREAM_KIND, Event, KINDS, RETRY_DELAY, Sim, Tally};

impl Sim {
    pub(super) fn dispatch(&mut self, id: u64) {
        if let Some(attempt) = self.attempts.get_mut(&id) {
            attempt.dispatched = Some(self.now);
        }
        if self.busy < self.scenario.slots {
            return self.start(id);
        }
        let full = self
            .scenario
            .sheds_above
            .is_some_and(|max| self.backlog.len() >= max);
        if !full {
            return self.backlog.push_back(id);
        }
        if let Some(gate) = &mut self.gate {
            gate.finished(
                self.now,
                id,
                finish(Duration::ZERO, Duration::ZERO, FinishResult::Shed),
            );
        }
        self.refused(id);
    }

    fn start(&mut self, id: u64) {
        let disturbance = self.disturbance();
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        attempt.started = Some(self.now);
        if let Some(disturbance) = disturbance
            && attempt.kind == DOWNSTREAM_KIND
        {
            attempt.downstream = disturbance.downstream;
        }
        let downstream = attempt.downstream;
        let mean = KINDS[attempt.kind].0
            * disturbance.map_or(1.0, |disturbance| disturbance.service_factor);
        self.busy += 1;
        let service = self.exponential(mean);
        self.schedule(self.now + service + downstream, Event::Done(id));
    }

    pub(super) fn done(&mut self, id: u64) {
        let Some(attempt) = self.attempts.remove(&id) else {
            return;
        };
        let held = attempt
            .started
            .map_or(Duration::ZERO, |at| self.now.since(at));
        self.used += held;
        if attempt.abandoned {
            self.wasted += held;
        } else {
            let importance = attempt.priority.importance();
            let completed = |tally: &mut Tally| tally.completed += 1;
            self.count(attempt.window, importance, attempt.kind, completed);
        }
        let latency = attempt
            .dispatched
            .map_or(Duration::ZERO, |at| self.now.since(at));
        if let Some(gate) = &mut self.gate {
            let finish = finish(latency, attempt.downstream, FinishResult::Completed);
            gate.finished(self.now, id, finish);
        }
        self.report_to_entry(id);
        self.free_slot();
    }

    fn free_slot(&mut self) {
        self.busy -= 1;
        if let Some(id) = self.backlog.pop_front() {
            self.start(id);
        }
    }

    /// Handles a caller's timeout. With a gate, the request is also cancelled at the backend
    /// server; without one, the backend server runs it to its end.
    pub(super) fn time_out(&mut self, id: u64) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        let copy = *attempt;
        attempt.abandoned = true;
        if let Some(gate) = &mut self.gate {
            gate.cancelled(self.now, id);
            self.attempts.remove(&id);
            self.stop(id, copy);
        }
        self.retry(copy, RETRY_DELAY);
    }

    fn stop(&mut self, id: u64, attempt: Attempt) {
        if let Some(started) = attempt.started {
            let held = self.now.since(started);
            self.used += held;
            self.wasted += held;
            self.free_slot();
        } else {
            self.backlog.retain(|other| *other != id);
        }
    }
}

fn finish(latency: Duration, downstream: Duration, result: FinishResult) -> Finish {
    Finish {
        latency,
        downstream,
        result,
    }
}
