//! State that every part of a node shares.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use flexi_logger::LoggerHandle;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rhubarblanding_admission::prelude::*;
use rhubarblanding_core::prelude::*;
use rhubarblanding_membership::prelude::{Input, Membership, MembershipSettings, Output};
use rhubarblanding_once::prelude::{Envelope, HomeTable, LedgerSettings, Member, MemberId};
use rhubarblanding_once::table::AdoptionReply;
use rhubarblanding_store::prelude::{StoreClient, StoreSettings};
use tokio::sync::mpsc;

use super::clock::Clock;
use super::counters::{Counters, Event};
use super::parking::{Mutex, lock};
use super::phase::PhaseReader;
use crate::connection::{BackendClient, PeerClient};
use crate::control::ControlClient;
use crate::request::{GateDriver, OnceDriver, Registry};
use crate::settings::Settings;
use crate::version::{CurrentDocument, Services};

/// Low bits of an incarnation that the membership raises when it refutes a rumour.
const INCARNATION_RAISE_BITS: u32 = 16;

/// The member of the gossip with its random numbers.
#[derive(Debug)]
struct MemberState {
    membership: Membership,
    rng: SmallRng,
}

/// What the loops of a node receive from its handlers.
#[derive(Debug)]
pub struct Inboxes {
    /// Outputs of the membership.
    pub member: mpsc::UnboundedReceiver<Output>,
    /// Messages for other members of the home table.
    pub once: mpsc::UnboundedReceiver<Envelope>,
}

/// State of one node.
pub struct Shared {
    /// Checked settings.
    pub settings: Settings,
    /// Clocks.
    pub clock: Clock,
    /// Counters.
    pub counters: Counters,
    /// Phase of the life cycle.
    pub phase: PhaseReader,
    /// Document in force.
    pub document: CurrentDocument,
    /// Services that requests are sent to.
    pub services: Services,
    /// Running requests.
    pub registry: Registry,
    /// Admission in front of the backend server.
    pub gate: Arc<GateDriver>,
    /// At-most-once ledger.
    pub once: Arc<OnceDriver>,
    /// Client of other nodes.
    pub peers: PeerClient,
    /// Client of the backend server.
    pub backend: BackendClient,
    /// Client for control calls.
    pub control: ControlClient,
    /// Client of the platform's key-value service.
    pub store: StoreClient,
    /// Logger whose level operators may change; none if the embedding program owns the log.
    pub logger: Option<LoggerHandle>,
    throttle: Mutex<CallerThrottle>,
    member: Mutex<MemberState>,
    member_tx: mpsc::UnboundedSender<Output>,
    backend_state: Mutex<TargetState>,
    announced_at: Mutex<MonoTime>,
    fetching: AtomicBool,
}

impl Shared {
    /// Creates the state of a node that is starting.
    pub fn new(
        settings: Settings,
        phase: PhaseReader,
        logger: Option<LoggerHandle>,
    ) -> (Arc<Self>, Inboxes) {
        let clock = Clock::start();
        let incarnation = Incarnation(clock.wall().0 << INCARNATION_RAISE_BITS);
        let me = TargetInfo {
            host: settings.host(),
            incarnation,
            service: settings.service.clone(),
            zone: settings.zone.clone(),
            slots: 0,
            state: TargetState::Starting,
        };
        let id = MemberId {
            host: me.host,
            incarnation,
        };
        let zone = me.zone.clone();
        let membership = Membership::new(
            me,
            MembershipSettings {
                seeds: settings.seeds.clone(),
                ..MembershipSettings::default()
            },
        );
        let (member_tx, member_rx) = mpsc::unbounded_channel();
        let (once_tx, once_rx) = mpsc::unbounded_channel();
        let ledger = LedgerSettings::default();
        let once = OnceDriver::new(clock, Member { id, zone }, ledger, once_tx);
        let peers = PeerClient::default();
        let store = StoreClient::new(StoreSettings {
            addr: settings.store,
            ..StoreSettings::default()
        });
        let shared = Self {
            clock,
            counters: Counters::default(),
            phase,
            document: CurrentDocument::default(),
            services: Services::default(),
            registry: Registry::default(),
            gate: Arc::new(GateDriver::new(clock, GateSettings::default())),
            once: Arc::new(once),
            control: ControlClient::new(peers.clone()),
            peers,
            backend: BackendClient::new(settings.backend),
            store,
            logger,
            throttle: Mutex::default(),
            member: Mutex::new(MemberState {
                membership,
                rng: SmallRng::from_os_rng(),
            }),
            member_tx,
            backend_state: Mutex::new(TargetState::Starting),
            announced_at: Mutex::default(),
            fetching: AtomicBool::new(false),
            settings,
        };
        let inboxes = Inboxes {
            member: member_rx,
            once: once_rx,
        };
        (Arc::new(shared), inboxes)
    }

