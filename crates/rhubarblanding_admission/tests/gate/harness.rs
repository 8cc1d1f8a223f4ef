//! A gate and a model of it that tracks only which requests are queued and running.

use std::collections::{BTreeMap, HashMap};
use std::sync::Mutex;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use rhubarblanding_admission::prelude::*;
use rhubarblanding_core::prelude::{ErrorKind, Importance, MonoTime, Priority, Refusal, RootId};

use crate::steps::{Fault, Step};

/// Refusals by kind over all runs without a fault.
static REFUSALS: Mutex<BTreeMap<String, u64>> = Mutex::new(BTreeMap::new());

pub fn refusals(kind: &str) -> u64 {
    let counts = REFUSALS.lock().map(|counts| counts.get(kind).copied());
    counts.ok().flatten().unwrap_or(0)
}

const SLOTS: u32 = 4;
const QUEUE_LEN_MAX: usize = 12;

pub struct Harness {
    fault: u8,
    gate: Gate,
    now: MonoTime,
    next_id: u64,
    queued: HashMap<u64, Importance>,
    running: BTreeMap<u64, MonoTime>,
    /// Highest importance refused for load since capacity was last freed.
    refused: Option<Importance>,
    draining: bool,
}

fn is_for_load(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::Overloaded | ErrorKind::QueueTimeout)
}

impl Harness {
    pub fn new(fault: u8) -> Self {
        let settings = GateSettings {
            evict: fault != Fault::NO_EVICTION,
            order_by_importance: fault != Fault::NO_ORDER,
            queue_len_min: 4,
            queue_len_max: QUEUE_LEN_MAX,
            ..GateSettings::default()
        };
        let rng = SmallRng::seed_from_u64(1);
        Self {
            fault,
            gate: Gate::new(MonoTime::ZERO, settings, SLOTS, rng),
            now: MonoTime::ZERO,
            next_id: 0,
            queued: HashMap::new(),
            running: BTreeMap::new(),
            refused: None,
            draining: false,
        }
    }

    pub fn apply(&mut self, step: Step) {
        match step {
            Step::Arrive {
                importance,
                root,
                deadline_ms,
                kind,
            } => self.arrive(importance, root, deadline_ms, kind),
            Step::Finish {
                running,
                result,
                downstream_ms,
            } => self.finish(running, result, downstream_ms),
            Step::Cancel { index } => self.cancel(index),
            Step::Wait { millis } => self.wait(self.now + Duration::from_millis(millis)),
            Step::WaitForDue => {
                if let Some(due) = self.gate.next_due() {
                    self.wait(due.max(self.now));
                }
            }
            Step::SetSlots { slots } => {
                self.refused = None;
                self.gate.set_slots(self.now, slots);
            }
            Step::Drain => {
                self.draining = true;
                self.gate.drain(self.now);
            }
        }
        self.poll();
    }

    fn arrive(&mut self, importance: Importance, root: u64, deadline_ms: u64, kind: u16) {
        let id = self.next_id;
        self.next_id += 1;
        let arrival = Arrival {
            id,
            priority: Priority::new(importance, RootId(root)),
            deadline: self.now + Duration::from_millis(deadline_ms),
            kind: KindId(kind),
        };
        let decision = self.gate.arrive(self.now, arrival);
        // Evictions for the arrival come before the decision on it.
        self.poll();
        match decision {
            Decision::Admitted => self.admit(id, importance),
            Decision::Queued => {
                self.queued.insert(id, importance);
            }
            Decision::Refused(refusal) => self.refuse(importance, refusal),
        }
    }

    fn finish(&mut self, index: u16, result: FinishResult, downstream_ms: u64) {
        let nth = usize::from(index) % self.running.len().max(1);
        let Some((id, since)) = self.running.iter().nth(nth).map(|(id, at)| (*id, *at)) else {
            return;
        };
        self.refused = None;
        self.running.remove(&id);
        let finish = Finish {
            latency: self.now.since(since),
            downstream: Duration::from_millis(downstream_ms),
            result,
        };
        self.gate.finished(self.now, id, finish);
    }

    fn cancel(&mut self, index: u16) {
        self.refused = None;
        let id = u64::from(index) % self.next_id.max(1);
        self.queued.remove(&id);
        self.running.remove(&id);
        self.gate.cancelled(self.now, id);
    }

    fn wait(&mut self, until: MonoTime) {
        if until > self.now {
            self.refused = None;
        }
        self.now = until;
    }

    fn poll(&mut self) {
        for event in self.gate.poll(self.now) {
            self.on_event(event);
        }
    }

    fn on_event(&mut self, event: GateEvent) {
        if self.fault == Fault::LOST_EVENT {
            return;
        }
        let id = match event {
            GateEvent::Admitted(id) | GateEvent::Refused(id, _) => id,
        };
        let importance = self.queued.remove(&id);
        let Some(importance) = importance else {
            panic!("event for {id}, which is not queued");
        };
        match event {
            GateEvent::Admitted(id) => self.admit(id, importance),
            GateEvent::Refused(_, refusal) => self.refuse(importance, refusal),
        }
    }

    fn admit(&mut self, id: u64, importance: Importance) {
        assert!(!self.draining, "admitted while draining");
        let above = self.queued.values().max().copied();
        assert!(
            above.is_none_or(|above| above <= importance),
            "{importance} is admitted while something more important is queued"
        );
        assert!(
            self.refused.is_none_or(|refused| refused <= importance),
            "{importance} is admitted in a round in which something more important was refused"
        );
        self.running.insert(id, self.now);
    }

    fn refuse(&mut self, importance: Importance, refusal: Refusal) {
        assert!(
            refusal.retry_after.is_some(),
            "refusal without a retry delay"
        );
        self.count(refusal.kind);
        if refusal.kind == ErrorKind::Overloaded {
            let below = self.queued.values().min().copied();
            assert!(
                below.is_none_or(|below| below >= importance),
                "{importance} is refused while something less important is queued"
            );
        }
        if is_for_load(refusal.kind) {
            self.refused = self.refused.max(Some(importance));
        }
    }

    fn count(&self, kind: ErrorKind) {
        if self.fault == Fault::NONE
            && let Ok(mut counts) = REFUSALS.lock()
        {
            *counts.entry(kind.to_string()).or_default() += 1;
        }
    }

    /// Checks that the gate holds the same requests as the model and leaves no slot unused.
    pub fn check(&self) {
        let report = self.gate.report();
        assert_eq!(
            report.queued as usize,
            self.queued.len(),
            "queued by the model"
        );
        assert_eq!(
            report.in_flight as usize,
            self.running.len(),
            "running by the model"
        );
        assert!(self.queued.len() <= QUEUE_LEN_MAX, "queue too long");
        let idle = report.in_flight < report.limit;
        assert!(
            !idle || self.queued.is_empty(),
            "a slot is free and a request waits"
        );
        assert_eq!(report.draining, self.draining, "draining");
    }
}
