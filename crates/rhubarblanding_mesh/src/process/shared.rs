//! State shared by all components of a process.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rhubarblanding_admission::slots::{KindKey, LongestTimes, SlotSettings};
use rhubarblanding_core::prelude::*;
use rhubarblanding_membership::prelude::{Input, Membership, MembershipSettings, Output, ViewMode};
use rhubarblanding_node::process::Clock;
use rhubarblanding_node::process::parking::{Mutex, lock};
use rhubarblanding_node::request::body::EndGuard;
use rhubarblanding_request::window::WindowBudget;
use rhubarblanding_routing::prelude::{DrainingUse, RouterSettings};
use rhubarblanding_store::StoreClient;
use tokio::sync::{mpsc, watch};

use super::crash::CrashWatch;
use super::departures::Departures;
use super::freshness::FreshnessState;
use super::local::LocalTarget;
use super::metrics::Metrics;
use super::notice::{KnownNotices, SharedNotice};
use super::open_hops::OpenHops;
use super::quota::{QuotaAsk, Quotas};
use super::suspects::Suspects;
use super::targets::Targets;
use crate::connection::{BackendPool, BufferPool, Connections, PeerPool};
use crate::protocol::Protocol;
use crate::settings::MeshSettings;
use crate::version::Version;

/// Number of nodes that a node introduces itself to when it receives their addresses: all, in
/// fleets of a few hundred hosts, so that nodes that start together all connect within one exchange.
const JOIN_FANOUT: usize = 256;
/// Changes per second that a node forwards: releases and outages of a small fleet change many
/// targets at once.
const SPREAD_RATE: f64 = 50.0;
/// Changes that a node forwards in one burst.
const SPREAD_BURST: f64 = 400.0;

/// `Retry-After` of a stopping node; the client retries at another node.
pub(crate) const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(50);

struct Member {
    membership: Membership,
    rng: SmallRng,
}

/// State shared by all components of a process.
pub struct Shared {
    /// Clocks.
    pub clock: Clock,
    /// Protocol of the platform.
    pub protocol: Arc<dyn Protocol>,
    /// Targets of all services.
    pub targets: Targets,
    /// The target on this host.
    pub local: LocalTarget,
    /// Connections to the local target.
    pub backend: BackendPool,
    /// Departures of instances of this target and others.
    pub departures: Departures,
    /// Crashes of the local target.
    pub crashes: CrashWatch,
    /// Requests that crash targets.
    pub suspects: Suspects,
    /// How long ago the active configuration was known to be the newest.
    pub freshness: FreshnessState,
    /// Quotas of client accounts.
    pub quotas: Quotas,
    /// Memory for bodies of clients' requests.
    pub request_pool: BufferPool,
    /// Memory for answers that are held until they are complete.
    pub answer_pool: BufferPool,
    /// Memory for messages of other nodes and of the local target.
    pub message_pool: BufferPool,
    /// Connections to other nodes.
    pub peers: Arc<PeerPool>,
    /// Requests of this node that other nodes hold.
    pub hops: OpenHops,
    /// Connections of clients, other nodes and the platform.
    pub connections: Connections,
    /// Client of the key-value service.
    pub store: StoreClient,
    /// Counters and histograms.
    pub metrics: Metrics,
    settings: Mutex<Arc<MeshSettings>>,
    version: Mutex<Option<Arc<Version>>>,
    version_changed: watch::Sender<DocVersion>,
    member: Mutex<Member>,
    outputs: mpsc::UnboundedSender<Output>,
    pub(super) budgets: Mutex<HashMap<ServiceName, WindowBudget>>,
    notices: Mutex<KnownNotices>,
    /// Time by which requests are answered, once the process is stopping.
    answer_by: watch::Sender<Option<MonoTime>>,
    /// Time from sending a request of each kind to a target until it answered.
    answer_times: Mutex<LongestTimes>,
    refusing_peers: AtomicBool,
    refusing_clients: AtomicBool,
    pending_records: AtomicUsize,
    open_requests: AtomicUsize,
    /// Time at which a request last began or ended, in microseconds.
    last_request_at: AtomicU64,
    host_id: HostId,
}

