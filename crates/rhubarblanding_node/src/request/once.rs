//! The at-most-once ledger of this node together with the callers that wait for it.

use std::sync::Arc;
use std::time::Duration;

use rhubarblanding_core::prelude::*;
use rhubarblanding_once::message::RunId;
use rhubarblanding_once::prelude::*;
use rhubarblanding_once::table::AdoptionReply;
use tokio::sync::{Notify, mpsc};

use crate::process::Clock;
use crate::process::parking::{Mutex, lock};

/// Longest sleep of the loop that ticks the ledger.
const TICK_MAX: Duration = Duration::from_secs(1);

/// What a waiting caller is told.
#[derive(Clone, Debug)]
pub enum Verdict {
    /// Send the request to the backend server, once, and report the outcome.
    Run(RunId),
    /// Answer with this recorded answer.
    Answer(Arc<RecordedAnswer>),
    /// Refuse.
    Refuse(Refusal),
}

/// Message for another member that the owner of the driver has to send.
pub type Outgoing = mpsc::UnboundedSender<Envelope>;

#[derive(Debug)]
struct State {
    ledger: Ledger,
    waiting: HashMap<CallerId, mpsc::UnboundedSender<Verdict>>,
    next_caller: u64,
}

/// Runs the ledger of this node.
#[derive(Debug)]
pub struct OnceDriver {
    clock: Clock,
    state: Mutex<State>,
    outgoing: Outgoing,
    changed: Notify,
    max_answer_bytes: usize,
}

impl OnceDriver {
    /// Creates the driver of an empty ledger.
    pub fn new(clock: Clock, me: Member, settings: LedgerSettings, outgoing: Outgoing) -> Self {
        let state = State {
            ledger: Ledger::new(me, settings),
            waiting: HashMap::default(),
            next_caller: 0,
        };
        Self {
            clock,
            state: Mutex::new(state),
            outgoing,
            changed: Notify::new(),
            max_answer_bytes: settings.max_answer_bytes,
        }
    }

    /// Current time for the ledger.
    pub fn now(&self) -> Now {
        Now {
            mono: self.clock.now(),
            wall: self.clock.wall(),
        }
    }

    /// This node as a member of its service's home table.
    pub fn member(&self) -> Member {
        lock(&self.state).ledger.member().clone()
    }

    /// The home table in force.
    pub fn table(&self) -> Option<HomeTable> {
        lock(&self.state).ledger.table().cloned()
    }

    /// Version of the home table in force.
    pub fn table_version(&self) -> Option<TableVersion> {
        lock(&self.state).ledger.table().map(HomeTable::version)
    }

    /// Whether keys that are minted now are decided on by this node together with others.
    pub fn is_needed(&self) -> bool {
        let state = lock(&self.state);
        let me = state.ledger.member().id;
        let table = state.ledger.table();
        table.is_some_and(|table| table.is_current_member(me))
    }

    /// Greatest size in bytes of an answer that is kept.
    pub fn max_answer_bytes(&self) -> usize {
        self.max_answer_bytes
    }

    /// Puts a newer table in force.
    pub fn adopt(&self, table: HomeTable) -> AdoptionReply {
        let now = self.now();
        lock(&self.state).ledger.adopt(now, table)
    }

    /// Begins an attempt; its verdicts come through the returned waiter.
    pub fn attempt(
        self: &Arc<Self>,
        key: IdempotencyKey,
        fingerprint: Fingerprint,
        role: Role,
    ) -> Waiter {
        let (tx, rx) = mpsc::unbounded_channel();
        let mut state = lock(&self.state);
        let caller = CallerId(state.next_caller);
        state.next_caller += 1;
        state.waiting.insert(caller, tx);
        let attempt = AttemptRequest {
            caller,
            key,
            fingerprint,
            role,
        };
        let messages = self.feed(&mut state, Input::Attempt(attempt));
        drop(state);
        self.send(messages);
        self.changed.notify_one();
        Waiter {
            driver: Arc::clone(self),
            caller,
            key,
            rx,
        }
    }

    /// Reports how a dispatched request ended.
    pub fn outcome(&self, key: IdempotencyKey, run: RunId, outcome: Outcome) {
        self.input(Input::Outcome { key, run, outcome });
    }

    /// Reports that a dispatched request did not run, and returns the messages that have to arrive
    /// before the request is asked for elsewhere.
    #[must_use]
    pub fn shed(&self, key: IdempotencyKey, run: RunId) -> Vec<Envelope> {
        let outcome = Outcome::Shed;
        let shed = Input::Outcome { key, run, outcome };
        let messages = self.feed(&mut lock(&self.state), shed);
        self.changed.notify_one();
        messages
    }

