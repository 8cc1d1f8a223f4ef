//! Running requests of a node: their allowance and the time that they spend in downstream calls.

use std::sync::Arc;
use std::time::Duration;

use parking::{Mutex, lock};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rhubarblanding_admission::prelude::KindId;
use rhubarblanding_core::prelude::*;
use rhubarblanding_request::prelude::*;

use crate::process::parking;
use crate::version::ServiceState;

/// Number of shards, each under its own lock.
const SHARDS: usize = 8;
/// Hexadecimal digits that name the shard in front of a token.
const SHARD_DIGITS: usize = 2;

/// Greatest number of callees that are remembered for one kind.
const CALLEES_MAX: usize = 64;

/// Names one running request of this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestRef {
    shard: u8,
    key: RequestKey,
}

/// Time during which at least one downstream call of a request is running.
#[derive(Clone, Copy, Debug)]
struct DownstreamTime {
    kind: KindId,
    running: u32,
    since: MonoTime,
    total: Duration,
}

#[derive(Debug)]
struct Shard {
    ledger: AllowanceLedger,
    downstream: HashMap<RequestKey, DownstreamTime>,
    rng: SmallRng,
}

/// A kind of request of another service that a kind of this node's requests calls.
#[derive(Clone, Debug)]
struct Callee {
    service: Arc<ServiceState>,
    kind: KindId,
}

/// All running requests, spread over shards.
#[derive(Debug)]
pub struct Registry {
    shards: Vec<Mutex<Shard>>,
    /// What each kind of request calls.
    callees: Mutex<HashMap<KindId, Vec<Callee>>>,
}

impl Default for Registry {
    fn default() -> Self {
        let shard = || Shard {
            ledger: AllowanceLedger::new(AllowanceSettings::default()),
            downstream: HashMap::default(),
            rng: SmallRng::from_os_rng(),
        };
        Self {
            shards: (0..SHARDS).map(|_| Mutex::new(shard())).collect(),
            callees: Mutex::default(),
        }
    }
}

impl Registry {
    /// Opens a request of `kind` that may cause `allowance` retries.
    pub fn open(&self, cx: RequestContext, kind: KindId, allowance: u8) -> RequestRef {
        let shard = (cx.root.0 % SHARDS as u64) as u8;
        let mut guard = lock(&self.shards[usize::from(shard)]);
        let Shard {
            ledger,
            downstream,
            rng,
        } = &mut *guard;
        let key = ledger.open(rng, cx, allowance);
        let time = DownstreamTime {
            kind,
            running: 0,
            since: MonoTime::ZERO,
            total: Duration::ZERO,
        };
        downstream.insert(key, time);
        RequestRef { shard, key }
    }

    /// Closes a request and returns the retries that are left.
    pub fn close(&self, now: MonoTime, req: RequestRef) -> u8 {
        let mut shard = self.shard(req);
        shard.downstream.remove(&req.key);
        shard.ledger.close(now, req.key)
    }

    /// Text that names the request towards its backend server.
    pub fn token(&self, req: RequestRef) -> Option<String> {
        let token = self.shard(req).ledger.token(req.key)?;
        Some(format!("{:02x}{token}", req.shard))
    }

    /// The open request that a backend server's token names.
    pub fn find(&self, text: &str) -> Option<(RequestRef, RequestContext)> {
        let (shard, token) = text.split_at_checked(SHARD_DIGITS)?;
        let shard = u8::from_str_radix(shard, 16).ok()?;
        let token = Token::try_from(token).ok()?;
        let guard = lock(self.shards.get(usize::from(shard))?);
        let key = guard.ledger.find(token)?;
        let cx = *guard.ledger.context(key)?;
        Some((RequestRef { shard, key }, cx))
    }

    /// Records that the backend server starts a downstream call.
    pub fn begin_call(&self, req: RequestRef, call: CallDigest) -> CallStart {
        self.shard(req).ledger.begin_call(req.key, call)
    }

    /// Lends part of the allowance to an attempt, nothing if its target can make no use of it.
    pub fn lend(&self, req: RequestRef, makes_calls: bool) -> Lent {
        let ledger = &mut self.shard(req).ledger;
        match makes_calls {
            true => ledger.lend(req.key),
            false => ledger.lend_share(req.key, LendShare::Nothing),
        }
    }

