//! State machine of the slot gate.

use std::time::Duration;

use rhubarblanding_core::prelude::*;

use super::estimate::HoldTimes;
use super::open_limit::OpenLimits;
use super::pacer::Pacer;
use super::queue::{Queue, Waiting};
use super::types::{SlotArrival, SlotDecision, SlotEvent, SlotInputs, SlotSettings};
use super::{KindKey, RequestRate};

/// Open requests that each kind is always allowed, on a target with few slots.
const OPEN_MIN: u32 = 3;

/// A request that fails within the average hold time of its kind divided by this was not delayed by
/// its downstream calls: requests that time out downstream take longer than those that are served.
const QUICK_FAILURE_DIVISOR: f64 = 2.0;

#[derive(Clone, Copy, Debug)]
struct Running {
    kind: KindKey,
    since: MonoTime,
}

/// Admission gate of one backend server that announces its slots.
#[derive(Debug)]
pub struct SlotGate {
    settings: SlotSettings,
    slots: u32,
    running: HashMap<u64, Running>,
    queue: Queue,
    hold_times: HoldTimes,
    open_limits: OpenLimits,
    pacer: Pacer,
    timers: TimerService<u64>,
    events: Vec<SlotEvent>,
}

impl SlotGate {
    /// Creates a gate without slots; see [`set_slots`](Self::set_slots).
    pub fn new(settings: SlotSettings) -> Self {
        Self {
            settings,
            slots: 0,
            running: HashMap::default(),
            queue: Queue::default(),
            hold_times: HoldTimes::default(),
            open_limits: OpenLimits::default(),
            pacer: Pacer::default(),
            timers: TimerService::new(),
            events: Vec::new(),
        }
    }

    /// Sets the number of slots that the backend server announced.
    pub fn set_slots(&mut self, now: MonoTime, announced: u32) {
        let usable = f64::from(announced) * self.settings.usable_share;
        self.slots = (usable.floor() as u32).max(u32::from(announced > 0));
        self.fill(now);
    }

    /// Sets the rate limit that the backend server names; `None` lifts it. Waiting requests that
    /// cannot start in time at the new rate are refused.
    pub fn set_rate(&mut self, now: MonoTime, rate: Option<RequestRate>) {
        self.pacer.set_rate(now, rate);
        self.refuse_hopeless(now);
        self.fill(now);
    }

    /// Clears the estimated hold times and the rate limit, after a restart of the backend server.
    pub fn restart(&mut self, now: MonoTime) {
        self.hold_times.clear();
        self.pacer.set_rate(now, None);
    }

    /// Decides on a request. Refusals are final and immediate.
    pub fn arrive(&mut self, now: MonoTime, arrival: SlotArrival) -> SlotDecision {
        self.advance(now);
        if !self.can_finish(now, &arrival) {
            return SlotDecision::Refused(Refusal::new(ErrorKind::QueueTimeout));
        }
        let is_limited = arrival.makes_calls && !arrival.is_call;
        if is_limited && !self.is_below_open_limit(now, &arrival) {
            let wait = self.open_limits.completion_interval(now, arrival.kind);
            return SlotDecision::Refused(self.refusal(wait));
        }
        self.place(now, arrival)
    }

    /// Admits, queues or refuses a request that is not in the queue.
    fn place(&mut self, now: MonoTime, arrival: SlotArrival) -> SlotDecision {
        if self.queue.len() == 0 && self.can_start(now) {
            self.open_limits.record_opened(arrival.kind);
            self.start(now, arrival);
            return SlotDecision::Admitted;
        }
        let is_late = now >= self.latest_start(now, arrival.objective, arrival.kind);
        let end = match is_late {
            false => arrival.objective,
            true => arrival.deadline,
        };
        let wait = self.wait_of(now, &arrival, is_late);
        let time_left = now.until(self.latest_start(now, end, arrival.kind));
        if wait > time_left.mul_f64(self.settings.max_wait_share) {
            return SlotDecision::Refused(self.refusal(wait));
        }
        if self.queue.len() >= self.queue_max() && !self.evict_for(now, &arrival) {
            return SlotDecision::Refused(self.refusal(wait));
        }
        self.enqueue(now, arrival, is_late);
        SlotDecision::Queued
    }

