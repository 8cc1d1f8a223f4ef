//! State machine of the gate.

use std::time::Duration;

use rhubarblanding_core::prelude::*;

use super::KindKey;
use super::estimate::HoldTimes;
use super::open_limit::OpenLimits;
use super::queue::{Queue, Waiting};

/// Requests that each kind may have open whatever its pace, on a target of few slots.
const PACE_FREE_MIN: u32 = 3;

/// A request that fails within the usual time of its kind divided by this was not held up by
/// waiting: what waits in vain does so for longer than what is served.
const QUICK_FACTOR: f64 = 2.0;

/// Settings of a [`SlotGate`].
#[derive(Clone, Debug)]
pub struct SlotSettings {
    /// Share of the announced slots that is used, at most 1. Some backend servers slow down when
    /// they are nearly full.
    pub usable_share: f64,
    /// Share of a request's time to its objective that may pass before its slot is expected. What
    /// is expected to wait longer is refused on arrival.
    pub max_wait_share: f64,
    /// Greatest number of waiting requests for each slot.
    pub queue_per_slot: f64,
    /// Share of a request's time to its objective within which the open requests of its kind are
    /// to be completed. New work that makes calls is refused beyond that; calls of running work are
    /// not.
    pub completion_time_share: f64,
    /// Share of the slots that each kind may have open whatever its pace: enough to find out that
    /// there is room again, and few enough that all of them are served meanwhile.
    pub min_open_share: f64,
    /// Bounds of the time after which a refused request is told to come back.
    pub retry_after_min: Duration,
    /// See [`retry_after_min`](Self::retry_after_min).
    pub retry_after_max: Duration,
}

impl Default for SlotSettings {
    fn default() -> Self {
        Self {
            usable_share: 0.94,
            max_wait_share: 0.9,
            queue_per_slot: 16.0,
            completion_time_share: 0.7,
            min_open_share: 0.05,
            retry_after_min: Duration::from_millis(50),
            retry_after_max: Duration::from_secs(2),
        }
    }
}

/// A request that asks for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotArrival {
    /// Number chosen by the owner of the gate, distinct among the requests that it holds.
    pub id: u64,
    /// Urgency, 0 is the most urgent.
    pub rank: u8,
    /// Kind of the request.
    pub kind: KindKey,
    /// Whether it is a call of a request that runs elsewhere: refusing it wastes that work.
    pub is_call: bool,
    /// Whether requests of its kind make calls, so that services further down may hold it up.
    pub makes_calls: bool,
    /// Time until which the answer is worth most.
    pub objective: MonoTime,
    /// Time after which the answer is of no use.
    pub deadline: MonoTime,
}

/// Answer to a [`SlotArrival`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotDecision {
    /// Send it now.
    Admitted,
    /// Hold it until a [`SlotEvent`] names it.
    Queued,
    /// Refuse it now.
    Refused(Refusal),
}

/// What the decision on a request of one kind rests on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlotInputs {
    /// Requests at the backend server.
    pub running: u32,
    /// Requests waiting for a slot.
    pub queued: u32,
    /// Slots in use at most.
    pub slots: u32,
    /// Time that a request of the kind usually holds a slot.
    pub hold: Duration,
    /// Requests of the kind that run or wait.
    pub open: u32,
    /// Requests of the kind completed in the last second.
    pub completed_per_s: f64,
}

/// Later decision on a queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotEvent {
    /// Send the request now.
    Admitted(u64),
    /// Refuse the request now.
    Refused(u64, Refusal),
}

#[derive(Clone, Copy, Debug)]
struct Running {
    kind: KindKey,
    since: MonoTime,
}

