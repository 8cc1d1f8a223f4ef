//! Discrete event simulation of one backend server behind a gate, for tests and measurements.
//!
//! The backend server runs as many requests at a time as it has slots and queues the rest. Callers
//! that are refused or time out try again at once, up to [`TRIES`] times, whatever they are told.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rhubarblanding_admission::limit::LimitPolicy;
use rhubarblanding_admission::prelude::*;
use rhubarblanding_core::prelude::{Importance, MonoTime, Priority, RootId};

/// Attempts of a caller.
pub const TRIES: u8 = 3;
/// Time that a caller waits for an answer.
const PATIENCE: Duration = Duration::from_secs(1);
/// Time from a refusal to the next try.
const TURNAROUND: Duration = Duration::from_millis(5);
/// Mean service time of each kind of request, and its share of the requests in percent.
const KINDS: [(f64, u32); 2] = [(0.010, 80), (0.040, 20)];
/// Mean service time over all kinds, in seconds.
const MEAN_SERVICE: f64 = 0.016;
/// Share of each importance in percent.
const SHARES: [(Importance, u32); 4] = [
    (Importance::Critical, 5),
    (Importance::High, 15),
    (Importance::Normal, 50),
    (Importance::Background, 30),
];

/// One scenario.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Seed of every random choice.
    pub seed: u64,
    /// Gate in front of the backend server. Without one every request goes straight to it, and
    /// nobody cancels.
    pub gate: Option<GateSettings>,
    /// Slots of the backend server.
    pub slots: u32,
    /// Slots that it announces.
    pub announced: u32,
    /// Requests that the backend server queues before it sheds, if it sheds.
    pub sheds_above: Option<usize>,
    /// Offered load as a multiple of the capacity.
    pub load: f64,
    /// Length of the run in seconds.
    pub secs: u64,
    /// Seconds during which the backend server is slower, and by what factor.
    pub slow: Option<Slow>,
}

/// Phase in which the backend server is slow.
#[derive(Clone, Copy, Debug)]
pub struct Slow {
    /// Start in seconds.
    pub from: u64,
    /// End in seconds.
    pub to: u64,
    /// Factor on the service time.
    pub factor: f64,
}

/// Requests that arrived in one window.
#[derive(Clone, Copy, Debug, Default)]
pub struct Count {
    /// Requests, retries not counted.
    pub offered: u32,
    /// Of these, requests that were answered in time.
    pub completed: u32,
    /// Requests of the highest importance.
    pub critical: u32,
    /// Of these, requests that were answered in time.
    pub critical_completed: u32,
}

/// Result of a scenario.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Counts by window of [`Outcome::WINDOW`].
    pub windows: Vec<Count>,
    /// Slot time spent on requests that were not answered in time, in percent.
    pub wasted_percent: f64,
    /// Concurrency limit at the end.
    pub limit: u32,
}

impl Outcome {
    /// Length of a window.
    pub const WINDOW: Duration = Duration::from_millis(250);
    /// Windows per second.
    pub const PER_SEC: usize = 4;

    fn windows(&self, from: u64, to: u64) -> &[Count] {
        &self.windows[from as usize * Self::PER_SEC..to as usize * Self::PER_SEC]
    }

    /// Answers in time per second, over the requests that arrived between two seconds.
    pub fn goodput(&self, from: u64, to: u64) -> f64 {
        let completed: u32 = self.windows(from, to).iter().map(|c| c.completed).sum();
        f64::from(completed) / (to - from) as f64
    }

    /// Share of the requests of the highest importance that were answered in time.
    pub fn critical_share(&self, from: u64, to: u64) -> f64 {
        let windows = self.windows(from, to);
        let offered: u32 = windows.iter().map(|c| c.critical).sum();
        let completed: u32 = windows.iter().map(|c| c.critical_completed).sum();
        f64::from(completed) / f64::from(offered.max(1))
    }

