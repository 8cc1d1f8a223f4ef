//! State machine of the admission gate.

use std::time::Duration;

use rand::rngs::SmallRng;
use rhubarblanding_core::prelude::*;

use super::estimate::Estimates;
use super::level::LevelControl;
use super::queue::{Queue, Queued};
use super::{Arrival, Decision, Finish, FinishResult, GateEvent, GateSettings, KindId};
use crate::limit::{LimitControl, Sample};

#[derive(Clone, Copy, Debug)]
struct Running {
    kind: KindId,
    since: MonoTime,
}

/// Admission gate of one backend server.
///
/// Call [`poll`](Self::poll) after every other call and at the time of
/// [`next_due`](Self::next_due), to get the decisions on queued requests.
///
/// ```
/// use std::time::Duration;
///
/// use rand::SeedableRng;
/// use rand::rngs::SmallRng;
/// use rhubarblanding_admission::prelude::*;
/// use rhubarblanding_core::prelude::*;
///
/// let now = MonoTime::ZERO;
/// let arrival = |id| Arrival {
///     id,
///     priority: Priority::new(Importance::Normal, RootId(id)),
///     deadline: now + Duration::from_secs(1),
///     kind: KindId::default(),
/// };
/// let finish = Finish {
///     latency: Duration::from_millis(5),
///     downstream: Duration::ZERO,
///     result: FinishResult::Completed,
/// };
///
/// let mut gate = Gate::new(now, GateSettings::default(), 1, SmallRng::seed_from_u64(1));
/// assert_eq!(gate.arrive(now, arrival(1)), Decision::Admitted);
/// assert_eq!(gate.arrive(now, arrival(2)), Decision::Queued);
/// gate.finished(now, 1, finish);
/// assert_eq!(gate.poll(now), [GateEvent::Admitted(2)]);
/// ```
#[derive(Debug)]
pub struct Gate {
    settings: GateSettings,
    rng: SmallRng,
    limit: LimitControl,
    level: LevelControl,
    estimates: Estimates,
    running: HashMap<u64, Running>,
    queue: Queue,
    timers: TimerService<u64>,
    events: Vec<GateEvent>,
    draining: bool,
}

impl Gate {
    /// Creates a gate for a backend server that announced `slots`, or zero if it announced none.
    pub fn new(now: MonoTime, settings: GateSettings, slots: u32, rng: SmallRng) -> Self {
        Self {
            limit: LimitControl::new(now, settings.limit.clone(), slots),
            level: LevelControl::new(now, settings.window, settings.overload_wait),
            settings,
            rng,
            estimates: Estimates::new(),
            running: HashMap::default(),
            queue: Queue::default(),
            timers: TimerService::new(),
            events: Vec::new(),
            draining: false,
        }
    }

    /// Decides on a request. Refusals are final and immediate.
    pub fn arrive(&mut self, now: MonoTime, arrival: Arrival) -> Decision {
        self.advance(now);
        if self.draining {
            return Decision::Refused(self.refusal(ErrorKind::TargetDraining));
        }
        if self.running.contains_key(&arrival.id) || self.queue.contains(arrival.id) {
            return Decision::Refused(Refusal::new(ErrorKind::Internal));
        }
        self.level.record_arrival(arrival.priority);
        if self.has_free_slot() {
            return self.admit_or_refuse(now, arrival);
        }
        self.queue_or_refuse(now, arrival)
    }

    fn admit_or_refuse(&mut self, now: MonoTime, arrival: Arrival) -> Decision {
        if !self.can_finish(now, now, &arrival) {
            return Decision::Refused(self.refusal(ErrorKind::DeadlineBeforeRun));
        }
        self.start(now, arrival, now);
        Decision::Admitted
    }

