//! The local target: its serving instance and its admission gate.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderValue;
use rhubarblanding_admission::slots::{
    KindKey, SlotArrival, SlotDecision, SlotInputs, SlotSettings,
};
use rhubarblanding_core::prelude::*;
use rhubarblanding_node::process::parking::{Mutex, lock};
use tokio::sync::{Notify, oneshot};

use super::departures;
use super::events::NoticeSource;
use super::instance::ReportVerdict;
use super::lineage::Lineage;
use super::local_state::{State, Waiter};
use super::metrics::Backlog;
use super::notice::{NoticeChange, NoticeTracker, SharedNotice};
use super::permit::{RunningGuard, Slot, SlotPermit, WaitGuard};
use super::shared::Shared;
use crate::protocol::{
    Instance, InstanceId, InstanceLeave, InstanceReport, RateNotice, TargetNotice,
};
use crate::request::HopHeader;

/// Time after a refused connection during which the target counts as down.
const UNREACHABLE_HOLD: Duration = Duration::from_millis(250);

/// Numbers of requests that a node holds for its target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LocalRequests {
    /// Requests that wait for a slot.
    pub waiting: usize,
    /// Requests at the target.
    pub running: usize,
}

/// Local target of a node.
pub struct LocalTarget {
    state: Mutex<State>,
    changed: Notify,
}

impl LocalTarget {
    /// Creates a target without an instance.
    pub fn new(settings: SlotSettings) -> Self {
        Self {
            state: Mutex::new(State::new(settings)),
            changed: Notify::new(),
        }
    }

    /// Waits for a permit to send one request to the target.
    ///
    /// # Errors
    ///
    /// Fails with the refusal for the sender; the request was not sent to the target.
    pub async fn acquire(
        &self,
        node: &Arc<Shared>,
        header: &HopHeader,
        request_id: Option<&HeaderValue>,
        (objective, deadline): (MonoTime, MonoTime),
    ) -> Result<SlotPermit, Refusal> {
        let now = node.clock.now();
        let deadline = node.limit_deadline(deadline);
        let (id, verdict) = {
            let mut state = lock(&self.state);
            state.check(now, node, &header.service)?;
            state.next_id += 1;
            let id = state.next_id;
            let arrival = SlotArrival {
                id,
                rank: header.rank,
                kind: header.kind,
                account: header.account,
                is_call: header.is_call,
                makes_calls: state.running.makes_calls(header.kind),
                objective: objective.min(deadline),
                deadline,
            };
            match state.gate.arrive(now, arrival) {
                SlotDecision::Admitted => (id, None),
                SlotDecision::Refused(refusal) => return Err(refusal),
                SlotDecision::Queued => {
                    let (tx, rx) = oneshot::channel();
                    let waiter = Waiter {
                        request_id: request_id.cloned(),
                        deadline,
                        verdict: tx,
                    };
                    state.waiting.insert(id, waiter);
                    let inputs = state.gate.inputs(now, header.kind, header.account);
                    (id, Some((rx, Backlog::from(&inputs))))
                }
            }
        };
        let mut admitted_until = deadline;
        if let Some((verdict, backlog)) = verdict {
            self.changed.notify_one();
            let guard = WaitGuard::new(node, id);
            let verdict = verdict.await;
            guard.disarm();
            admitted_until = verdict.unwrap_or(Err(Refusal::new(ErrorKind::Internal)))?;
            let waited = node.clock.now().since(now);
            node.metrics.waited_for_slot(header.rank, backlog, waited);
        }
        self.permit(node, id, admitted_until)
    }

    /// Creates the permit of an admitted request; fails if no instance serves any more.
    fn permit(
        &self,
        node: &Arc<Shared>,
        id: u64,
        deadline: MonoTime,
    ) -> Result<SlotPermit, Refusal> {
        let slot = Slot::new(node, id);
        let instance = lock(&self.state).tracker.serving().cloned();
        let Some(instance) = instance else {
            return Err(Refusal::new(ErrorKind::TargetDraining));
        };
        Ok(SlotPermit::new(slot, instance, deadline))
    }

    /// Lowers the deadlines of all waiting requests to `deadline`. Those that are not expected to
    /// start in time are refused at once.
    pub fn limit_waiting(&self, now: MonoTime, deadline: MonoTime) {
        self.limit(now, deadline, |_| true);
    }

    /// Lowers the deadlines of the waiting requests with one of the identifiers `ids`.
    pub fn limit_requests(&self, now: MonoTime, deadline: MonoTime, ids: &HashSet<&[u8]>) {
        self.limit(now, deadline, |waiter| {
            let id = waiter.request_id.as_ref();
            id.is_some_and(|id| ids.contains(id.as_bytes()))
        });
    }

