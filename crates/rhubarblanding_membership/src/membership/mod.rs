//! State machine of one member.

mod documents;
mod exchange;
mod lookup;
mod probing;
mod spreading;

use std::collections::{BTreeMap, BTreeSet};

use rand::Rng;
use rand::rngs::SmallRng;
use rhubarblanding_core::prelude::{
    DocVersion, HostId, Incarnation, MonoTime, ServiceName, TargetInfo, TargetState, TimerService,
};

use self::probing::PendingProbe;
use crate::budget::SpreadBudget;
use crate::directory::Directory;
use crate::document::DocumentCopy;
use crate::io::{Event, Input, Output};
use crate::message::{Body, GossipMessage, ProbeSeq};
use crate::record::{Record, Stamp};
use crate::sample::{Sample, SampleSize};
use crate::settings::MembershipSettings;
use crate::updates::Updates;
use crate::view::{EjectionCap, KnownTarget, View};
use crate::watchers::Watchers;

/// Timer of a member.
#[derive(Clone, Debug)]
enum Timer {
    Gossip,
    Probe,
    ProbeDirect(ProbeSeq),
    ProbeIndirect(ProbeSeq),
    Suspicion(HostId, Stamp),
    Shuffle,
    Sync,
    Lookup(ServiceName),
    Housekeeping,
}

/// Context of one call of [`Membership::handle`].
struct Cx<'a> {
    now: MonoTime,
    rng: &'a mut SmallRng,
    out: Vec<Output>,
}

impl Cx<'_> {
    fn event(&mut self, event: Event) {
        self.out.push(Output::Event(event));
    }
}

/// State machine of one member, without I/O.
///
/// The view and the events include the node's own target.
///
/// ```
/// use rand::{SeedableRng, rngs::SmallRng};
/// use rhubarblanding_core::prelude::*;
/// use rhubarblanding_membership::prelude::*;
///
/// # fn main() -> Result<(), Box<dyn std::error::Error>> {
/// let me = TargetInfo {
///     host: HostId("10.0.0.1:7400".parse()?),
///     incarnation: Incarnation(1),
///     service: ServiceName::try_from("ledger")?,
///     zone: ZoneName::try_from("ros")?,
///     slots: 15,
///     state: TargetState::Starting,
/// };
/// let mut rng = SmallRng::seed_from_u64(1);
/// let mut member = Membership::new(me, MembershipSettings::default());
/// let announce = Input::Announce { state: TargetState::Serving, slots: 15 };
/// let outputs = member.handle(MonoTime::ZERO, &mut rng, announce);
/// assert!(outputs.iter().any(|out| matches!(out, Output::Event(Event::TargetChanged { .. }))));
/// # Ok(())
/// # }
/// ```
#[derive(Clone, Debug)]
pub struct Membership {
    settings: MembershipSettings,
    me: Record,
    view: View,
    sample: Sample,
    directory: Directory,
    watchers: Watchers,
    updates: Updates,
    budget: SpreadBudget,
    document: DocumentCopy,
    timers: TimerService<Timer>,
    started: bool,
    started_at: MonoTime,
    last_tick: MonoTime,
    gossip_scheduled: bool,
    version_rounds_left: u32,
    seeds: BTreeSet<HostId>,
    next_seq: ProbeSeq,
    probes: BTreeMap<ProbeSeq, PendingProbe>,
    probe_queue: Vec<HostId>,
    probe_sample_next: bool,
    last_synced: Option<ServiceName>,
    settled_at: MonoTime,
    lookups: BTreeMap<ServiceName, u32>,
    document_requested: Option<(DocVersion, MonoTime)>,
    ranked_since: Option<MonoTime>,
    watching: bool,
}