/// Gate of one backend server.
#[derive(Debug)]
pub struct SlotGate {
    settings: SlotSettings,
    slots: u32,
    running: HashMap<u64, Running>,
    queue: Queue,
    hold_times: HoldTimes,
    open_limits: OpenLimits,
    timers: TimerService<u64>,
    verdicts: Vec<SlotEvent>,
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
            timers: TimerService::new(),
            verdicts: Vec::new(),
        }
    }

    /// Takes over the number of slots that the backend server announced.
    pub fn set_slots(&mut self, now: MonoTime, announced: u32) {
        let usable = f64::from(announced) * self.settings.usable_share;
        self.slots = (usable.floor() as u32).max(u32::from(announced > 0));
        self.fill(now);
    }

    /// Forgets what was learned, for a backend server that has started anew.
    pub fn restart(&mut self) {
        self.hold_times.clear();
    }

    /// Decides on a request. Every refusal is final and given at once.
    pub fn arrive(&mut self, now: MonoTime, arrival: SlotArrival) -> SlotDecision {
        self.advance(now);
        if !self.can_finish(now, &arrival) {
            return SlotDecision::Refused(Refusal::new(ErrorKind::QueueTimeout));
        }
        let is_paced = arrival.makes_calls && !arrival.is_call;
        if is_paced && !self.keeps_pace(now, &arrival) {
            let wait = self.open_limits.interval(now, arrival.kind);
            return SlotDecision::Refused(self.refusal(wait));
        }
        if self.queue.len() == 0 && self.has_free_slot() {
            self.open_limits.opened(arrival.kind);
            self.start(now, arrival);
            return SlotDecision::Admitted;
        }
        let is_late = now >= self.latest_start(now, arrival.objective, arrival.kind);
        let (ahead, end) = match is_late {
            false => (
                self.queue.ahead_of(arrival.rank, arrival.objective),
                arrival.objective,
            ),
            true => (self.queue.len(), arrival.deadline),
        };
        let wait = self.expected_wait(now, ahead);
        let room = now.until(self.latest_start(now, end, arrival.kind));
        if wait > room.mul_f64(self.settings.max_wait_share) {
            return SlotDecision::Refused(self.refusal(wait));
        }
        if self.queue.len() >= self.queue_max() && !self.make_room(now, arrival.rank) {
            return SlotDecision::Refused(self.refusal(wait));
        }
        self.enqueue(now, arrival, is_late);
        SlotDecision::Queued
    }

    /// Whether the requests of the kind that are open can be completed within their time, one more
    /// included.
    fn keeps_pace(&mut self, now: MonoTime, arrival: &SlotArrival) -> bool {
        let left = match now.until(arrival.objective) {
            Duration::ZERO => now.until(arrival.deadline),
            left => left,
        };
        let time = left.mul_f64(self.settings.completion_time_share);
        let least = (f64::from(self.slots) * self.settings.min_open_share).ceil() as u32;
        self.open_limits
            .has_room(now, arrival.kind, time, least.max(PACE_FREE_MIN))
    }

    /// Records that an admitted request ended. `answered` tells whether the backend server ran it
    /// to an answer, so that the time it took is of use.
    pub fn finished(&mut self, now: MonoTime, id: u64, answered: bool) {
        if let Some(running) = self.running.remove(&id) {
            let held = now.since(running.since);
            // What fails early was not held up further down; that says nothing against more of it.
            let is_quick = held.mul_f64(QUICK_FACTOR) <= self.hold_times.of(now, running.kind);
            self.open_limits
                .closed(now, running.kind, answered || is_quick);
            if answered {
                self.hold_times.record(now, running.kind, held);
            }
        }
        self.advance(now);
    }

    /// Records that the sender gave up on a request, queued or admitted.
    pub fn cancelled(&mut self, now: MonoTime, id: u64) {
        if let Some(waiting) = self.queue.remove(id) {
            self.timers.cancel(waiting.timer);
            self.open_limits.closed(now, waiting.arrival.kind, false);
        }
        self.finished(now, id, false);
    }

    /// Returns the decisions on queued requests since the last call.
    pub fn poll(&mut self, now: MonoTime) -> Vec<SlotEvent> {
        self.advance(now);
        std::mem::take(&mut self.verdicts)
    }

    /// Time at which [`poll`](Self::poll) has to be called at the latest.
    pub fn next_due(&self) -> Option<MonoTime> {
        self.timers.next_due()
    }

    /// What a decision on a request of `kind` rests on at present.
    pub fn inputs(&self, now: MonoTime, kind: KindKey) -> SlotInputs {
        SlotInputs {
            running: self.running.len() as u32,
            queued: self.queue.len() as u32,
            slots: self.slots,
            hold: self.hold_times.of(now, kind),
            open: self.open_limits.open(kind),
            completed_per_s: self.open_limits.rate(kind),
        }
    }

    /// Load to be reported.
    pub fn load(&self) -> LoadReport {
        LoadReport {
            in_flight: self.running.len() as u32,
            queued: self.queue.len() as u32,
            limit: self.slots,
            ..LoadReport::default()
        }
    }

    /// Refuses everything that waits; what runs is not touched.
    pub fn refuse_waiting(&mut self, now: MonoTime, kind: ErrorKind) {
        for waiting in self.queue.take_all() {
            self.timers.cancel(waiting.timer);
            self.refuse(now, &waiting.arrival, Refusal::new(kind));
        }
    }

    /// Refuses a request that has left the queue.
    fn refuse(&mut self, now: MonoTime, arrival: &SlotArrival, refusal: Refusal) {
        self.open_limits.closed(now, arrival.kind, false);
        self.verdicts.push(SlotEvent::Refused(arrival.id, refusal));
    }

    fn advance(&mut self, now: MonoTime) {
        for id in self.timers.expire(now) {
            self.on_timer(now, id);
        }
        self.fill(now);
    }

    /// The objective or the deadline of a waiting request cannot be met any more.
    fn on_timer(&mut self, now: MonoTime, id: u64) {
        let Some(waiting) = self.queue.get(id).copied() else {
            return;
        };
        if self.can_finish(now, &waiting.arrival) {
            let due = self.latest_start(now, waiting.arrival.deadline, waiting.arrival.kind);
            let timer = self
                .timers
                .subscribe(due.max(now + Duration::from_millis(1)), id);
            self.queue.set_late(id, timer);
            return;
        }
        self.queue.remove(id);
        self.refuse(now, &waiting.arrival, Refusal::new(ErrorKind::QueueTimeout));
    }

    fn enqueue(&mut self, now: MonoTime, arrival: SlotArrival, is_late: bool) {
        self.open_limits.opened(arrival.kind);
        let end = match is_late {
            false => arrival.objective,
            true => arrival.deadline,
        };
        let due = self.latest_start(now, end, arrival.kind);
        let timer = self.timers.subscribe(due, arrival.id);
        self.queue.push(arrival, now, timer);
        if is_late {
            self.queue.set_late(arrival.id, timer);
        }
    }

    fn fill(&mut self, now: MonoTime) {
        while self.has_free_slot() {
            let Some(waiting) = self.queue.pop() else {
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
            self.verdicts.push(SlotEvent::Admitted(id));
        } else {
            let refusal = self.refusal(now.since(waiting.since));
            self.refuse(now, &waiting.arrival, refusal);
        }
    }

    fn make_room(&mut self, now: MonoTime, rank: u8) -> bool {
        let Some(id) = self.queue.last_below(rank) else {
            return false;
        };
        if let Some(waiting) = self.queue.remove(id) {
            self.timers.cancel(waiting.timer);
            let refusal = self.refusal(self.expected_wait(now, self.queue.len()));
            self.refuse(now, &waiting.arrival, refusal);
        }
        true
    }

    fn start(&mut self, now: MonoTime, arrival: SlotArrival) {
        let running = Running {
            kind: arrival.kind,
            since: now,
        };
        self.running.insert(arrival.id, running);
    }

    fn has_free_slot(&self) -> bool {
        (self.running.len() as u32) < self.slots
    }

    fn queue_max(&self) -> usize {
        (f64::from(self.slots) * self.settings.queue_per_slot).ceil() as usize
    }

    fn latest_start(&self, now: MonoTime, end: MonoTime, kind: KindKey) -> MonoTime {
        end - self.hold_times.of(now, kind)
    }

    fn can_finish(&self, now: MonoTime, arrival: &SlotArrival) -> bool {
        // Half of the usual time: some requests of a kind are much quicker than the average.
        now + self.hold_times.of(now, arrival.kind) / 2 < arrival.deadline
    }

    /// Time until a slot is free for a request with `ahead` others before it.
    fn expected_wait(&self, now: MonoTime, ahead: usize) -> Duration {
        let rounds = (ahead as f64 + 1.0) / f64::from(self.slots.max(1));
        self.hold_times.overall(now).mul_f64(rounds)
    }

    fn refusal(&self, wait: Duration) -> Refusal {
        let min = self.settings.retry_after_min;
        let retry_after = wait.clamp(min, self.settings.retry_after_max);
        Refusal::with_retry_after(ErrorKind::Overloaded, retry_after)
    }
}