    fn queue_or_refuse(&mut self, now: MonoTime, arrival: Arrival) -> Decision {
        let by_importance = self.settings.order_by_importance;
        if by_importance && !self.level.level().admits(arrival.priority) {
            return Decision::Refused(self.refusal(ErrorKind::Overloaded));
        }
        let class = self.class(arrival.priority);
        let wait = self.expected_wait(now, class);
        if !self.can_finish(now, now + wait, &arrival) {
            return Decision::Refused(self.refusal(ErrorKind::DeadlineBeforeRun));
        }
        if self.queue.len() >= self.queue_len_max(now) && !self.evict_below(class, arrival.priority)
        {
            self.level.record_refusal();
            return Decision::Refused(self.refusal(ErrorKind::Overloaded));
        }
        self.enqueue(now, class, arrival);
        Decision::Queued
    }

    /// Records the end of an admitted request.
    pub fn finished(&mut self, now: MonoTime, id: u64, finish: Finish) {
        self.advance(now);
        let in_flight = self.in_flight();
        let Some(running) = self.running.remove(&id) else {
            return;
        };
        self.estimates.record_slot(now, now.since(running.since));
        if finish.result == FinishResult::Completed {
            self.estimates
                .record_service(now, running.kind, finish.latency);
        }
        let sample = Sample {
            kind: running.kind,
            own: finish.latency.saturating_sub(finish.downstream),
            in_flight,
            waiting: !self.queue.is_empty(),
        };
        match finish.result {
            FinishResult::Completed => self.limit.record_completed(now, sample),
            FinishResult::Shed => self.limit.record_shed(now, in_flight),
            FinishResult::Failed => {}
        }
        self.fill_slots(now);
    }

    /// Records that the caller cancelled a request, queued or admitted.
    pub fn cancelled(&mut self, now: MonoTime, id: u64) {
        self.advance(now);
        if let Some(queued) = self.queue.remove(id) {
            self.timers.cancel(queued.timer);
        }
        self.running.remove(&id);
        self.fill_slots(now);
    }

    /// Returns the decisions on queued requests since the last call.
    pub fn poll(&mut self, now: MonoTime) -> Vec<GateEvent> {
        self.advance(now);
        std::mem::take(&mut self.events)
    }

    /// Returns the time by which [`poll`](Self::poll) must be called.
    pub fn next_due(&self) -> Option<MonoTime> {
        let timers = self.timers.next_due();
        [timers, self.level.next_due(), self.limit.next_due()]
            .into_iter()
            .flatten()
            .min()
    }

    /// Returns the load of the backend server, to be sent with every answer.
    pub fn report(&self) -> LoadReport {
        LoadReport {
            in_flight: self.in_flight(),
            queued: self.queue.len() as u32,
            limit: self.limit.get(),
            level: self.level.level(),
            draining: self.draining,
            ..LoadReport::default()
        }
    }

    /// Sets the number of slots that the backend server announced.
    pub fn set_slots(&mut self, now: MonoTime, slots: u32) {
        self.advance(now);
        self.limit.set_slots(now, slots);
        self.fill_slots(now);
    }

    /// Refuses all queued and future requests. Running requests are not affected.
    pub fn drain(&mut self, now: MonoTime) {
        self.advance(now);
        self.draining = true;
        for queued in self.queue.take_all() {
            self.timers.cancel(queued.timer);
            self.refuse_queued(queued, ErrorKind::TargetDraining);
        }
    }