    /// Takes notice that a member cannot be reached.
    pub fn unreachable(&self, id: MemberId) {
        self.input(Input::Unreachable(id));
    }

    /// Takes a message of another member and returns the messages that go back to it.
    ///
    /// They travel with the answer to the message, which saves a call for each.
    pub fn receive(&self, envelope: Envelope) -> Vec<Envelope> {
        let sender = envelope.from;
        let mut state = lock(&self.state);
        let messages = self.feed(&mut state, Input::Peer(envelope));
        drop(state);
        self.changed.notify_one();
        let (back, others) = messages.into_iter().partition(|msg| msg.to == sender);
        self.send(others);
        back
    }

    /// Takes the messages that came back with an answer.
    pub fn receive_all(&self, messages: Vec<Envelope>) {
        for envelope in messages {
            let answers = self.receive(envelope);
            self.send(answers);
        }
    }

    /// Ticks the ledger whenever it is due; runs for as long as the process.
    pub async fn run(self: Arc<Self>) {
        let mut ticked = self.clock.now();
        loop {
            let due = lock(&self.state).ledger.next_due();
            let latest = ticked + TICK_MAX;
            let next = due.map_or(latest, |due| due.min(latest));
            let now = self.clock.now();
            if now >= next {
                ticked = now;
                self.input(Input::Tick);
                continue;
            }
            tokio::select! {
                () = tokio::time::sleep(now.until(next)) => {}
                () = self.changed.notified() => {}
            }
        }
    }

    fn input(&self, input: Input) {
        let messages = self.feed(&mut lock(&self.state), input);
        self.changed.notify_one();
        self.send(messages);
    }

    fn send(&self, messages: Vec<Envelope>) {
        for envelope in messages {
            // The receiver lives as long as the process.
            let _ = self.outgoing.send(envelope);
        }
    }

    /// Hands an input to the ledger, tells the callers, and returns the messages to be sent.
    fn feed(&self, state: &mut State, input: Input) -> Vec<Envelope> {
        let from = state.ledger.member().id;
        let mut messages = Vec::new();
        for output in state.ledger.handle(self.now(), input) {
            match output {
                Output::Dispatch { key, run, caller } => {
                    let sent = state.tell(caller, Verdict::Run(run));
                    if !sent {
                        // Nobody is left to send the request, so it does not run.
                        let outcome = Outcome::Shed;
                        let more = self.feed(state, Input::Outcome { key, run, outcome });
                        messages.extend(more);
                    }
                }
                Output::Answer { caller, answer } => {
                    state.tell(caller, Verdict::Answer(answer));
                    state.waiting.remove(&caller);
                }
                Output::Refuse { caller, refusal } => {
                    state.tell(caller, Verdict::Refuse(refusal));
                    state.waiting.remove(&caller);
                }
                Output::Send { to, msg } => messages.push(Envelope { from, to, msg }),
                // Backend servers have no way to be asked for the outcome of a request.
                Output::QueryOutcome { .. } => {}
            }
        }
        messages
    }
}

impl State {
    fn tell(&self, caller: CallerId, verdict: Verdict) -> bool {
        let tx = self.waiting.get(&caller);
        tx.is_some_and(|tx| tx.send(verdict).is_ok())
    }
}

/// One caller that waits for verdicts; dropping it reports that the caller is gone.
#[derive(Debug)]
pub struct Waiter {
    driver: Arc<OnceDriver>,
    caller: CallerId,
    key: IdempotencyKey,
    rx: mpsc::UnboundedReceiver<Verdict>,
}

impl Waiter {
    /// The next verdict.
    pub async fn next(&mut self) -> Verdict {
        let internal = Verdict::Refuse(Refusal::new(ErrorKind::Internal));
        self.rx.recv().await.unwrap_or(internal)
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        let mut state = lock(&self.driver.state);
        if state.waiting.remove(&self.caller).is_none() {
            return;
        }
        let gone = Input::CallerDisconnected {
            caller: self.caller,
            key: self.key,
        };
        let mut messages = self.driver.feed(&mut state, gone);
        // A permission to run that nobody used is given back.
        while let Ok(verdict) = self.rx.try_recv() {
            if let Verdict::Run(run) = verdict {
                let key = self.key;
                let outcome = Outcome::Shed;
                let unused = Input::Outcome { key, run, outcome };
                messages.extend(self.driver.feed(&mut state, unused));
            }
        }
        drop(state);
        self.driver.send(messages);
    }
}
