//! Per-service state of a node: targets, entry admission, retry budget and home table.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use rand::SeedableRng;
use rand::rngs::SmallRng;
use rhubarblanding_admission::prelude::*;
use rhubarblanding_core::collections::stable_hash;
use rhubarblanding_core::prelude::*;
use rhubarblanding_once::prelude::HomeTable;
use rhubarblanding_request::prelude::*;
use rhubarblanding_routing::prelude::*;
use tokio::sync::Notify;

use crate::process::parking::{Mutex, lock};

/// Number of shards of the map from service to state.
const SHARDS: usize = 16;

/// Routing, admission and budget of one service, guarded together.
#[derive(Debug)]
struct Inner {
    router: Router,
    /// Levels by kind, since kinds differ in the services that they call further down.
    entries: HashMap<KindId, EntryGate>,
    budget: RetryBudget,
    /// Kinds that are known to make no downstream calls.
    leaves: HashSet<KindId>,
    rng: SmallRng,
    looked_up: Option<MonoTime>,
}

/// What a node knows of one service that it sends requests to.
#[derive(Debug)]
pub struct ServiceState {
    name: ServiceName,
    inner: Mutex<Inner>,
    table: Mutex<Option<Arc<HomeTable>>>,
    changed: Notify,
    refreshing: AtomicBool,
}

impl ServiceState {
    fn new(now: MonoTime, name: ServiceName) -> Self {
        let inner = Inner {
            router: Router::new(RouterSettings::default()),
            entries: HashMap::default(),
            budget: RetryBudget::new(now, BudgetSettings::default()),
            leaves: HashSet::default(),
            rng: SmallRng::from_os_rng(),
            looked_up: None,
        };
        Self {
            name,
            inner: Mutex::new(inner),
            table: Mutex::new(None),
            changed: Notify::new(),
            refreshing: AtomicBool::new(false),
        }
    }

    /// Name of the service.
    pub fn name(&self) -> &ServiceName {
        &self.name
    }

    /// Takes over a target that appeared or changed.
    pub fn upsert(&self, now: MonoTime, info: TargetInfo) {
        lock(&self.inner).router.upsert(now, info);
        self.changed.notify_waiters();
    }

    /// Begins to fetch the home table; false if that is under way.
    pub fn begin_refresh(&self) -> bool {
        !self.refreshing.swap(true, Ordering::AcqRel)
    }

    /// The home table was fetched, or could not be.
    pub fn end_refresh(&self) {
        self.refreshing.store(false, Ordering::Release);
    }

    /// Drops a target whose life on `host` has ended.
    pub fn remove(&self, host: HostId) {
        let mut inner = lock(&self.inner);
        inner.router.remove(host);
        for entry in inner.entries.values_mut() {
            entry.remove(host);
        }
    }

    /// Completes when a target appears or changes, if it does so after this call.
    pub fn changed(&self) -> impl Future<Output = ()> {
        self.changed.notified()
    }

    /// Chooses a target that is not among `tried`.
    pub fn pick(&self, now: MonoTime, zone: &ZoneName, tried: &[HostId]) -> Option<TargetId> {
        let Inner { router, rng, .. } = &mut *lock(&self.inner);
        let req = PickRequest {
            zone: Some(zone),
            kind: None,
            exclude: tried,
        };
        router.pick(now, rng, req)
    }

    /// Whether a lookup is due; at most one of several callers is told so within `interval`.
    pub fn lookup_due(&self, now: MonoTime, interval: std::time::Duration) -> bool {
        let mut inner = lock(&self.inner);
        let due = inner.looked_up.is_none_or(|at| now.since(at) >= interval);
        if due {
            inner.looked_up = Some(now);
        }
        due
    }

    /// Decides whether a request of `kind` may enter towards this service.
    ///
    /// # Errors
    ///
    /// The refusal of the entry gate.
    pub fn check_entry(
        &self,
        now: MonoTime,
        kind: KindId,
        priority: Priority,
    ) -> Result<(), Refusal> {
        let Inner { entries, rng, .. } = &mut *lock(&self.inner);
        match entries.get_mut(&kind) {
            Some(entry) => entry.check(now, rng, priority),
            None => Ok(()),
        }
    }