    /// Returns `true` if no request runs or waits.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.queue.is_empty()
    }

    fn advance(&mut self, now: MonoTime) {
        self.limit.advance(now);
        self.fill_slots(now);
        for id in self.timers.expire(now) {
            self.expire(now, id);
        }
        if self.level.advance(now) && self.settings.order_by_importance {
            self.evict_below_level();
        }
    }

    fn expire(&mut self, now: MonoTime, id: u64) {
        let Some(queued) = self.queue.remove(id) else {
            return;
        };
        let in_time = self.can_finish(now, now, &queued.arrival);
        if in_time {
            self.level.record_refusal();
            self.refuse_queued(queued, ErrorKind::QueueTimeout);
        } else {
            self.refuse_queued(queued, ErrorKind::DeadlineBeforeRun);
        }
    }

    fn evict_below_level(&mut self) {
        let level = self.level.level();
        while let Some(lowest) = self.queue.lowest()
            && !level.admits(lowest.arrival.priority)
        {
            self.evict(lowest.arrival.id);
        }
    }

    fn evict_below(&mut self, class: Importance, priority: Priority) -> bool {
        if !self.settings.evict {
            return false;
        }
        match self.queue.lowest() {
            Some(lowest) if (lowest.class, lowest.arrival.priority) < (class, priority) => {
                let id = lowest.arrival.id;
                self.level.record_refusal();
                self.evict(id);
                true
            }
            _ => false,
        }
    }

    fn evict(&mut self, id: u64) {
        if let Some(queued) = self.queue.remove(id) {
            self.timers.cancel(queued.timer);
            self.refuse_queued(queued, ErrorKind::Overloaded);
        }
    }

    fn refuse_queued(&mut self, queued: Queued, kind: ErrorKind) {
        let refusal = self.refusal(kind);
        self.events
            .push(GateEvent::Refused(queued.arrival.id, refusal));
    }

    fn enqueue(&mut self, now: MonoTime, class: Importance, arrival: Arrival) {
        let service = self.estimates.service(now, arrival.kind);
        let latest_start = arrival.deadline - service;
        let due = latest_start.min(now + self.settings.queue_wait_max);
        let queued = Queued {
            arrival,
            class,
            since: now,
            timer: self.timers.subscribe(due, arrival.id),
        };
        self.queue.push(queued);
    }

    /// Admits queued requests while slots are free.
    fn fill_slots(&mut self, now: MonoTime) {
        while self.in_flight() < self.limit.get() {
            let policy = self.settings.age_policy;
            let Some(queued) = self.queue.pop(now, policy, self.settings.lifo_after) else {
                return;
            };
            self.timers.cancel(queued.timer);
            if self.can_finish(now, now, &queued.arrival) {
                self.start(now, queued.arrival, queued.since);
                self.events.push(GateEvent::Admitted(queued.arrival.id));
            } else {
                self.refuse_queued(queued, ErrorKind::DeadlineBeforeRun);
            }
        }
    }

    fn start(&mut self, now: MonoTime, arrival: Arrival, since: MonoTime) {
        self.level.record_admission(now.since(since));
        let running = Running {
            kind: arrival.kind,
            since: now,
        };
        self.running.insert(arrival.id, running);
    }

    fn class(&self, priority: Priority) -> Importance {
        if self.settings.order_by_importance {
            priority.importance()
        } else {
            Importance::Normal
        }
    }

    fn in_flight(&self) -> u32 {
        self.running.len() as u32
    }

    fn has_free_slot(&self) -> bool {
        self.queue.is_empty() && self.in_flight() < self.limit.get()
    }

    fn can_finish(&self, now: MonoTime, start: MonoTime, arrival: &Arrival) -> bool {
        start + self.estimates.service(now, arrival.kind) < arrival.deadline
    }

    fn expected_wait(&self, now: MonoTime, class: Importance) -> Duration {
        let ahead = self.queue.len_from(class);
        self.estimates.wait(now, ahead, self.limit.get())
    }

    fn queue_len_max(&self, now: MonoTime) -> usize {
        let target = self.settings.queue_wait_target;
        // A burst that only fills the slots a second time is not an overload.
        let least = self.settings.queue_len_min.max(self.limit.get() as usize);
        let most = self.settings.queue_len_max.max(least);
        self.estimates
            .served_within(now, target, self.limit.get())
            .clamp(least, most)
    }

    fn refusal(&mut self, kind: ErrorKind) -> Refusal {
        let pressure = self.level.pressure();
        let retry_after = self.settings.backoff.draw(&mut self.rng, pressure);
        Refusal::with_retry_after(kind, retry_after)
    }
}
