//! State that all parts of a process share.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rhubarblanding_admission::slots::SlotSettings;
use rhubarblanding_core::prelude::*;
use rhubarblanding_membership::prelude::{Input, Membership, MembershipSettings, Output, ViewMode};
use rhubarblanding_node::process::Clock;
use rhubarblanding_node::process::parking::{Mutex, lock};
use rhubarblanding_request::budget::{BudgetSettings, BudgetState, RetryBudget};
use rhubarblanding_routing::prelude::{DrainingUse, RouterSettings};
use rhubarblanding_store::StoreClient;
use tokio::sync::{mpsc, watch};

use super::local::LocalTarget;
use super::metrics::Metrics;
use super::targets::Targets;
use crate::connection::{BackendPool, PeerPool};
use crate::dialect::Dialect;
use crate::settings::MeshSettings;
use crate::version::Version;

/// Share of the bound of retries in proportion to requests that a node uses. The rest covers
/// requests that were counted and did not arrive, and debts that the budget does not hold.
const RETRY_RATIO_SHARE: f64 = 0.75;
/// Share of the retries allowed besides that the nodes use together.
const RETRY_SLACK_SHARE: f64 = 0.5;
/// Nodes that are taken to share the bound while fewer are known.
const RETRY_NODES_MIN: usize = 8;
/// Time whose first attempts may be sent again at once.
const RETRY_BURST_TIME: Duration = Duration::from_millis(100);
/// Share of the retries that one that must be followed by a further call leaves to those that gain
/// more, in percent for each such call.
const RETRY_RESERVE_PERCENT: u32 = 25;
/// Greatest share of the retries that is left to those that gain more, in percent.
const RETRY_RESERVE_MAX_PERCENT: u32 = 75;

/// Nodes that a node introduces itself to when it is told their addresses: all, in fleets of a
/// few hundred hosts, so that a fleet that starts at once is whole within one exchange.
const JOIN_FANOUT: usize = 256;
/// Changes a second that a node passes on: releases and outages of a small fleet change many
/// targets at once.
const SPREAD_RATE: f64 = 50.0;
/// Changes that a node passes on at once.
const SPREAD_BURST: f64 = 400.0;

struct Member {
    membership: Membership,
    rng: SmallRng,
}

/// State that all parts of a process share.
pub struct Shared {
    /// Clocks.
    pub clock: Clock,
    /// Translation to the platform.
    pub dialect: Arc<dyn Dialect>,
    /// Targets of all services.
    pub targets: Targets,
    /// The target on this host.
    pub local: LocalTarget,
    /// Connections to the local target.
    pub backend: BackendPool,
    /// Links to other nodes.
    pub peers: PeerPool,
    /// Client of the key-value service.
    pub store: StoreClient,
    /// Counters and histograms.
    pub metrics: Metrics,
    settings: Mutex<Arc<MeshSettings>>,
    version: Mutex<Option<Arc<Version>>>,
    version_changed: watch::Sender<DocVersion>,
    member: Mutex<Member>,
    outputs: mpsc::UnboundedSender<Output>,
    budgets: Mutex<HashMap<ServiceName, RetryBudget>>,
    stopping: AtomicBool,
    refusing_peers: AtomicBool,
    refusing_clients: AtomicBool,
    pending_records: AtomicUsize,
    open_requests: AtomicUsize,
    /// Time at which a request began or ended last, in microseconds.
    request_at: AtomicU64,
    host_id: HostId,
}