    /// Time from second `end` until the share of requests answered in time is, for good, 95 % of
    /// that between the seconds `before`.
    pub fn recovery(&self, before: (u64, u64), end: u64) -> Duration {
        let share = |windows: &[Count]| {
            let offered: u32 = windows.iter().map(|c| c.offered).sum();
            let completed: u32 = windows.iter().map(|c| c.completed).sum();
            f64::from(completed) / f64::from(offered.max(1))
        };
        let wanted = 0.95 * share(self.windows(before.0, before.1));
        // Requests of the last second may be under way when the run ends.
        let last = self.windows.len() - Self::PER_SEC;
        let after = &self.windows[end as usize * Self::PER_SEC..last];
        let bad = after
            .iter()
            .rposition(|w| share(std::slice::from_ref(w)) < wanted);
        Self::WINDOW * bad.map_or(0, |last| last as u32 + 1)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Try(u64),
    Done(u64),
    GiveUp(u64),
    Poll,
}

#[derive(Clone, Copy, Debug)]
struct Attempt {
    number: u8,
    priority: Priority,
    kind: usize,
    window: usize,
    deadline: MonoTime,
    dispatched: Option<MonoTime>,
    started: Option<MonoTime>,
    abandoned: bool,
}

/// Running simulation.
struct Sim {
    scenario: Scenario,
    rng: SmallRng,
    now: MonoTime,
    events: BinaryHeap<Reverse<(MonoTime, u64, Event)>>,
    next_event: u64,
    next_id: u64,
    gate: Option<Gate>,
    attempts: HashMap<u64, Attempt>,
    busy: u32,
    backlog: VecDeque<u64>,
    windows: Vec<Count>,
    used: Duration,
    wasted: Duration,
}

/// Runs a scenario.
pub fn run(scenario: Scenario) -> Outcome {
    let mut sim = Sim::new(scenario);
    sim.schedule(MonoTime::ZERO, Event::Arrive);
    let end = MonoTime::ZERO + Duration::from_secs(sim.scenario.secs);
    while let Some(Reverse((at, _, event))) = sim.events.pop() {
        if at >= end {
            break;
        }
        sim.now = at;
        sim.handle(event);
        sim.poll();
    }
    Outcome {
        wasted_percent: 100.0 * sim.wasted.as_secs_f64() / sim.used.as_secs_f64(),
        limit: sim.gate.as_ref().map_or(0, |gate| gate.report().limit),
        windows: sim.windows,
    }
}

impl Sim {
    fn new(scenario: Scenario) -> Self {
        let settings = scenario.gate.clone();
        let rng = SmallRng::seed_from_u64(scenario.seed);
        let gate_rng = SmallRng::seed_from_u64(scenario.seed + 1);
        let announced = scenario.announced;
        let windows = scenario.secs as usize * Outcome::PER_SEC;
        Self {
            gate: settings.map(|s| Gate::new(MonoTime::ZERO, s, announced, gate_rng)),
            scenario,
            rng,
            now: MonoTime::ZERO,
            events: BinaryHeap::new(),
            next_event: 0,
            next_id: 0,
            attempts: HashMap::new(),
            busy: 0,
            backlog: VecDeque::new(),
            windows: vec![Count::default(); windows],
            used: Duration::ZERO,
            wasted: Duration::ZERO,
        }
    }

    fn schedule(&mut self, at: MonoTime, event: Event) {
        self.events.push(Reverse((at, self.next_event, event)));
        self.next_event += 1;
    }

    fn exponential(&mut self, mean: f64) -> Duration {
        let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
        Duration::from_secs_f64(-mean * uniform.ln())
    }

    fn percent<T: Copy>(&mut self, shares: &[(T, u32)]) -> usize {
        let mut drawn = self.rng.random_range(0..100);
        for (index, (_, share)) in shares.iter().enumerate() {
            if drawn < *share {
                return index;
            }
            drawn -= share;
        }
        0
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Try(id) => self.submit(id),
            Event::Done(id) => self.done(id),
            Event::GiveUp(id) => self.give_up(id),
            Event::Poll => {}
        }
    }

    fn arrive(&mut self) {
        let rate = self.scenario.load * f64::from(self.scenario.slots) / MEAN_SERVICE;
        let gap = self.exponential(1.0 / rate);
        self.schedule(self.now + gap, Event::Arrive);
        let importance = SHARES[self.percent(&SHARES)].0;
        let root = RootId(self.rng.random());
        let window = (self.now.as_micros() / Outcome::WINDOW.as_micros() as u64) as usize;
        let count = &mut self.windows[window];
        count.offered += 1;
        count.critical += u32::from(importance == Importance::Critical);
        let attempt = Attempt {
            number: 1,
            priority: Priority::new(importance, root),
            kind: self.percent(&KINDS),
            window,
            deadline: self.now + PATIENCE,
            dispatched: None,
            started: None,
            abandoned: false,
        };
        let id = self.add(attempt);
        self.submit(id);
    }