impl Shared {
    /// Creates the state of a process. The receivers yield the outputs of the membership, and the
    /// asks for allotments.
    pub fn new(
        settings: MeshSettings,
        protocol: Arc<dyn Protocol>,
    ) -> (
        Self,
        mpsc::UnboundedReceiver<Output>,
        mpsc::UnboundedReceiver<QuotaAsk>,
    ) {
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
        let (quotas, asks) = Quotas::new(host_id);
        let zone = settings.zone.clone();
        let shared = Self {
            targets: Targets::new(clock, zone, router_settings(settings.places_by_speed), seed),
            local: LocalTarget::new(SlotSettings::default()),
            backend: BackendPool::new(clock),
            departures: Departures::default(),
            crashes: CrashWatch::default(),
            suspects: Suspects::default(),
            freshness: FreshnessState::default(),
            quotas,
            request_pool: BufferPool::for_requests(settings.memory_bytes),
            answer_pool: BufferPool::for_answers(settings.memory_bytes),
            message_pool: BufferPool::for_messages(settings.memory_bytes),
            peers: Arc::new(PeerPool::new(clock)),
            hops: OpenHops::default(),
            connections: Connections::default(),
            store: StoreClient::with_codec(settings.store, protocol.store_codec()),
            metrics: Metrics::default(),
            settings: Mutex::new(Arc::new(settings)),
            version: Mutex::default(),
            version_changed: watch::Sender::new(DocVersion::default()),
            member: Mutex::new(member),
            outputs,
            budgets: Mutex::default(),
            notices: Mutex::default(),
            answer_by: watch::Sender::new(None),
            answer_times: Mutex::default(),
            refusing_peers: AtomicBool::new(false),
            refusing_clients: AtomicBool::new(false),
            pending_records: AtomicUsize::new(0),
            open_requests: AtomicUsize::new(0),
            last_request_at: AtomicU64::new(0),
            host_id,
            clock,
            protocol,
        };
        (shared, rx, asks)
    }

    /// Returns the identifier under which other nodes address this node.
    pub fn host_id(&self) -> HostId {
        self.host_id
    }

    /// Returns the active settings.
    pub fn settings(&self) -> Arc<MeshSettings> {
        Arc::clone(&lock(&self.settings))
    }

    /// Activates changed settings. The listening addresses remain those of the start.
    pub fn set_settings(&self, settings: MeshSettings) {
        *lock(&self.settings) = Arc::new(settings);
    }

    /// Returns the active version of the configuration.
    pub fn version(&self) -> Option<Arc<Version>> {
        lock(&self.version).clone()
    }

    /// Activates a version if it is newer; returns `true` if it was.
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

    /// Returns the time since the active version was known to be the newest, `None` if it never was.
    pub fn configuration_age(&self) -> Option<Duration> {
        let known_at = self.freshness.known_at()?;
        Some(self.clock.now().since(known_at))
    }

    /// Returns a receiver that is notified of each newly active version.
    pub fn watch_version(&self) -> watch::Receiver<DocVersion> {
        self.version_changed.subscribe()
    }

    /// Returns `true` if the process is stopping.
    pub fn is_stopping(&self) -> bool {
        self.answer_by.borrow().is_some()
    }

    /// Marks the process as stopping: it answers the requests that it holds until `answer_by`.
    pub fn set_stopping(&self, answer_by: MonoTime) {
        self.answer_by.send_replace(Some(answer_by));
        self.local.limit_waiting(self.clock.now(), answer_by);
    }

    /// Returns the time by which a request with this deadline is answered.
    pub fn limit_deadline(&self, deadline: MonoTime) -> MonoTime {
        let limit = *self.answer_by.borrow();
        limit.map_or(deadline, |limit| limit.min(deadline))
    }

    /// Returns the refusal of a request with this deadline. What a stopping node has no time for
    /// may have time at another one.
    pub fn refusal_within(&self, deadline: MonoTime, refusal: Refusal) -> Refusal {
        let is_for_time = matches!(
            refusal.kind,
            ErrorKind::Overloaded | ErrorKind::QueueTimeout | ErrorKind::DeadlineBeforeRun
        );
        match is_for_time && self.limit_deadline(deadline) < deadline {
            true => Refusal::with_retry_after(ErrorKind::NodeDraining, STOPPING_RETRY_AFTER),
            false => refusal,
        }
    }

    /// Waits until the time by which a stopping node answers.
    pub async fn answer_time_over(&self) {
        let mut changed = self.answer_by.subscribe();
        // The sender exists as long as this node.
        let limit = changed.wait_for(Option::is_some).await;
        if let Some(limit) = limit.ok().and_then(|limit| *limit) {
            tokio::time::sleep_until(self.clock.instant(limit)).await;
        }
    }

    /// Waits until `grace` after the time by which a request with this deadline is answered.
    pub async fn expired(&self, deadline: MonoTime, grace: Duration) {
        let mut changed = self.answer_by.subscribe();
        loop {
            let at = self.limit_deadline(deadline) + grace;
            tokio::select! {
                () = tokio::time::sleep_until(self.clock.instant(at)) => return,
                // The sender exists as long as this node.
                _ = changed.changed() => {}
            }
        }
    }

    /// Returns `true` if requests of other nodes are refused because running requests need the
    /// remaining time.
    pub fn is_refusing_peers(&self) -> bool {
        self.refusing_peers.load(Ordering::Relaxed)
    }

    /// Starts to refuse requests of other nodes.
    pub fn refuse_peers(&self) {
        self.refusing_peers.store(true, Ordering::Relaxed);
    }