    /// Lowers the deadline of a waiting request to `deadline`. It is refused at once if it is not
    /// expected to start in time any more. Running requests are not affected.
    pub fn limit_deadline(&mut self, now: MonoTime, id: u64, deadline: MonoTime) {
        let waiting = self.queue.get(id);
        if waiting.is_none_or(|waiting| waiting.arrival.deadline <= deadline) {
            return;
        }
        let Some(waiting) = self.queue.remove(id) else {
            return;
        };
        self.timers.cancel(waiting.timer);
        let arrival = SlotArrival {
            objective: waiting.arrival.objective.min(deadline),
            deadline,
            ..waiting.arrival
        };
        if !self.can_finish(now, &arrival) {
            return self.refuse(now, &arrival, Refusal::new(ErrorKind::QueueTimeout));
        }
        // It is counted as open again if it keeps its place.
        self.open_limits.record_closed(now, arrival.kind, false);
        match self.place(now, arrival) {
            SlotDecision::Admitted => self.events.push(SlotEvent::Admitted(id)),
            SlotDecision::Queued => {}
            SlotDecision::Refused(refusal) => self.events.push(SlotEvent::Refused(id, refusal)),
        }
    }

    /// Returns `true` if the open requests of the kind and one more can be completed in time.
    fn is_below_open_limit(&mut self, now: MonoTime, arrival: &SlotArrival) -> bool {
        let left = match now.until(arrival.objective) {
            Duration::ZERO => now.until(arrival.deadline),
            left => left,
        };
        let time = left.mul_f64(self.settings.completion_time_share);
        let least = (f64::from(self.slots) * self.settings.min_open_share).ceil() as u32;
        self.open_limits
            .allows_one_more(now, arrival.kind, time, least.max(OPEN_MIN))
    }

    /// Records the end of an admitted request. `answered` is `true` if the backend server answered
    /// it, so that its duration is a valid sample.
    pub fn finished(&mut self, now: MonoTime, id: u64, answered: bool) {
        if let Some(running) = self.running.remove(&id) {
            let held = now.since(running.since);
            // A quick failure was not delayed downstream, so it must not lower the completion rate.
            let is_quick =
                held.mul_f64(QUICK_FAILURE_DIVISOR) <= self.hold_times.estimate(now, running.kind);
            self.open_limits
                .record_closed(now, running.kind, answered || is_quick);
            if answered {
                self.hold_times.record(now, running.kind, held);
            }
        }
        self.advance(now);
    }

    /// Records that the sender cancelled a request, queued or admitted.
    pub fn cancelled(&mut self, now: MonoTime, id: u64) {
        if let Some(waiting) = self.queue.remove(id) {
            self.timers.cancel(waiting.timer);
            self.open_limits
                .record_closed(now, waiting.arrival.kind, false);
        }
        self.finished(now, id, false);
    }

    /// Returns the decisions on queued requests since the last call.
    pub fn poll(&mut self, now: MonoTime) -> Vec<SlotEvent> {
        self.advance(now);
        std::mem::take(&mut self.events)
    }

    /// Returns the time by which [`poll`](Self::poll) must be called.
    pub fn next_due(&self, now: MonoTime) -> Option<MonoTime> {
        let paced = match self.queue.len() > 0 && self.has_free_slot() {
            true => self.pacer.wait_until(now),
            false => None,
        };
        [self.timers.next_due(), paced].into_iter().flatten().min()
    }