impl Membership {
    /// Creates the member of the node that `me` describes.
    ///
    /// The incarnation must be greater than those of the host's earlier incarnations, for
    /// example the start time in milliseconds since the Unix epoch.
    pub fn new(me: TargetInfo, settings: MembershipSettings) -> Self {
        let cap = EjectionCap {
            share: settings.max_ejected_share,
            enabled: settings.mechanisms.ejection_cap,
        };
        let size = SampleSize {
            own_zone: settings.sample_own_zone,
            other_zone: settings.sample_other_zone,
        };
        let mut view = View::new(settings.view, cap, settings.mechanisms.tombstones);
        view.keep(me.service.clone());
        Self {
            view,
            sample: Sample::new(me.host, me.zone.clone(), size),
            directory: Directory::new(settings.contacts_per_service),
            watchers: Watchers::new(me.zone.clone(), settings.watcher_candidates),
            updates: Updates::default(),
            budget: SpreadBudget::new(settings.spread_rate, settings.spread_burst),
            document: DocumentCopy::default(),
            timers: TimerService::new(),
            started: false,
            started_at: MonoTime::ZERO,
            last_tick: MonoTime::ZERO,
            gossip_scheduled: false,
            version_rounds_left: 0,
            seeds: settings.seeds.iter().copied().collect(),
            next_seq: ProbeSeq(0),
            probes: BTreeMap::new(),
            probe_queue: Vec::new(),
            probe_sample_next: true,
            last_synced: None,
            settled_at: MonoTime::ZERO,
            lookups: BTreeMap::new(),
            document_requested: None,
            ranked_since: None,
            watching: false,
            me: Record::alive(me, 0),
            settings,
        }
    }

    /// Handles one input and returns the outputs to execute.
    pub fn handle(&mut self, now: MonoTime, rng: &mut SmallRng, input: Input) -> Vec<Output> {
        let mut cx = Cx {
            now,
            rng,
            out: Vec::new(),
        };
        if !self.started {
            self.start(&mut cx);
        }
        match input {
            Input::Message(msg) => self.on_message(&mut cx, msg),
            Input::Announce { state, slots } => self.on_announce(&mut cx, state, slots),
            Input::Service(service) => self.on_service(&mut cx, service),
            Input::Contradicted { host, incarnation } => {
                self.on_contradicted(&mut cx, host, incarnation);
            }
            Input::Interests(services) => self.on_interests(&mut cx, services),
            Input::Lookup(service) => self.on_lookup_input(&mut cx, service),
            Input::Seeds(hosts) => self.on_seeds(&mut cx, hosts),
            Input::Document(document) => self.on_document_read(&mut cx, document),
            Input::PeerDocument { from, version } => {
                self.check_document_version(&mut cx, from, version);
            }
            Input::Tick => self.on_tick(&mut cx),
        }
        cx.out
    }

    /// Returns the time at which [`Input::Tick`] is due next.
    pub fn next_due(&self) -> Option<MonoTime> {
        self.timers.next_due()
    }

    /// Returns the node's own target as announced to other nodes.
    pub fn me(&self) -> &TargetInfo {
        &self.me.info
    }

    /// Returns the incarnation of this node, raised when it was declared down while running.
    pub fn incarnation(&self) -> Incarnation {
        self.me.info.incarnation
    }

    /// Returns the version of the operators' document held by this node.
    pub fn document_version(&self) -> DocVersion {
        self.document.version()
    }

    /// Returns the operators' document.
    pub fn document(&self) -> crate::document::Document {
        self.document.to_document()
    }

    /// Returns the usable targets of `service`, empty if the service is not of interest.
    pub fn targets(&self, service: &ServiceName) -> Vec<KnownTarget> {
        self.view.targets(service)
    }

    /// Returns the services whose targets are kept, in order of their names.
    pub fn services(&self) -> Vec<ServiceName> {
        self.view.services().cloned().collect()
    }

    /// Returns the record of `host`, if the view or the sample holds it.
    pub fn record(&self, host: HostId) -> Option<&Record> {
        self.view.get(host).or_else(|| self.sample.get(host))
    }

    /// Returns `true` if the targets of `service` were learned from a peer.
    pub fn is_resolved(&self, service: &ServiceName) -> bool {
        self.view.is_resolved(service)
    }

    /// Returns `true` if this node watches the key-value service.
    pub fn is_watching(&self) -> bool {
        self.watching
    }

    /// Returns the number of targets in the view, tombstones included.
    pub fn view_len(&self) -> usize {
        self.view.len()
    }

    /// Returns the memory used by the state, in bytes, without allocator overhead.
    pub fn heap_bytes(&self) -> usize {
        self.view.heap_bytes()
            + self.sample.heap_bytes()
            + self.directory.heap_bytes()
            + self.watchers.heap_bytes()
            + self.updates.heap_bytes()
            + self.document.heap_bytes()
            + self.timers.len() * size_of::<Timer>()
            + self.probe_queue.capacity() * size_of::<HostId>()
            + size_of::<Self>()
    }

