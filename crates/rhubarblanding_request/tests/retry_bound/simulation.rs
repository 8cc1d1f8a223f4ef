//! Simulation of call trees over several nodes. Dispatches are counted where they leave a node,
//! independently of the ledgers under test.

use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use rhubarblanding_core::prelude::{
    ErrorKind, HostId, Idempotency, Importance, MonoTime, Refusal, RootId,
};
use rhubarblanding_request::prelude::*;

use crate::model::{Fault, Step, TokenUse};

const NODES: usize = 8;
pub const DEPTH_MAX: usize = 7;
pub const FAN_OUT_MAX: usize = 5;
/// Call to a service that is declared to make no calls of its own.
const LEAF_CALL: u8 = 4;

/// Greatest values reached in runs without a fault.
pub static REACHED: Reached = Reached::new();

struct Req {
    node: usize,
    key: RequestKey,
    token: Option<Token>,
    root: usize,
    path: Vec<u8>,
}

struct Call {
    req: usize,
    digest: u8,
    callee: usize,
    attempt: Attempt<Sent>,
}

#[derive(Clone, Copy)]
struct Message {
    call: usize,
    returned: u8,
    refused: bool,
}

#[derive(Default)]
struct RootCount {
    allowance: u8,
    dispatches: usize,
    distinct: HashSet<(usize, u8)>,
    paths: HashMap<Vec<u8>, usize>,
}

pub struct Simulation {
    fault: u8,
    rng: SmallRng,
    now: MonoTime,
    nodes: Vec<AllowanceLedger>,
    reqs: Vec<Req>,
    calls: Vec<Option<Call>>,
    messages: Vec<Message>,
    roots: Vec<RootCount>,
}

pub struct Reached([AtomicUsize; 3]);

impl Reached {
    const fn new() -> Self {
        Self([const { AtomicUsize::new(0) }; 3])
    }

    fn record(&self, depth: usize, fan_out: usize, used_up: usize) {
        for (most, value) in self.0.iter().zip([depth, fan_out, used_up]) {
            most.fetch_max(value, Ordering::Relaxed);
        }
    }

    pub fn depth(&self) -> usize {
        self.0[0].load(Ordering::Relaxed)
    }

    pub fn fan_out(&self) -> usize {
        self.0[1].load(Ordering::Relaxed)
    }

    /// Greatest allowance that was used up.
    pub fn used_up(&self) -> usize {
        self.0[2].load(Ordering::Relaxed)
    }
}

fn choose(index: u16, len: usize) -> Option<usize> {
    (len > 0).then(|| usize::from(index) % len)
}

/// Like [`choose`], but half of the time among the oldest few, so that their allowance is spent.
fn choose_caller(index: u16, len: usize) -> Option<usize> {
    const OLDEST: usize = 4;
    let old = index.is_multiple_of(2);
    choose(index / 2, if old { len.min(OLDEST) } else { len })
}

impl Simulation {
    pub fn new(fault: u8) -> Self {
        let settings = AllowanceSettings {
            deduct_lent: fault != Fault::LENT_NOT_DEDUCTED,
            charge_repeats: fault != Fault::REPEATS_NOT_CHARGED,
            ..AllowanceSettings::default()
        };
        let nodes = (0..NODES).map(|_| AllowanceLedger::new(settings.clone()));
        Self {
            fault,
            rng: SmallRng::seed_from_u64(1),
            now: MonoTime::ZERO,
            nodes: nodes.collect(),
            reqs: Vec::new(),
            calls: Vec::new(),
            messages: Vec::new(),
            roots: Vec::new(),
        }
    }

    pub fn apply(&mut self, step: Step) {
        self.now = self.now + Duration::from_millis(1);
        match step {
            Step::OpenRoot { allowance } => {
                self.open_root(0, allowance);
            }
            Step::Call { req, call, token } => self.call(req, call, token),
            Step::Answer { sent } => self.answer(sent, false),
            Step::RefuseNotRun { sent } => self.answer(sent, true),
            Step::BreakConnection { sent, silent } => {
                if let Some(call) = self.choose_call(sent) {
                    self.lose(call, silent);
                }
            }
            Step::Deliver { answer } => {
                if let Some(index) = choose(answer, self.messages.len()) {
                    let message = self.messages.swap_remove(index);
                    self.deliver(message);
                }
            }
            Step::Duplicate { answer } => {
                if let Some(index) = choose(answer, self.messages.len()) {
                    self.deliver(self.messages[index]);
                }
            }
            Step::LoseAnswer { answer } => {
                if let Some(index) = choose(answer, self.messages.len()) {
                    let message = self.messages.swap_remove(index);
                    self.lose(message.call, false);
                }
            }
            Step::Close { req } => {
                if let Some(req) = choose(req, self.reqs.len()) {
                    let (node, key) = (self.reqs[req].node, self.reqs[req].key);
                    self.nodes[node].close(self.now, key);
                }
            }
            Step::Wait { secs } => self.now = self.now + Duration::from_secs(secs.into()),
        }
    }

    fn open_root(&mut self, node: usize, allowance: u8) -> usize {
        self.roots.push(RootCount {
            allowance,
            ..RootCount::default()
        });
        self.open(node, self.roots.len() - 1, Vec::new(), allowance)
    }

    fn open(&mut self, node: usize, root: usize, path: Vec<u8>, allowance: u8) -> usize {
        let deadline = self.now + Duration::from_secs(3_600);
        let cx = RequestContext::new(
            RootId(root as u64),
            Importance::Normal,
            deadline,
            Idempotency::Idempotent,
        );
        let key = self.nodes[node].open(&mut self.rng, cx, allowance);
        let token = self.nodes[node].token(key);
        self.reqs.push(Req {
            node,
            key,
            token,
            root,
            path,
        });
        self.reqs.len() - 1
    }