    fn add(&mut self, attempt: Attempt) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        self.attempts.insert(id, attempt);
        id
    }

    fn submit(&mut self, id: u64) {
        let Some(attempt) = self.attempts.get(&id).copied() else {
            return;
        };
        self.schedule(attempt.deadline, Event::GiveUp(id));
        let Some(gate) = &mut self.gate else {
            return self.dispatch(id);
        };
        let arrival = Arrival {
            id,
            priority: attempt.priority,
            deadline: attempt.deadline,
            kind: KindId(attempt.kind as u16),
        };
        match gate.arrive(self.now, arrival) {
            Decision::Admitted => self.dispatch(id),
            Decision::Queued => {}
            Decision::Refused(_) => self.refused(id),
        }
    }

    fn poll(&mut self) {
        let Some(gate) = &mut self.gate else {
            return;
        };
        let events = gate.poll(self.now);
        let due = gate.next_due();
        for event in events {
            match event {
                GateEvent::Admitted(id) => self.dispatch(id),
                GateEvent::Refused(id, _) => self.refused(id),
            }
        }
        let next = self.events.peek().map(|event| event.0.0);
        if let Some(due) = due
            && next.is_none_or(|next| due < next)
        {
            self.schedule(due.max(self.now), Event::Poll);
        }
    }

    fn refused(&mut self, id: u64) {
        if let Some(attempt) = self.attempts.remove(&id) {
            self.try_again(attempt, TURNAROUND);
        }
    }

    fn try_again(&mut self, attempt: Attempt, wait: Duration) {
        if attempt.number == TRIES {
            return;
        }
        let at = self.now + wait;
        let next = Attempt {
            number: attempt.number + 1,
            deadline: at + PATIENCE,
            dispatched: None,
            started: None,
            ..attempt
        };
        let id = self.add(next);
        self.schedule(at, Event::Try(id));
    }

    fn dispatch(&mut self, id: u64) {
        if let Some(attempt) = self.attempts.get_mut(&id) {
            attempt.dispatched = Some(self.now);
        }
        if self.busy < self.scenario.slots {
            return self.start(id);
        }
        let full = self
            .scenario
            .sheds_above
            .is_some_and(|most| self.backlog.len() >= most);
        if !full {
            return self.backlog.push_back(id);
        }
        if let Some(gate) = &mut self.gate {
            gate.finished(self.now, id, finish(Duration::ZERO, FinishResult::Shed));
        }
        self.refused(id);
    }

    fn start(&mut self, id: u64) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        attempt.started = Some(self.now);
        let mean = KINDS[attempt.kind].0;
        self.busy += 1;
        let second = self.now.as_micros() / 1_000_000;
        let slow = self
            .scenario
            .slow
            .filter(|slow| (slow.from..slow.to).contains(&second));
        let factor = slow.map_or(1.0, |slow| slow.factor);
        let service = self.exponential(mean * factor);
        self.schedule(self.now + service, Event::Done(id));
    }

    fn done(&mut self, id: u64) {
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
            let critical = attempt.priority.importance() == Importance::Critical;
            let count = &mut self.windows[attempt.window];
            count.completed += 1;
            count.critical_completed += u32::from(critical);
        }
        let latency = attempt
            .dispatched
            .map_or(Duration::ZERO, |at| self.now.since(at));
        if let Some(gate) = &mut self.gate {
            gate.finished(self.now, id, finish(latency, FinishResult::Completed));
        }
        self.free_slot();
    }

    fn free_slot(&mut self) {
        self.busy -= 1;
        if let Some(id) = self.backlog.pop_front() {
            self.start(id);
        }
    }

    /// The caller's patience is over. With a gate the request is cancelled down to the backend
    /// server; without one the backend server runs it to its end.
    fn give_up(&mut self, id: u64) {
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
        self.try_again(copy, TURNAROUND);
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

fn finish(latency: Duration, result: FinishResult) -> Finish {
    Finish {
        latency,
        downstream: Duration::ZERO,
        result,
    }
}

/// Settings of a plain limit: the announced slots and a queue in order of arrival.
pub fn fixed_limit() -> GateSettings {
    let mut settings = GateSettings {
        evict: false,
        order_by_importance: false,
        ..GateSettings::default()
    };
    settings.limit.policy = LimitPolicy::Fixed;
    settings
}