    /// Lowest priority that this service and those behind it admit for `kind`.
    pub fn entry_level(&self, now: MonoTime, kind: KindId) -> AdmissionLevel {
        let mut inner = lock(&self.inner);
        let entry = inner.entries.get_mut(&kind);
        entry.map_or(AdmissionLevel::OPEN, |entry| entry.level(now))
    }

    /// Records the start of an attempt at a target.
    pub fn started(&self, now: MonoTime, id: TargetId, first: bool) {
        let mut inner = lock(&self.inner);
        inner.router.started(now, id);
        if first {
            inner.budget.record_first_attempt(now);
        }
    }

    /// Records the end of an attempt at a target.
    pub fn finished(&self, now: MonoTime, id: TargetId, outcome: TargetOutcome) {
        lock(&self.inner).router.finished(now, id, outcome);
    }

    /// Records the load that a target's answer to a request of `kind` carried.
    pub fn observe(&self, now: MonoTime, id: TargetId, kind: KindId, report: LoadReport) {
        let mut inner = lock(&self.inner);
        inner.router.observe(now, id, report);
        let entry = inner
            .entries
            .entry(kind)
            .or_insert_with(|| EntryGate::new(EntrySettings::default()));
        entry.observe(now, id.host, report);
    }

    /// Records whether a target has seen requests of `kind` make downstream calls.
    pub fn note_calls(&self, kind: KindId, makes_calls: bool) {
        let mut inner = lock(&self.inner);
        match makes_calls {
            true => inner.leaves.remove(&kind),
            false => inner.leaves.insert(kind),
        };
    }

    /// Whether requests of `kind` may make downstream calls.
    pub fn makes_calls(&self, kind: KindId) -> bool {
        !lock(&self.inner).leaves.contains(&kind)
    }

    /// Records a failed attempt and returns what the retry budget says.
    pub fn failed(&self, now: MonoTime, kind: ErrorKind) -> BudgetState {
        let mut inner = lock(&self.inner);
        inner.budget.record_failure(now, kind);
        inner.budget.state(now)
    }

    /// Takes one retry from the budget.
    pub fn take_retry(&self, now: MonoTime) -> BudgetState {
        lock(&self.inner).budget.take(now)
    }

    /// The home table that is known.
    pub fn table(&self) -> Option<Arc<HomeTable>> {
        lock(&self.table).clone()
    }

    /// Takes over a newer home table; an older one is ignored.
    pub fn adopt_table(&self, table: HomeTable) -> bool {
        let mut current = lock(&self.table);
        let newer = current
            .as_ref()
            .is_none_or(|known| known.version() < table.version());
        if newer {
            *current = Some(Arc::new(table));
        }
        newer
    }
}

/// All services that a node sends requests to.
#[derive(Debug)]
pub struct Services {
    shards: Vec<Mutex<HashMap<ServiceName, Arc<ServiceState>>>>,
}

impl Default for Services {
    fn default() -> Self {
        let shards = (0..SHARDS).map(|_| Mutex::default()).collect();
        Self { shards }
    }
}

impl Services {
    /// State of `name`, created on first use.
    pub fn get(&self, now: MonoTime, name: &ServiceName) -> Arc<ServiceState> {
        let mut shard = lock(self.shard(name));
        if let Some(state) = shard.get(name) {
            return Arc::clone(state);
        }
        let state = Arc::new(ServiceState::new(now, name.clone()));
        shard.insert(name.clone(), Arc::clone(&state));
        state
    }

    /// State of `name`, if it was used.
    pub fn find(&self, name: &ServiceName) -> Option<Arc<ServiceState>> {
        lock(self.shard(name)).get(name).cloned()
    }

    fn shard(&self, name: &ServiceName) -> &Mutex<HashMap<ServiceName, Arc<ServiceState>>> {
        let hash = stable_hash(0, name.as_str().as_bytes());
        &self.shards[(hash % SHARDS as u64) as usize]
    }
}
