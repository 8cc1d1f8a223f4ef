//! Admission in front of the local backend server: callers wait for the gate's verdict.

use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use rhubarblanding_admission::prelude::*;
use rhubarblanding_core::prelude::*;
use tokio::sync::{Notify, oneshot};

use crate::process::Clock;
use crate::process::parking::{Mutex, lock};

/// Longest sleep of the loop that polls the gate.
const POLL_MAX: Duration = Duration::from_secs(1);

/// Time between two looks whether the gate is idle.
const IDLE_POLL: Duration = Duration::from_millis(20);

type Verdict = Result<(), Refusal>;

#[derive(Debug)]
struct State {
    gate: Gate,
    waiting: HashMap<u64, oneshot::Sender<Verdict>>,
    next_id: u64,
}

impl State {
    /// Hands the gate's verdicts to the callers that wait for them.
    fn deliver(&mut self, now: MonoTime) {
        for event in self.gate.poll(now) {
            let (id, verdict) = match event {
                GateEvent::Admitted(id) => (id, Ok(())),
                GateEvent::Refused(id, refusal) => (id, Err(refusal)),
            };
            // A waiter that has gone reports its cancellation itself.
            if let Some(tx) = self.waiting.remove(&id) {
                let _ = tx.send(verdict);
            }
        }
    }
}

/// The gate of this node together with the callers that wait for it.
#[derive(Debug)]
pub struct GateDriver {
    clock: Clock,
    state: Mutex<State>,
    changed: Notify,
}

impl GateDriver {
    /// Creates the driver of a gate for a backend server that has announced nothing yet.
    pub fn new(clock: Clock, settings: GateSettings) -> Self {
        let gate = Gate::new(clock.now(), settings, 0, SmallRng::from_os_rng());
        Self {
            clock,
            state: Mutex::new(State {
                gate,
                waiting: HashMap::default(),
                next_id: 0,
            }),
            changed: Notify::new(),
        }
    }

    /// Waits until the request may be dispatched.
    ///
    /// # Errors
    ///
    /// The gate's refusal; the request was not and will not be dispatched.
    pub async fn admit(
        self: &Arc<Self>,
        cx: &rhubarblanding_request::context::RequestContext,
        kind: KindId,
    ) -> Result<GatePass, Refusal> {
        let now = self.clock.now();
        let (pass, verdict) = {
            let mut state = lock(&self.state);
            let id = state.next_id;
            state.next_id += 1;
            let arrival = Arrival {
                id,
                priority: cx.priority,
                deadline: cx.deadline,
                kind,
            };
            let decision = state.gate.arrive(now, arrival);
            let waiter = match decision {
                Decision::Refused(refusal) => {
                    state.deliver(now);
                    return Err(refusal);
                }
                Decision::Admitted => None,
                Decision::Queued => {
                    let (tx, rx) = oneshot::channel();
                    state.waiting.insert(id, tx);
                    Some(rx)
                }
            };
            state.deliver(now);
            (self.pass(id), waiter)
        };
        self.changed.notify_one();
        let Some(rx) = verdict else {
            return Ok(pass);
        };
        match rx.await {
            Ok(Ok(())) => Ok(pass.restart()),
            Ok(Err(refusal)) => {
                pass.forget();
                Err(refusal)
            }
            Err(_) => Err(Refusal::new(ErrorKind::Internal)),
        }
    }

    fn pass(self: &Arc<Self>, id: u64) -> GatePass {
        GatePass {
            driver: Arc::clone(self),
            id,
            since: self.clock.now(),
            open: true,
        }
    }

    /// Load of the backend server for answers.
    pub fn report(&self) -> LoadReport {
        lock(&self.state).gate.report()
    }

    /// Takes over the slots that the backend server announced.
    pub fn set_slots(&self, slots: u32) {
        self.update(|gate, now| gate.set_slots(now, slots));
    }

    /// Refuses what waits and what comes; what runs is finished.
    pub fn drain(&self) {
        self.update(|gate, now| gate.drain(now));
    }

    /// Completes once nothing runs or waits.
    pub async fn idle(&self) {
        while !lock(&self.state).gate.is_idle() {
            tokio::time::sleep(IDLE_POLL).await;
        }
    }

    fn update(&self, change: impl FnOnce(&mut Gate, MonoTime)) {
        let now = self.clock.now();
        let mut state = lock(&self.state);
        change(&mut state.gate, now);
        state.deliver(now);
        drop(state);
        self.changed.notify_one();
    }

    /// Polls the gate whenever it is due; runs for as long as the process.
    pub async fn run(self: Arc<Self>) {
        loop {
            let due = lock(&self.state).gate.next_due();
            let now = self.clock.now();
            let sleep = due.map_or(POLL_MAX, |due| now.until(due)).min(POLL_MAX);
            tokio::select! {
                () = tokio::time::sleep(sleep) => self.update(|_, _| {}),
                () = self.changed.notified() => {}
            }
        }
    }
}

/// Permission to dispatch one request; dropping it reports the request as cancelled.
#[derive(Debug)]
pub struct GatePass {
    driver: Arc<GateDriver>,
    id: u64,
    since: MonoTime,
    open: bool,
}

impl GatePass {
    fn restart(mut self) -> Self {
        self.since = self.driver.clock.now();
        self
    }

    /// Time since the request was admitted.
    pub fn elapsed(&self) -> Duration {
        self.driver.clock.now().since(self.since)
    }

    /// Reports how the request ended.
    pub fn finish(&mut self, finish: Finish) {
        if std::mem::take(&mut self.open) {
            let id = self.id;
            self.driver
                .update(|gate, now| gate.finished(now, id, finish));
        }
    }

    /// The gate has refused the request by itself.
    fn forget(mut self) {
        self.open = false;
    }
}

impl Drop for GatePass {
    fn drop(&mut self) {
        if self.open {
            let id = self.id;
            lock(&self.driver.state).waiting.remove(&id);
            self.driver.update(|gate, now| gate.cancelled(now, id));
        }
    }
}