impl Shared {
    /// Creates the state of a process. What the membership decides comes out of the receiver.
    pub fn new(
        settings: MeshSettings,
        dialect: Arc<dyn Dialect>,
    ) -> (Self, mpsc::UnboundedReceiver<Output>) {
        let clock = Clock::start();
        let host_id = HostId(settings.listen.advertised);
        let seed = rand::rng().random();
        let incarnation = Incarnation(clock.wall().0);
        let info = TargetInfo {
            host: host_id,
            incarnation,
            service: settings.service.clone(),
            zone: settings.zone.clone(),
            slots: 0,
            state: TargetState::Starting,
        };
        let member = Member {
            membership: Membership::new(info, membership_settings(&settings)),
            rng: SmallRng::seed_from_u64(seed),
        };
        let (outputs, rx) = mpsc::unbounded_channel();
        let zone = settings.zone.clone();
        let shared = Self {
            targets: Targets::new(clock, zone, router_settings(), seed),
            local: LocalTarget::new(SlotSettings::default()),
            backend: BackendPool::new(clock),
            peers: PeerPool::new(clock),
            store: StoreClient::with_codec(settings.store, dialect.store_codec()),
            metrics: Metrics::default(),
            settings: Mutex::new(Arc::new(settings)),
            version: Mutex::default(),
            version_changed: watch::Sender::new(DocVersion::default()),
            member: Mutex::new(member),
            outputs,
            budgets: Mutex::default(),
            stopping: AtomicBool::new(false),
            refusing_peers: AtomicBool::new(false),
            refusing_clients: AtomicBool::new(false),
            pending_records: AtomicUsize::new(0),
            open_requests: AtomicUsize::new(0),
            request_at: AtomicU64::new(0),
            host_id,
            clock,
            dialect,
        };
        (shared, rx)
    }

    /// This node as others name it.
    pub fn host_id(&self) -> HostId {
        self.host_id
    }

    /// Settings in force.
    pub fn settings(&self) -> Arc<MeshSettings> {
        Arc::clone(&lock(&self.settings))
    }

    /// Puts changed settings in force. Addresses to listen on are those of the start.
    pub fn set_settings(&self, settings: MeshSettings) {
        *lock(&self.settings) = Arc::new(settings);
    }

    /// Version of the configuration in force.
    pub fn version(&self) -> Option<Arc<Version>> {
        lock(&self.version).clone()
    }

    /// Puts a version in force if it is newer; returns whether it was.
    pub fn adopt(&self, version: Version) -> bool {
        let number = version.number();
        let mut current = lock(&self.version);
        if current
            .as_ref()
            .is_some_and(|known| known.number() >= number)
        {
            return false;
        }
        *current = Some(Arc::new(version));
        drop(current);
        self.version_changed.send_replace(number);
        true
    }

    /// Tells of each version that comes into force.
    pub fn watch_version(&self) -> watch::Receiver<DocVersion> {
        self.version_changed.subscribe()
    }

