//! State of the local target, changed under one lock.

use http::HeaderValue;
use rhubarblanding_admission::slots::{SlotEvent, SlotGate, SlotSettings};
use rhubarblanding_core::prelude::*;
use tokio::sync::oneshot;

use super::instance::{Confirmation, InstanceTracker, ReportVerdict};
use super::lineage::RunningRequests;
use super::notice::NoticeTracker;
use super::shared::Shared;
use crate::protocol::InstanceReport;

/// Decision on a waiting request; the time is its deadline, which may have been lowered meanwhile.
pub(super) type Verdict = Result<MonoTime, Refusal>;

/// Request that waits for a slot.
pub(super) struct Waiter {
    /// Identifier that the client gave the request.
    pub(super) request_id: Option<HeaderValue>,
    pub(super) deadline: MonoTime,
    pub(super) verdict: oneshot::Sender<Verdict>,
}

/// State of a local target: its instance, its admission gate, and the requests that it holds.
pub(super) struct State {
    pub(super) tracker: InstanceTracker,
    pub(super) confirmation: Confirmation,
    pub(super) gate: SlotGate,
    pub(super) waiting: HashMap<u64, Waiter>,
    pub(super) next_id: u64,
    pub(super) unreachable_until: MonoTime,
    pub(super) running: RunningRequests,
    pub(super) notices: NoticeTracker,
}

impl State {
    pub(super) fn new(settings: SlotSettings) -> Self {
        Self {
            tracker: InstanceTracker::default(),
            confirmation: Confirmation::default(),
            gate: SlotGate::new(settings),
            waiting: HashMap::default(),
            next_id: 0,
            unreachable_until: MonoTime::ZERO,
            running: RunningRequests::default(),
            notices: NoticeTracker::default(),
        }
    }

    /// Refuses a request for `service` that this host cannot serve at the moment.
    pub(super) fn check(
        &self,
        now: MonoTime,
        node: &Shared,
        service: &ServiceName,
    ) -> Result<(), Refusal> {
        if node.settings().service != *service {
            return Err(Refusal::new(ErrorKind::UnknownService));
        }
        if self.tracker.serving().is_none() {
            return Err(Refusal::new(ErrorKind::TargetDraining));
        }
        if now < self.unreachable_until {
            return Err(Refusal::new(ErrorKind::ConnectFailed));
        }
        Ok(())
    }

    /// Applies a report of the target.
    pub(super) fn report(
        &mut self,
        now: MonoTime,
        node: &Shared,
        report: &InstanceReport,
    ) -> ReportVerdict {
        let service = node.settings().service.clone();
        let verdict = self.tracker.report(&service, report);
        match verdict {
            ReportVerdict::NewInstance => {
                self.notices = NoticeTracker::new(&report.instance);
                node.metrics.set_target_rate(None);
                self.unreachable_until = MonoTime::ZERO;
                self.gate.restart(now);
                node.backend.clear();
                self.gate.set_slots(now, report.slots);
            }
            ReportVerdict::Unchanged => self.gate.set_slots(now, report.slots),
            ReportVerdict::BeganDraining => self.refuse_waiting(now),
            ReportVerdict::Stale
            | ReportVerdict::Departed
            | ReportVerdict::OtherService
            | ReportVerdict::Unconfirmed => {}
        }
        self.dispatch(now);
        verdict
    }

    pub(super) fn refuse_waiting(&mut self, now: MonoTime) {
        self.gate.refuse_waiting(now, ErrorKind::TargetDraining);
    }

    /// Sends the decisions to the waiting requests.
    pub(super) fn dispatch(&mut self, now: MonoTime) {
        for verdict in self.gate.poll(now) {
            let (id, refusal) = match verdict {
                SlotEvent::Admitted(id) => (id, None),
                SlotEvent::Refused(id, refusal) => (id, Some(refusal)),
            };
            let is_heard = self.waiting.remove(&id).is_some_and(|waiter| {
                let verdict = refusal.map_or(Ok(waiter.deadline), Err);
                waiter.verdict.send(verdict).is_ok()
            });
            if !is_heard {
                // The request was cancelled before the decision.
                self.gate.cancelled(now, id);
            }
        }
    }
}