    /// A backend server makes or repeats a downstream call.
    fn call(&mut self, req: u16, digest: u8, token: TokenUse) {
        let Some(caller) = choose_caller(req, self.reqs.len()) else {
            return;
        };
        let node = self.reqs[caller].node;
        let token = match token {
            TokenUse::Own => self.reqs[caller].token,
            TokenUse::Missing => None,
            TokenUse::Forged => Some(Token::random(&mut self.rng)),
        };
        let found = token.and_then(|token| self.nodes[node].find(token));
        let req = match found {
            Some(_) => caller,
            None => self.open_root(node, 0),
        };
        if self.reqs[req].path.len() >= DEPTH_MAX {
            return;
        }
        let key = self.reqs[req].key;
        if self.nodes[node].begin_call(key, CallDigest(digest.into())) != CallStart::Refused {
            self.dispatch(req, digest, 1);
        }
    }

    fn dispatch(&mut self, req: usize, digest: u8, number: u8) {
        let (node, key, root) = (self.reqs[req].node, self.reqs[req].key, self.reqs[req].root);
        let mut path = self.reqs[req].path.clone();
        path.push(digest);
        let lent = if digest == LEAF_CALL {
            self.nodes[node].lend_share(key, LendShare::Nothing)
        } else {
            self.nodes[node].lend(key)
        };
        let host = HostId(([10, 0, 0, digest], 1).into());
        let attempt = Attempt::new(number, host, lent).send(self.now);
        let count = &mut self.roots[root];
        let copies = 1 + usize::from(self.fault == Fault::DUPLICATE_DISPATCHES) * 6;
        count.dispatches += 1;
        count.distinct.insert((req, digest));
        if self.fault == Fault::NONE {
            let fan_out = count.distinct.iter().filter(|(by, _)| *by == req).count();
            let retries = count.dispatches - count.distinct.len();
            let used_up = retries == usize::from(count.allowance);
            REACHED.record(path.len(), fan_out, if used_up { retries } else { 0 });
        }
        *count.paths.entry(path.clone()).or_default() += copies;
        let next_node = (node + 1 + usize::from(digest)) % NODES;
        let callee = self.open(next_node, root, path, attempt.lent());
        self.calls.push(Some(Call {
            req,
            digest,
            callee,
            attempt,
        }));
    }

    fn choose_call(&self, index: u16) -> Option<usize> {
        let start = choose(index, self.calls.len())?;
        (0..self.calls.len())
            .map(|step| (start + step) % self.calls.len())
            .find(|call| self.calls[*call].is_some())
    }

    /// The callee answers, or its node refuses.
    fn answer(&mut self, sent: u16, refused: bool) {
        let Some(call) = self.choose_call(sent) else {
            return;
        };
        let Some(sent) = &self.calls[call] else {
            return;
        };
        let (node, key) = (self.reqs[sent.callee].node, self.reqs[sent.callee].key);
        let left = self.nodes[node].close(self.now, key);
        let inflate = self.fault == Fault::SPENT_IS_RETURNED;
        self.messages.push(Message {
            call,
            returned: if inflate { u8::MAX } else { left },
            refused,
        });
    }

    /// An answer arrives. It is ignored if its attempt is over.
    fn deliver(&mut self, message: Message) {
        let Some(call) = self.calls[message.call].take() else {
            return;
        };
        let node = self.reqs[call.req].node;
        let number = call.attempt.number();
        let answered = call.attempt.answered(self.now, message.returned);
        answered.settle(&mut self.nodes[node]);
        if message.refused {
            let kind = ErrorKind::TargetDraining;
            self.retry(call.req, call.digest, number, kind, false);
        }
    }

    fn lose(&mut self, call: usize, silent: bool) {
        let Some(call) = self.calls[call].take() else {
            return;
        };
        let node = self.reqs[call.req].node;
        let number = call.attempt.number();
        call.attempt.lost(self.now).settle(&mut self.nodes[node]);
        let kind = ErrorKind::ConnectionLost;
        self.retry(call.req, call.digest, number, kind, silent);
    }

    fn retry(&mut self, req: usize, digest: u8, number: u8, kind: ErrorKind, silent: bool) {
        let (node, key) = (self.reqs[req].node, self.reqs[req].key);
        let step = next_step(&FailedAttempt {
            idempotency: Idempotency::Idempotent,
            refusal: Refusal::new(kind),
            run_state: kind.answer().run_state,
            silent,
            allowance: self.nodes[node].left(key),
            budget: BudgetState::Available,
            remaining: Duration::from_secs(1),
            min_attempt_time: Duration::ZERO,
        });
        let NextStep::Retry(reason) = step else {
            return;
        };
        let unspent = self.fault == Fault::RETRY_NOT_SPENT;
        if unspent || self.nodes[node].spend(key, reason).is_ok() {
            self.dispatch(req, digest, number.saturating_add(1));
        }
    }

    /// Test oracle: checks the bounds of every root request.
    pub fn check(&self) {
        for (index, root) in self.roots.iter().enumerate() {
            let retries = root.dispatches - root.distinct.len();
            let allowance = usize::from(root.allowance);
            assert!(
                retries <= allowance,
                "retries of root {index}: {retries} with allowance {allowance}"
            );
            let most = root.paths.values().max().copied().unwrap_or(0);
            assert!(
                most <= 1 + allowance,
                "dispatches of one call path of root {index}: {most} with allowance {allowance}"
            );
        }
    }
}
