//! Discrete event simulation of one backend server behind a gate, for tests and measurements.
//!
//! The backend server runs as many requests at a time as it has slots and queues the rest. Callers
//! that are refused or time out retry at once, up to [`ATTEMPTS_MAX`] attempts, and ignore the
//! retry delay in the refusal.

mod backend;
mod outcome;
mod scenario;

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rhubarblanding_admission::prelude::*;
use rhubarblanding_core::prelude::{HostId, Importance, MonoTime, Priority, RootId, TimerService};

pub use outcome::{Count, Outcome, Tally};
pub use scenario::{Disturbance, Scenario, fixed_limit};

/// Maximum number of attempts of a caller.
pub const ATTEMPTS_MAX: u8 = 3;
/// Time that a caller waits for an answer.
const CALLER_TIMEOUT: Duration = Duration::from_secs(1);
/// Time from a refusal to the next attempt.
const RETRY_DELAY: Duration = Duration::from_millis(5);
/// Mean service time of each kind of request in seconds, and its share of the requests in percent.
const KINDS: [(f64, u32); 2] = [(0.010, 80), (0.040, 20)];
/// Mean service time over all kinds, in seconds.
const MEAN_SERVICE: f64 = 0.016;
/// Kind of request that may wait for a downstream service.
const DOWNSTREAM_KIND: usize = 1;
/// Share of each importance in percent.
const SHARES: [(Importance, u32); 4] = [
    (Importance::Critical, 5),
    (Importance::High, 15),
    (Importance::Normal, 50),
    (Importance::Background, 30),
];

#[derive(Clone, Copy, Debug)]
enum Event {
    Arrive,
    Retry(u64),
    Done(u64),
    Timeout(u64),
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
    downstream: Duration,
    abandoned: bool,
}

/// State of a running simulation.
struct Sim {
    scenario: Scenario,
    rng: SmallRng,
    now: MonoTime,
    events: TimerService<Event>,
    next_id: u64,
    gate: Option<Gate>,
    entries: Vec<EntryGate>,
    reached: u64,
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
    while let Some(at) = sim.events.next_due().filter(|at| *at < end) {
        sim.now = at;
        for event in sim.events.expire(at) {
            sim.handle(event);
            sim.poll();
        }
    }
    let completed: u32 = sim.windows.iter().map(|w| w.all.completed).sum();
    Outcome {
        reached_per_answer: sim.reached as f64 / f64::from(completed.max(1)),
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
            entries: (0..scenario.entry_nodes)
                .map(|_| EntryGate::new(EntrySettings::default()))
                .collect(),
            reached: 0,
            scenario,
            rng,
            now: MonoTime::ZERO,
            events: TimerService::new(),
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
        self.events.subscribe(at, event);
    }

    /// Returns the disturbance if it is active now.
    fn disturbance(&self) -> Option<Disturbance> {
        let second = self.now.as_micros() / 1_000_000;
        let disturbance = self.scenario.disturbance;
        disturbance.filter(|disturbance| (disturbance.from..disturbance.to).contains(&second))
    }

    fn exponential(&mut self, mean: f64) -> Duration {
        let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
        Duration::from_secs_f64(-mean * uniform.ln())
    }

    fn draw_index<T: Copy>(&mut self, shares: &[(T, u32)]) -> usize {
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
            Event::Retry(id) => self.submit(id),
            Event::Done(id) => self.done(id),
            Event::Timeout(id) => self.time_out(id),
            Event::Poll => {}
        }
    }

    fn arrive(&mut self) {
        let load = self.scenario.load
            * self
                .disturbance()
                .map_or(1.0, |disturbance| disturbance.load_factor);
        let rate = load * f64::from(self.scenario.slots) / MEAN_SERVICE;
        let gap = self.exponential(1.0 / rate);
        self.schedule(self.now + gap, Event::Arrive);
        let importance = SHARES[self.draw_index(&SHARES)].0;
        let root = RootId(self.rng.random());
        let window = (self.now.as_micros() / Outcome::WINDOW.as_micros() as u64) as usize;
        let kind = self.draw_index(&KINDS);
        self.count(window, importance, kind, |tally| tally.offered += 1);
        let attempt = Attempt {
            number: 1,
            priority: Priority::new(importance, root),
            kind,
            window,
            deadline: self.now + CALLER_TIMEOUT,
            dispatched: None,
            started: None,
            downstream: Duration::ZERO,
            abandoned: false,
        };
        let id = self.add(attempt);
        self.submit(id);
    }

    fn count(
        &mut self,
        window: usize,
        importance: Importance,
        kind: usize,
        add: impl Fn(&mut Tally),
    ) {
        let count = &mut self.windows[window];
        add(&mut count.all);
        if importance == Importance::Critical {
            add(&mut count.critical);
        }
        if kind != DOWNSTREAM_KIND {
            add(&mut count.local);
        }
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
        self.schedule(attempt.deadline, Event::Timeout(id));
        if !self.passes_entry(id, attempt.priority) {
            return self.refused(id);
        }
        self.reached += 1;
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
            Decision::Refused(_) => {
                self.report_to_entry(id);
                self.refused(id);
            }
        }
    }

    fn entry(&mut self, id: u64) -> Option<&mut EntryGate> {
        let node = id as usize % self.entries.len().max(1);
        self.entries.get_mut(node)
    }

    fn passes_entry(&mut self, id: u64, priority: Priority) -> bool {
        let now = self.now;
        let mut rng = SmallRng::seed_from_u64(self.rng.random());
        self.entry(id)
            .is_none_or(|entry| entry.check(now, &mut rng, priority).is_ok())
    }

    /// Passes the load report of the gate to the entry node, as every answer does.
    fn report_to_entry(&mut self, id: u64) {
        let Some(report) = self.gate.as_ref().map(Gate::report) else {
            return;
        };
        let (now, host) = (self.now, HostId(([10, 0, 0, 1], 7_000).into()));
        if let Some(entry) = self.entry(id) {
            entry.observe(now, host, report);
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
                GateEvent::Refused(id, _) => {
                    self.report_to_entry(id);
                    self.refused(id);
                }
            }
        }
        let next = self.events.next_due();
        if let Some(due) = due
            && next.is_none_or(|next| due < next)
        {
            self.schedule(due.max(self.now), Event::Poll);
        }
    }

    fn refused(&mut self, id: u64) {
        if let Some(attempt) = self.attempts.remove(&id) {
            self.retry(attempt, RETRY_DELAY);
        }
    }

    fn retry(&mut self, attempt: Attempt, wait: Duration) {
        if attempt.number == ATTEMPTS_MAX {
            return;
        }
        let at = self.now + wait;
        let next = Attempt {
            number: attempt.number + 1,
            deadline: at + CALLER_TIMEOUT,
            dispatched: None,
            started: None,
            ..attempt
        };
        let id = self.add(next);
        self.schedule(at, Event::Retry(id));
    }
}