    /// Callers that were told to wait.
    pub fn throttle(&self) -> std::sync::MutexGuard<'_, CallerThrottle> {
        lock(&self.throttle)
    }

    /// Hands an input to the membership; the outputs go to the member loop.
    pub fn member_input(&self, input: Input) {
        let now = self.clock.now();
        let mut state = lock(&self.member);
        let MemberState { membership, rng } = &mut *state;
        for output in membership.handle(now, rng, input) {
            // The receiver lives as long as the process.
            let _ = self.member_tx.send(output);
        }
    }

    /// Reads from the membership.
    pub fn with_member<T>(&self, read: impl FnOnce(&Membership) -> T) -> T {
        read(&lock(&self.member).membership)
    }

    /// Asks the membership for the targets of a service.
    pub fn look_up(&self, service: &ServiceName) {
        self.member_input(Input::Lookup(service.clone()));
    }

    /// Takes notice of an announcement of the backend server.
    pub fn announced(&self, state: TargetState, slots: u32) {
        *lock(&self.announced_at) = self.clock.now();
        self.backend_state(state, Some(slots));
    }

    /// Takes the own target out of service while its backend server has been silent for `limit`.
    pub fn check_announcement(&self, limit: std::time::Duration) {
        let silent = self.clock.now().since(*lock(&self.announced_at));
        if silent > limit && self.target_state() == TargetState::Serving {
            log::warn!(
                "backend server has not announced itself for {} s",
                silent.as_secs()
            );
            self.backend_state(TargetState::Starting, None);
        }
    }

    /// Takes over what the backend server says of itself.
    pub fn backend_state(&self, state: TargetState, slots: Option<u32>) {
        let mut current = lock(&self.backend_state);
        // A target that is leaving does not come back within the same life of its node.
        let state = if *current >= TargetState::Draining {
            state.max(*current)
        } else {
            state
        };
        if *current != state {
            log::info!("backend server is {state}");
        }
        *current = state;
        // The lock is held to the end, so that states are announced in their order.
        if let Some(slots) = slots {
            self.gate.set_slots(slots);
        }
        let slots = slots.unwrap_or_else(|| self.with_member(|member| member.me().slots));
        if state >= TargetState::Draining {
            self.gate.drain();
        }
        self.member_input(Input::Announce { state, slots });
    }

    /// Life cycle of the backend server.
    pub fn target_state(&self) -> TargetState {
        *lock(&self.backend_state)
    }

    /// Whether the own target takes no new requests any more.
    pub fn is_leaving(&self) -> bool {
        self.phase.get() >= TargetState::Draining || self.target_state() >= TargetState::Draining
    }

    /// Load of the own target for answers.
    pub fn load_report(&self) -> LoadReport {
        LoadReport {
            draining: self.is_leaving(),
            ..self.gate.report()
        }
    }

    /// Puts a newer home table of the own service in force.
    pub fn adopt_table(&self, table: HomeTable) -> AdoptionReply {
        let now = self.clock.now();
        let own = self.services.get(now, &self.settings.service);
        own.adopt_table(table.clone());
        self.once.adopt(table)
    }

    /// Notes the document version that another node names; a newer document is fetched from it.
    pub fn note_document(self: &Arc<Self>, from: HostId, version: DocVersion) {
        if version > self.document.version() {
            super::documents::fetch(Arc::clone(self), from);
        }
    }

    /// Begins to fetch the document of a peer; false if that is under way.
    pub fn begin_fetch(&self) -> bool {
        !self.fetching.swap(true, Ordering::AcqRel)
    }

    /// The document was fetched, or could not be.
    pub fn end_fetch(&self) {
        self.fetching.store(false, Ordering::Release);
    }

    /// Counts an event.
    pub fn count(&self, event: Event) {
        self.counters.event(event);
    }
}