    /// Returns the current inputs of a decision on a request of `kind` and `account`.
    pub fn inputs(&self, now: MonoTime, kind: KindKey, account: AccountKey) -> SlotInputs {
        SlotInputs {
            running: self.running.len() as u32,
            queued: self.queue.len() as u32,
            slots: self.slots,
            hold: self.hold_times.estimate(now, kind),
            open: self.open_limits.open(kind),
            completed_per_s: self.open_limits.rate(kind),
            rate: self.pacer.rate(),
            accounts_queued: self.queue.accounts() as u32,
            queued_of_account: self.queue.len_of(account) as u32,
        }
    }

    /// Returns the load to be reported.
    pub fn load(&self, now: MonoTime) -> LoadReport {
        LoadReport {
            in_flight: self.running.len() as u32,
            queued: self.queue.len() as u32,
            limit: self.usable_slots(now),
            ..LoadReport::default()
        }
    }

    /// Returns the mean time for which requests of `kind` held a slot in the last seconds; `None`
    /// without enough of them.
    pub fn recent_hold(&self, now: MonoTime, kind: KindKey) -> Option<Duration> {
        self.hold_times.recent(now, kind)
    }

    /// Returns the longest time for which a request of `kind` held a slot lately; `None` before the
    /// first one.
    pub fn longest_hold(&self, kind: KindKey) -> Option<Duration> {
        self.hold_times.longest(kind)
    }

    /// Refuses all waiting requests. Running requests are not affected.
    pub fn refuse_waiting(&mut self, now: MonoTime, kind: ErrorKind) {
        for waiting in self.queue.take_all() {
            self.timers.cancel(waiting.timer);
            self.refuse(now, &waiting.arrival, Refusal::new(kind));
        }
    }

    /// Refuses a request that has left the queue.
    fn refuse(&mut self, now: MonoTime, arrival: &SlotArrival, refusal: Refusal) {
        self.open_limits.record_closed(now, arrival.kind, false);
        self.events.push(SlotEvent::Refused(arrival.id, refusal));
    }

    fn advance(&mut self, now: MonoTime) {
        for id in self.timers.expire(now) {
            self.on_timer(now, id);
        }
        self.fill(now);
    }

    /// Handles a waiting request that can no longer meet its objective or its deadline.
    fn on_timer(&mut self, now: MonoTime, id: u64) {
        let Some(waiting) = self.queue.get(id).copied() else {
            return;
        };
        if self.can_finish(now, &waiting.arrival) {
            let due = self.latest_start(now, waiting.arrival.deadline, waiting.arrival.kind);
            let timer = self
                .timers
                .subscribe(due.max(now + Duration::from_millis(1)), id);
            self.queue.set_late(now, id, timer);
            return;
        }
        self.queue.remove(id);
        self.refuse(now, &waiting.arrival, Refusal::new(ErrorKind::QueueTimeout));
    }

    fn enqueue(&mut self, now: MonoTime, arrival: SlotArrival, is_late: bool) {
        self.open_limits.record_opened(arrival.kind);
        let end = match is_late {
            false => arrival.objective,
            true => arrival.deadline,
        };
        let due = self.latest_start(now, end, arrival.kind);
        let timer = self.timers.subscribe(due, arrival.id);
        let hold = self.hold_times.estimate(now, arrival.kind);
        self.queue.push(arrival, now, timer, hold);
        if is_late {
            self.queue.set_late(now, arrival.id, timer);
        }
    }

    fn fill(&mut self, now: MonoTime) {
        while self.can_start(now) {
            let Some(waiting) = self.queue.pop(now) else {
                return;
            };
            self.timers.cancel(waiting.timer);
            self.admit_waiting(now, waiting);
        }
    }

    fn admit_waiting(&mut self, now: MonoTime, waiting: Waiting) {
        let id = waiting.arrival.id;
        if self.can_finish(now, &waiting.arrival) {
            self.start(now, waiting.arrival);
            self.events.push(SlotEvent::Admitted(id));
        } else {
            let refusal = self.refusal(now.since(waiting.since));
            self.refuse(now, &waiting.arrival, refusal);
        }
    }