    fn limit(&self, now: MonoTime, deadline: MonoTime, is_limited: impl Fn(&Waiter) -> bool) {
        let state = &mut *lock(&self.state);
        for (id, waiter) in &mut state.waiting {
            if waiter.deadline > deadline && is_limited(waiter) {
                waiter.deadline = deadline;
                state.gate.limit_deadline(now, *id, deadline);
            }
        }
        state.dispatch(now);
        self.changed.notify_one();
    }

    /// Returns the current inputs of the admission decision for requests of `kind` and `account`.
    pub fn inputs(&self, now: MonoTime, kind: KindKey, account: AccountKey) -> SlotInputs {
        lock(&self.state).gate.inputs(now, kind, account)
    }

    /// Returns the numbers of requests that wait for the target or run there.
    pub fn requests(&self) -> LocalRequests {
        let state = lock(&self.state);
        LocalRequests {
            waiting: state.waiting.len(),
            running: state.running.len(),
        }
    }

    /// Returns the load that is reported to other nodes.
    pub fn load(&self, now: MonoTime) -> LoadReport {
        lock(&self.state).gate.load(now)
    }

    /// Returns the load that is reported in an answer to a request of `kind`.
    pub fn load_for(&self, now: MonoTime, kind: KindKey) -> LoadReport {
        let state = lock(&self.state);
        let hold = state.gate.recent_hold(now, kind).unwrap_or_default();
        LoadReport {
            hold_us: u32::try_from(hold.as_micros()).unwrap_or(u32::MAX),
            ..state.gate.load(now)
        }
    }

    /// Returns the longest time for which a request of `kind` held a slot lately.
    pub fn longest_hold(&self, kind: KindKey) -> Option<Duration> {
        lock(&self.state).gate.longest_hold(kind)
    }

    /// Returns the state and the number of slots that are announced to other nodes.
    pub fn announcement(&self) -> (TargetState, u32) {
        let state = lock(&self.state);
        // Never `Draining`: another instance may follow on this host, and a target announced as
        // draining does not serve again until its node restarts.
        let phase = match state.tracker.serving() {
            Some(_) => TargetState::Serving,
            None => TargetState::Starting,
        };
        (phase, state.tracker.slots())
    }

    /// Applies a report of the target.
    pub fn report(&self, node: &Shared, report: &InstanceReport) -> ReportVerdict {
        let now = node.clock.now();
        let mut state = lock(&self.state);
        let is_admitted =
            state.tracker.is_current(&report.instance) || state.confirmation.admits(now, report);
        match is_admitted {
            true => state.report(now, node, report),
            false => ReportVerdict::Unconfirmed,
        }
    }

    /// Marks instances that left, perhaps before this process started, as departed.
    pub fn mark_departed(&self, node: &Shared, departed: Vec<Instance>) {
        let now = node.clock.now();
        let mut state = lock(&self.state);
        for instance in departed {
            state.tracker.mark_departed(instance);
        }
        if state.tracker.serving().is_none() {
            state.refuse_waiting(now);
        }
        state.dispatch(now);
    }

    /// Records that all departures before the start are marked. Reports need no confirmation from
    /// now on; the verdict is that of a report that waited for one.
    pub fn finish_departed(&self, node: &Shared) -> Option<ReportVerdict> {
        let now = node.clock.now();
        let mut state = lock(&self.state);
        let held_back = state.confirmation.finish();
        let verdict = held_back.map(|report| state.report(now, node, &report));
        state.dispatch(now);
        verdict
    }

    /// Applies a leave message of the target and returns the instance that left.
    pub fn leave(&self, node: &Shared, leave: &InstanceLeave) -> Instance {
        let now = node.clock.now();
        let mut state = lock(&self.state);
        let instance = state.tracker.leave(node.clock.wall(), leave);
        if state.tracker.serving().is_none() {
            state.refuse_waiting(now);
        }
        state.dispatch(now);
        instance
    }

    /// Returns the departed instances that are known.
    pub fn departed(&self) -> Vec<Instance> {
        lock(&self.state).tracker.departed().collect()
    }

    /// Returns the instance that serves requests, if any.
    pub fn serving(&self) -> Option<Instance> {
        lock(&self.state).tracker.serving().cloned()
    }

    /// Forgets the instance that serves, which is of another service than this host is now.
    pub fn forget_instance(&self, node: &Shared) {
        let now = node.clock.now();
        let mut state = lock(&self.state);
        state.tracker.forget();
        state.refuse_waiting(now);
        state.dispatch(now);
    }

    /// Records that the target refuses connections.
    pub fn record_unreachable(&self, node: &Shared) {
        let now = node.clock.now();
        let mut state = lock(&self.state);
        state.unreachable_until = now + UNREACHABLE_HOLD;
        state.refuse_waiting(now);
    }