    /// Takes one retry from the allowance.
    ///
    /// # Errors
    ///
    /// [`Exhausted`] if none is left.
    pub fn spend(&self, req: RequestRef, reason: RetryReason) -> Result<(), Exhausted> {
        self.shard(req).ledger.spend(req.key, reason)
    }

    /// Retries that are left to the request.
    pub fn left(&self, req: RequestRef) -> u8 {
        self.shard(req).ledger.left(req.key)
    }

    /// Settles an answered attempt.
    pub fn settle_answered(&self, req: RequestRef, attempt: Attempt<Answered>) {
        attempt.settle(&mut self.shard(req).ledger);
    }

    /// Settles an attempt that was to be sent, but of which nothing left this node.
    pub fn settle_not_sent(&self, req: RequestRef, attempt: Attempt<Sent>) {
        attempt.not_sent(&mut self.shard(req).ledger);
    }

    /// Settles an attempt of which nothing was sent.
    pub fn abandon(&self, req: RequestRef, attempt: Attempt<Planned>) {
        attempt.abandon(&mut self.shard(req).ledger);
    }

    /// Records that a downstream call of the request begins to run.
    pub fn downstream_started(&self, now: MonoTime, req: RequestRef) {
        let mut shard = self.shard(req);
        let Some(time) = shard.downstream.get_mut(&req.key) else {
            return;
        };
        if time.running == 0 {
            time.since = now;
        }
        time.running += 1;
    }

    /// Records that a downstream call of the request has its answer or was dropped.
    pub fn downstream_ended(&self, now: MonoTime, req: RequestRef) {
        let mut shard = self.shard(req);
        let Some(time) = shard.downstream.get_mut(&req.key) else {
            return;
        };
        time.running = time.running.saturating_sub(1);
        if time.running == 0 {
            time.total += now.since(time.since);
        }
    }

    /// Time that the request spent in downstream calls so far.
    pub fn downstream_time(&self, now: MonoTime, req: RequestRef) -> Duration {
        let shard = self.shard(req);
        let Some(time) = shard.downstream.get(&req.key) else {
            return Duration::ZERO;
        };
        match time.running {
            0 => time.total,
            _ => time.total + now.since(time.since),
        }
    }

    /// Records that a request calls a kind of another service.
    pub fn note_call(&self, req: RequestRef, service: &Arc<ServiceState>, kind: KindId) {
        let own = self
            .shard(req)
            .downstream
            .get(&req.key)
            .map(|time| time.kind);
        let Some(own) = own else {
            return;
        };
        let mut callees = lock(&self.callees);
        let known = callees.entry(own).or_default();
        let same = |callee: &Callee| callee.kind == kind && Arc::ptr_eq(&callee.service, service);
        if known.len() < CALLEES_MAX && !known.iter().any(same) {
            let service = Arc::clone(service);
            known.push(Callee { service, kind });
        }
    }

    /// Lowest priority that every service called by requests of `kind` admits.
    pub fn downstream_level(&self, now: MonoTime, kind: KindId) -> AdmissionLevel {
        let callees = lock(&self.callees);
        let levels = callees.get(&kind).into_iter().flatten();
        levels
            .map(|callee| callee.service.entry_level(now, callee.kind))
            .max()
            .unwrap_or(AdmissionLevel::OPEN)
    }

    /// Whether requests of `kind` were seen to call another service.
    pub fn makes_calls(&self, kind: KindId) -> bool {
        lock(&self.callees).contains_key(&kind)
    }

    /// Forgets what the kinds call, because the kinds have changed.
    pub fn forget_calls(&self) {
        lock(&self.callees).clear();
    }

    /// Decides whether a request of `kind` may run, given the services that it will call.
    ///
    /// # Errors
    ///
    /// The refusal of the first service that does not admit it.
    pub fn check_downstream(
        &self,
        now: MonoTime,
        kind: KindId,
        priority: Priority,
    ) -> Result<(), Refusal> {
        let callees = lock(&self.callees);
        let mut called = callees.get(&kind).into_iter().flatten();
        called.try_for_each(|callee| callee.service.check_entry(now, callee.kind, priority))
    }

    fn shard(&self, req: RequestRef) -> std::sync::MutexGuard<'_, Shard> {
        lock(&self.shards[usize::from(req.shard)])
    }
}