    /// Refuses a waiting request to make room for a new one; returns `false` if none gives way.
    fn evict_for(&mut self, now: MonoTime, arrival: &SlotArrival) -> bool {
        let hold = self.hold_times.estimate(now, arrival.kind);
        let Some(id) = self.queue.last_below(arrival, hold) else {
            return false;
        };
        let is_late = self.queue.is_late(id);
        if let Some(waiting) = self.queue.remove(id) {
            self.timers.cancel(waiting.timer);
            let wait = self.wait_of(now, &waiting.arrival, is_late);
            let refusal = self.refusal(wait);
            self.refuse(now, &waiting.arrival, refusal);
        }
        true
    }

    fn start(&mut self, now: MonoTime, arrival: SlotArrival) {
        self.pacer.started(now);
        let running = Running {
            kind: arrival.kind,
            since: now,
        };
        self.running.insert(arrival.id, running);
    }

    fn can_start(&self, now: MonoTime) -> bool {
        self.has_free_slot() && self.pacer.wait_until(now).is_none()
    }

    fn has_free_slot(&self) -> bool {
        (self.running.len() as u32) < self.slots
    }

    fn queue_max(&self) -> usize {
        (f64::from(self.slots) * self.settings.queue_per_slot).ceil() as usize
    }

    fn latest_start(&self, now: MonoTime, end: MonoTime, kind: KindKey) -> MonoTime {
        end - self.hold_times.estimate(now, kind)
    }

    fn can_finish(&self, now: MonoTime, arrival: &SlotArrival) -> bool {
        // Half of the average time: some requests of a kind are much quicker than the average.
        now + self.hold_times.estimate(now, arrival.kind) / 2 < arrival.deadline
    }

    /// Returns the expected time until a slot is free for a request that is not in the queue. Under
    /// competition it is the time in which the backlog of its own account is served.
    fn wait_of(&self, now: MonoTime, arrival: &SlotArrival, is_late: bool) -> Duration {
        let wait = self.expected_wait(now, self.queue.ahead_of(arrival, is_late));
        let share = self.queue.time_to_share(arrival, is_late);
        share.map_or(wait, |share| share.max(wait))
    }

    /// Returns the expected time until a slot is free for a request with `ahead` others before it.
    fn expected_wait(&self, now: MonoTime, ahead: usize) -> Duration {
        let rounds = (ahead as f64 + 1.0) / f64::from(self.slots.max(1));
        let for_slot = self.hold_times.overall(now).mul_f64(rounds);
        for_slot.max(self.pacer.time_for(now, ahead + 1))
    }

    /// Returns the number of slots that the rate limit lets fill.
    fn usable_slots(&self, now: MonoTime) -> u32 {
        let Some(rate) = self.pacer.rate() else {
            return self.slots;
        };
        let held = rate.per_second() * self.hold_times.overall(now).as_secs_f64();
        (held.ceil() as u32).clamp(self.slots.min(1), self.slots)
    }

    /// Refuses the waiting requests that the rate limit lets start only when it is too late.
    fn refuse_hopeless(&mut self, now: MonoTime) {
        let mut kept = 0;
        for id in self.queue.ids() {
            let Some(waiting) = self.queue.get(id).copied() else {
                continue;
            };
            let SlotArrival { kind, deadline, .. } = waiting.arrival;
            let wait = self.pacer.time_for(now, kept + 1);
            if now + wait < self.latest_start(now, deadline, kind) {
                kept += 1;
                continue;
            }
            self.queue.remove(id);
            self.timers.cancel(waiting.timer);
            let refusal = self.refusal(wait);
            self.refuse(now, &waiting.arrival, refusal);
        }
    }

    /// Returns `true` while the backend server names a rate limit.
    pub fn is_paced(&self) -> bool {
        self.pacer.rate().is_some()
    }

    fn refusal(&self, wait: Duration) -> Refusal {
        let min = self.settings.retry_after_min;
        let retry_after = wait.clamp(min, self.settings.retry_after_max);
        Refusal::with_retry_after(ErrorKind::Overloaded, retry_after)
    }
}