    /// Whether the process is about to end.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Notes that the process is about to end.
    pub fn set_stopping(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Whether requests of other nodes are refused, as what runs needs the time that is left.
    pub fn is_refusing_peers(&self) -> bool {
        self.refusing_peers.load(Ordering::Relaxed)
    }

    /// Refuses requests of other nodes from now on.
    pub fn refuse_peers(&self) {
        self.refusing_peers.store(true, Ordering::Relaxed);
    }

    /// Whether new requests of clients are refused. Calls of requests that still run are not.
    pub fn is_refusing_clients(&self) -> bool {
        self.refusing_clients.load(Ordering::Relaxed)
    }

    /// Refuses new requests of clients from now on.
    pub fn refuse_clients(&self) {
        self.refusing_clients.store(true, Ordering::Relaxed);
    }

    /// Counts a request as open until the guard is dropped.
    pub fn open_request(self: &Arc<Self>) -> OpenRequest {
        self.open_requests.fetch_add(1, Ordering::Relaxed);
        self.note_request();
        OpenRequest(Arc::clone(self))
    }

    /// Counts a record that is still to be stored until the guard is dropped.
    pub fn pending_record(self: &Arc<Self>) -> PendingRecord {
        self.pending_records.fetch_add(1, Ordering::Relaxed);
        PendingRecord(Arc::clone(self))
    }

    /// Whether a record is still to be stored.
    pub fn has_pending_records(&self) -> bool {
        self.pending_records.load(Ordering::Relaxed) > 0
    }

    fn note_request(&self) {
        let now = self.clock.now().as_micros();
        self.request_at.store(now, Ordering::Relaxed);
    }

    /// Time since a request began or ended.
    pub fn idle_time(&self) -> Duration {
        let at = MonoTime::from_micros(self.request_at.load(Ordering::Relaxed));
        self.clock.now().since(at)
    }

    /// Number of open requests.
    pub fn open_requests(&self) -> usize {
        self.open_requests.load(Ordering::Relaxed)
    }

    /// Hands an input to the membership; what it decides goes to the receiver of [`Self::new`].
    pub fn member_input(&self, input: Input) {
        let now = self.clock.now();
        let outputs = {
            let Member { membership, rng } = &mut *lock(&self.member);
            membership.handle(now, rng, input)
        };
        for output in outputs {
            // The receiver lives as long as the process.
            let _ = self.outputs.send(output);
        }
    }

    /// Reads from the membership.
    pub fn with_member<T>(&self, read: impl FnOnce(&Membership) -> T) -> T {
        read(&lock(&self.member).membership)
    }

    /// Tells other nodes of the state of the local target.
    pub fn announce(&self) {
        let (mut state, slots) = self.local.announcement();
        if self.is_stopping() && state == TargetState::Serving {
            state = TargetState::Draining;
        }
        self.member_input(Input::Announce { state, slots });
    }

    /// Counts a request to `service` towards its retries.
    pub fn count_first_attempt(&self, service: &ServiceName) {
        self.with_budget(service, |budget, now| budget.first_attempt(now));
    }

    /// Charges a request to `service` that repeats another to its retries.
    pub fn charge_repeat(&self, service: &ServiceName) {
        self.with_budget(service, |budget, now| budget.charge(now));
    }

    /// Whether a request to `service` may be sent to a second target. The fewer calls must still
    /// succeed after it, the more a retry is likely to gain.
    pub fn take_retry(&self, service: &ServiceName, calls_left: u32) -> bool {
        let reserve = calls_left.saturating_mul(RETRY_RESERVE_PERCENT);
        let reserve = reserve.min(RETRY_RESERVE_MAX_PERCENT);
        let taken = self.with_budget(service, |budget, now| {
            budget.take_with_reserve(now, reserve)
        });
        if taken == BudgetState::Available {
            self.metrics.retried();
        }
        taken == BudgetState::Available
    }

    fn with_budget<T>(
        &self,
        service: &ServiceName,
        act: impl FnOnce(&mut RetryBudget, MonoTime) -> T,
    ) -> T {
        let now = self.clock.now();
        let mut budgets = lock(&self.budgets);
        if let Some(budget) = budgets.get_mut(service) {
            return act(budget, now);
        }
        let bound = self.settings().retry_bound;
        let nodes = self.with_member(Membership::view_len).max(RETRY_NODES_MIN);
        let burst = bound.slack * RETRY_SLACK_SHARE / nodes as f64;
        let settings = BudgetSettings {
            retries_per_hundred: (bound.ratio * RETRY_RATIO_SHARE * 100.0) as u32,
            floor_per_second: 0,
            burst: (burst as u32).max(1),
            burst_time: RETRY_BURST_TIME,
            overload_hold: Duration::ZERO,
        };
        let budget = budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(now, settings));
        act(budget, now)
    }
}

/// Counts a record as still to be stored until it is dropped.
pub struct PendingRecord(Arc<Shared>);

impl Drop for PendingRecord {
    fn drop(&mut self) {
        self.0.pending_records.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Counts a request as open until it is dropped.
pub struct OpenRequest(Arc<Shared>);

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.open_requests.fetch_sub(1, Ordering::Relaxed);
        self.0.note_request();
    }
}

/// A draining target is one whose node stops; it takes requests for as long as its node runs.
fn router_settings() -> RouterSettings {
    RouterSettings {
        draining: DrainingUse::Spill,
        ..RouterSettings::default()
    }
}

fn membership_settings(settings: &MeshSettings) -> MembershipSettings {
    MembershipSettings {
        seeds: settings.seeds.clone(),
        view: ViewMode::Full,
        join_fanout: JOIN_FANOUT,
        spread_rate: SPREAD_RATE,
        spread_burst: SPREAD_BURST,
        probe_interval: Duration::from_millis(500),
        probe_timeout: Duration::from_millis(300),
        suspicion_timeout: Duration::from_secs(2),
        ..MembershipSettings::default()
    }
}