    /// Returns `true` if new requests of clients are refused. Calls made by requests that still run
    /// are accepted.
    pub fn is_refusing_clients(&self) -> bool {
        self.refusing_clients.load(Ordering::Relaxed)
    }

    /// Starts to refuse new requests of clients, and to take others only if they are expected to end in
    /// time.
    pub fn refuse_clients(&self) {
        self.refusing_clients.store(true, Ordering::Relaxed);
    }

    /// Records the time in which a target answered a request.
    pub fn record_answer_time(&self, kind: KindKey, took: Duration) {
        lock(&self.answer_times).record(kind, took);
    }

    /// Returns the refusal of a request of `kind` that this process may not live to answer, if it is
    /// sent to a target now.
    pub fn late_send(&self, kind: KindKey) -> Option<Refusal> {
        self.late(|| lock(&self.answer_times).get(kind))
    }

    /// Returns the refusal of a request of `kind` that this process may not live to answer, if the
    /// local target starts it now.
    pub fn late_start(&self, kind: KindKey) -> Option<Refusal> {
        self.late(|| self.local.longest_hold(kind))
    }

    /// What comes late in a stop is taken only if the longest known time of its kind is left.
    fn late(&self, longest: impl FnOnce() -> Option<Duration>) -> Option<Refusal> {
        if !self.is_refusing_clients() {
            return None;
        }
        let limit = (*self.answer_by.borrow())?;
        let left = self.clock.now().until(limit);
        let fits = longest().is_some_and(|longest| longest < left);
        let refusal = Refusal::with_retry_after(ErrorKind::NodeDraining, STOPPING_RETRY_AFTER);
        (!fits).then_some(refusal)
    }

    /// Counts a request as open until the guard is dropped.
    pub fn open_request(self: &Arc<Self>) -> OpenRequest {
        self.open_requests.fetch_add(1, Ordering::Relaxed);
        self.record_request_time();
        OpenRequest(Arc::clone(self))
    }

    /// Counts a departure record as not yet stored until the guard is dropped.
    pub fn pending_record(self: &Arc<Self>) -> PendingRecord {
        self.pending_records.fetch_add(1, Ordering::Relaxed);
        PendingRecord(Arc::clone(self))
    }

    /// Returns `true` if a departure record is not yet stored.
    pub fn has_pending_records(&self) -> bool {
        self.pending_records.load(Ordering::Relaxed) > 0
    }

    fn record_request_time(&self) {
        let now = self.clock.now().as_micros();
        self.last_request_at.store(now, Ordering::Relaxed);
    }

    /// Returns the time since a request last began or ended.
    pub fn idle_time(&self) -> Duration {
        let at = MonoTime::from_micros(self.last_request_at.load(Ordering::Relaxed));
        self.clock.now().since(at)
    }

    /// Returns the number of open requests.
    pub fn open_requests(&self) -> usize {
        self.open_requests.load(Ordering::Relaxed)
    }

    /// Records the notices of the target on `host`, as its node sent them.
    pub fn learn_notice(&self, host: HostId, notice: SharedNotice) {
        lock(&self.notices).learn(self.clock.now(), host, notice);
    }

    /// Returns the known notices of the target on `host`.
    pub fn known_notice(&self, host: HostId) -> Option<SharedNotice> {
        lock(&self.notices).get(host)
    }

    /// Passes an input to the membership and its outputs to the receiver of [`Self::new`].
    pub fn member_input(&self, input: Input) {
        let now = self.clock.now();
        let outputs = {
            let Member { membership, rng } = &mut *lock(&self.member);
            membership.handle(now, rng, input)
        };
        for output in outputs {
            // The receiver exists until the process ends.
            let _ = self.outputs.send(output);
        }
    }

    /// Reads from the membership under its lock.
    pub fn with_member<T>(&self, read: impl FnOnce(&Membership) -> T) -> T {
        read(&lock(&self.member).membership)
    }

    /// Announces the state of the local target to other nodes.
    pub fn announce(&self) {
        let (mut state, slots) = self.local.announcement();
        if self.is_stopping() && state == TargetState::Serving {
            state = TargetState::Draining;
        }
        self.member_input(Input::Announce { state, slots });
    }
}

/// Counts a departure record as not yet stored until the guard is dropped.
pub struct PendingRecord(Arc<Shared>);

impl Drop for PendingRecord {
    fn drop(&mut self) {
        self.0.pending_records.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Counts a request as open until the guard is dropped.
pub struct OpenRequest(Arc<Shared>);

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.open_requests.fetch_sub(1, Ordering::Relaxed);
        self.0.record_request_time();
    }
}

/// An answer that is streamed is open until its last byte is passed on.
impl EndGuard for OpenRequest {
    fn ended(&mut self, _: bool) {}
}

/// Lets the router use draining targets: a target drains when its node stops, and it accepts
/// requests for as long as the node runs.
fn router_settings(compares_speeds: bool) -> RouterSettings {
    RouterSettings {
        compares_speeds,
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