    fn start(&mut self, cx: &mut Cx<'_>) {
        self.started = true;
        self.started_at = cx.now;
        self.last_tick = cx.now;
        self.settled_at = cx.now + self.settings.settling_time;
        let me = self.me.clone();
        self.merge_own_record(cx, &me);
        for (timer, period) in [
            (Timer::Probe, self.settings.probe_interval),
            (Timer::Shuffle, self.settings.fast_shuffle_interval),
            (Timer::Sync, self.settings.fast_sync_interval),
            (Timer::Housekeeping, Self::HOUSEKEEPING_INTERVAL),
        ] {
            let phase = period.mul_f64(cx.rng.random::<f64>());
            self.timers.subscribe(cx.now + phase, timer);
        }
        self.join(cx);
        self.look_up(cx, self.me.info.service.clone());
    }

    fn on_message(&mut self, cx: &mut Cx<'_>, msg: GossipMessage) {
        let from = msg.from;
        if from == self.me.host() {
            return;
        }
        self.check_document_version(cx, from, msg.document);
        self.learn_updates(cx, from, msg.updates);
        if matches!(msg.body, Body::Ping(_) | Body::Updates) {
            self.join_through(cx, from);
        }
        match msg.body {
            Body::Updates => {}
            Body::Ping(seq) => self.send(cx, from, Body::Ack(seq)),
            Body::Ack(seq) => self.on_ack(cx, from, seq),
            Body::PingRequest { seq, target } => self.on_ping_request(cx, from, seq, target),
            Body::Join(record) => self.on_join(cx, from, &record),
            Body::Shuffle(exchange) => self.on_shuffle(cx, from, exchange),
            Body::ShuffleReply(exchange) => self.on_shuffle_reply(cx, exchange),
            Body::Digest { service, hash } => self.on_digest(cx, from, service, hash),
            Body::Records(records) => self.on_records(cx, from, records),
            Body::Lookup(service) => self.on_lookup(cx, from, service),
            Body::Contacts(contacts) => self.on_contacts(cx, contacts),
            Body::DocumentRequest(have) => self.on_document_request(cx, from, have),
            Body::Document(document) => self.on_document(cx, document),
        }
    }

    fn on_tick(&mut self, cx: &mut Cx<'_>) {
        self.check_pause(cx);
        for timer in self.timers.expire(cx.now) {
            self.on_timer(cx, timer);
        }
    }

    fn on_timer(&mut self, cx: &mut Cx<'_>, timer: Timer) {
        match timer {
            Timer::Gossip => self.on_gossip_timer(cx),
            Timer::Probe => self.on_probe_timer(cx),
            Timer::ProbeDirect(seq) => self.on_direct_timeout(cx, seq),
            Timer::ProbeIndirect(seq) => self.on_indirect_timeout(cx, seq),
            Timer::Suspicion(host, stamp) => self.on_suspicion_timeout(cx, host, stamp),
            Timer::Shuffle => self.on_shuffle_timer(cx),
            Timer::Sync => self.on_sync_timer(cx),
            Timer::Lookup(service) => self.on_lookup_timer(cx, service),
            Timer::Housekeeping => self.on_housekeeping(cx),
        }
    }

    fn on_announce(&mut self, cx: &mut Cx<'_>, state: TargetState, slots: u32) {
        let info = &mut self.me.info;
        let unchanged = info.state == state && info.slots == slots;
        if unchanged || info.state == TargetState::Stopped {
            return;
        }
        info.state = state;
        info.slots = slots;
        self.publish(cx);
    }

    /// Announces the own target as a new one, as the records of before are those of another service.
    fn on_service(&mut self, cx: &mut Cx<'_>, service: ServiceName) {
        let info = &mut self.me.info;
        if info.service == service || info.state == TargetState::Stopped {
            return;
        }
        info.service = service.clone();
        info.state = TargetState::Starting;
        info.slots = 0;
        info.incarnation = Incarnation(info.incarnation.0 + 1);
        self.me.revision = 0;
        self.publish(cx);
        self.look_up(cx, service);
    }

    /// Sends `body` to `to` with piggybacked updates.
    fn send(&self, cx: &mut Cx<'_>, to: HostId, body: Body) {
        let updates = self.updates.piggyback(Self::PIGGYBACK_MAX);
        self.send_with(cx, to, body, updates);
    }

    fn send_with(&self, cx: &mut Cx<'_>, to: HostId, body: Body, mut updates: Vec<Record>) {
        let about_receiver = self.record(to).filter(|known| known.is_suspect_or_final());
        updates.extend(about_receiver.cloned());
        let msg = GossipMessage {
            from: self.me.host(),
            incarnation: self.me.info.incarnation,
            document: self.document.version(),
            updates,
            body,
        };
        let msg = Box::new(msg);
        cx.out.push(Output::Send { to, msg });
    }
}