    /// Records that an instance other than `instance` answers at the target's address.
    pub fn record_misdirected(&self, node: &Shared, instance: &InstanceId) {
        let now = node.clock.now();
        let mut state = lock(&self.state);
        if state
            .tracker
            .serving()
            .is_some_and(|serving| serving.id == *instance)
        {
            log::warn!(instance:% = instance; "target_is_another_instance");
            state.tracker.forget();
            state.refuse_waiting(now);
        }
        state.dispatch(now);
    }

    /// Applies the notices in an answer of `instance` to a request that was sent at `sent_at`.
    pub fn observe_notice(
        &self,
        node: &Arc<Shared>,
        instance: &Instance,
        sent_at: MonoTime,
        notice: TargetNotice,
    ) {
        if notice.rate == RateNotice::Invalid {
            log::warn!(instance:% = instance.id; "target_rate_invalid");
        }
        self.apply_notice(node, NoticeSource::Answer, |now, notices| {
            notices.observe(now, instance, sent_at, notice)
        });
    }

    /// Applies the notices of the target that another node knows.
    pub fn adopt_notice(&self, node: &Arc<Shared>, notice: SharedNotice) {
        self.apply_notice(node, NoticeSource::Peer, |now, notices| {
            notices.adopt(now, notice)
        });
    }

    /// Returns the notices for a node that knows `known` of this target.
    pub fn shared_notice(&self, known: Option<SharedNotice>) -> Option<SharedNotice> {
        lock(&self.state).notices.shared(known)
    }

    fn apply_notice(
        &self,
        node: &Arc<Shared>,
        source: NoticeSource,
        update: impl FnOnce(MonoTime, &mut NoticeTracker) -> NoticeChange,
    ) {
        let now = node.clock.now();
        let mut state = lock(&self.state);
        let change = update(now, &mut state.notices);
        if change == NoticeChange::default() {
            return;
        }
        let instance = state.tracker.current().cloned();
        node.log_notice(instance.as_ref(), change, source);
        if let Some(rate) = change.rate {
            state.gate.set_rate(now, rate);
            self.changed.notify_one();
        }
        let leaving = instance.filter(|_| change.began_leaving);
        if let Some(instance) = &leaving {
            state.tracker.mark_departed(instance.clone());
            state.refuse_waiting(now);
        }
        state.dispatch(now);
        drop(state);
        if let Some(instance) = leaving {
            node.announce();
            departures::begin(node, &instance);
        }
    }

    /// Records a request as running at the target until the guard is dropped.
    pub fn record_running(
        &self,
        node: &Arc<Shared>,
        id: &[u8],
        kind: KindKey,
        lineage: Lineage,
    ) -> RunningGuard {
        lock(&self.state).running.insert(id, kind, lineage);
        RunningGuard::new(node, id)
    }

    /// Records the end of a request at the target.
    pub(super) fn end_run(&self, id: &[u8], succeeded: bool) {
        lock(&self.state).running.remove(id, succeeded);
    }

    /// Counts a call of one of `parents` if that request runs here; returns the call's lineage.
    pub fn begin_call(&self, parents: &[&[u8]]) -> Option<Lineage> {
        lock(&self.state).running.begin_call(parents)
    }

    /// Records that a call of one of `parents` failed.
    pub fn record_failed_call(&self, parents: &[&[u8]]) {
        lock(&self.state).running.record_failed_call(parents);
    }

    /// Returns `true` if a call of a running request failed.
    pub fn has_failed_call(&self, id: &[u8]) -> bool {
        lock(&self.state).running.has_failed_call(id)
    }

    /// Decides on queued requests when they are due; runs until the process ends.
    pub async fn run_timers(&self, node: &Shared) {
        loop {
            let due = lock(&self.state).gate.next_due(node.clock.now());
            match due {
                None => self.changed.notified().await,
                Some(due) => {
                    let sleep = tokio::time::sleep_until(node.clock.instant(due));
                    tokio::select! {
                        () = sleep => {}
                        () = self.changed.notified() => {}
                    }
                    lock(&self.state).dispatch(node.clock.now());
                }
            }
        }
    }

    pub(super) fn release(&self, node: &Shared, id: u64, answered: bool) {
        let now = node.clock.now();
        let mut state = lock(&self.state);
        state.gate.finished(now, id, answered);
        state.dispatch(now);
        if state.gate.is_paced() {
            // The slot is free before the rate limit lets the next request start.
            self.changed.notify_one();
        }
    }

    pub(super) fn cancel(&self, node: &Shared, id: u64) {
        let now = node.clock.now();
        let mut state = lock(&self.state);
        state.waiting.remove(&id);
        state.gate.cancelled(now, id);
        state.dispatch(now);
    }
}
