//! Changes of the home table in the platform's key-value service, the store.
//!
//! Each member has a manager; the one whose member is first in its own view acts, and the next
//! ones if the table does not match the view for some time. Two managers that act at the same time
//! are harmless, because each change is a compare-and-swap. A change of members takes two swaps:
//! one proposes an epoch that begins a little later, and one activates it after enough members of
//! the epoch before it have adopted the proposal. While the store is down nothing changes, and the
//! ledgers continue with the table that they have.

mod io;
mod propose;

use rhubarblanding_core::collections::HashSet;
use rhubarblanding_core::ids::TableVersion;
use rhubarblanding_core::names::ServiceName;
use rhubarblanding_core::time::{MonoTime, UnixMillis};

use crate::table::{Adoption, AdoptionReply, HomeTable, Member, MemberId};
use crate::time::Now;

pub use io::{ManagerInput, ManagerOutput, ManagerSettings, ReadResult, SwapResult};

/// State of a manager's access to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
enum StoreState {
    /// The document has to be read before the manager acts.
    Unread,
    /// A read is under way.
    Reading,
    /// A compare-and-swap to this table is under way.
    Swapping(HomeTable),
    /// The document that the manager acts on has been read.
    Known,
}

/// Proposes, activates and withdraws epochs of one service's [`HomeTable`].
#[derive(Clone, Debug)]
pub struct TableManager {
    me: Member,
    service: ServiceName,
    settings: ManagerSettings,
    view: Vec<Member>,
    stopped: HashSet<MemberId>,
    store: StoreState,
    table: Option<HomeTable>,
    /// Members that adopted the current table.
    adopted: HashSet<MemberId>,
    /// Latest mint time that a member has reported.
    latest_mint: UnixMillis,
    /// `true` if a member reported that the current proposal begins too early.
    too_late: bool,
    /// Version that was last sent to the members.
    sent_version: Option<TableVersion>,
    /// Number of times that the current table was sent to members.
    sends: u32,
    /// Time at which the table is resent to members that did not answer.
    resend_at: MonoTime,
    /// Time from which the document may be read again.
    read_at: MonoTime,
    /// Time since which the table has differed from the view.
    differs_since: Option<MonoTime>,
    acting: bool,
    /// Time from which the next epoch may be proposed.
    propose_at: MonoTime,
    /// Proposals that were withdrawn since the last one that was activated.
    withdrawn: u32,
}

impl TableManager {
    /// Creates the manager of one incarnation of a node.
    pub fn new(me: Member, service: ServiceName, settings: ManagerSettings) -> Self {
        Self {
            me,
            service,
            settings,
            view: Vec::new(),
            stopped: HashSet::default(),
            store: StoreState::Unread,
            table: None,
            adopted: HashSet::default(),
            latest_mint: UnixMillis::default(),
            too_late: false,
            sent_version: None,
            sends: 0,
            resend_at: MonoTime::ZERO,
            read_at: MonoTime::ZERO,
            differs_since: None,
            acting: false,
            propose_at: MonoTime::ZERO,
            withdrawn: 0,
        }
    }

    /// Returns the newest table that the manager has received.
    pub fn table(&self) -> Option<&HomeTable> {
        self.table.as_ref()
    }

    /// Returns the members whose stop would have to be confirmed by [`ManagerInput::Stopped`]
    /// before the table can change.
    pub fn blocking_members(&self) -> Vec<MemberId> {
        let Some(table) = &self.table else {
            return Vec::new();
        };
        let epoch = table.newest_active();
        if epoch.is_closed_by(|id| self.is_reachable_or_stopped(id)) {
            return Vec::new();
        }
        let ids = epoch.members.iter().map(|member| member.id);
        ids.filter(|id| !self.is_reachable_or_stopped(*id))
            .collect()
    }

    /// Handles one input and returns the actions to carry out.
    pub fn handle(&mut self, now: Now, input: ManagerInput) -> Vec<ManagerOutput> {
        match input {
            ManagerInput::View(members) => self.on_view(now, members),
            ManagerInput::Stopped(member) => {
                self.stopped.insert(member);
            }
            ManagerInput::Learned(table) => self.learn(table),
            ManagerInput::Read(result) => self.on_read(now, result),
            ManagerInput::Swap(result) => self.on_swap(now, result),
            ManagerInput::Adoption(reply) => self.on_adoption(now, reply),
            ManagerInput::Tick => {}
        }
        self.update_acting(now);
        self.act(now)
    }

    fn on_view(&mut self, now: Now, mut members: Vec<Member>) {
        members.sort();
        members.dedup_by_key(|member| member.id.host);
        if members != self.view {
            self.view = members;
            self.differs_since = Some(now.mono);
        }
    }

    /// Decides whether this manager acts. One that begins to act reads the document first.
    fn update_acting(&mut self, now: Now) {
        if self.matches_view() {
            self.differs_since = None;
        } else {
            self.differs_since.get_or_insert(now.mono);
        }
        let was_acting = self.acting;
        self.acting = self.should_act(now);
        if !was_acting && self.acting && self.store == StoreState::Known {
            self.store = StoreState::Unread;
        }
    }

    fn matches_view(&self) -> bool {
        self.table.as_ref().is_some_and(|table| {
            table.proposed().is_none() && table.newest_active().members == self.view
        })
    }

    /// Returns `true` for the first member in the view, and for a later one if the table has
    /// differed for the time that the members before it have to act.
    fn should_act(&self, now: Now) -> bool {
        let rank = self.view.iter().position(|member| *member == self.me);
        let Some(rank) = rank.and_then(|rank| u32::try_from(rank).ok()) else {
            return false;
        };
        let differs = self.differs_since.map(|since| now.mono.since(since));
        rank == 0 || differs >= Some(self.settings.takeover_after.saturating_mul(rank))
    }

    fn learn(&mut self, table: HomeTable) {
        if self.table.as_ref().map(HomeTable::version) < Some(table.version()) {
            self.table = Some(table);
            self.adopted.clear();
            self.too_late = false;
        }
    }

    fn on_read(&mut self, now: Now, result: ReadResult) {
        if self.store != StoreState::Reading {
            return;
        }
        self.store = StoreState::Known;
        match result {
            ReadResult::Table(table) => self.learn(table),
            ReadResult::Absent => {}
            ReadResult::Unavailable => self.read_later(now),
        }
    }

    fn on_swap(&mut self, now: Now, result: SwapResult) {
        let StoreState::Swapping(table) = self.store.clone() else {
            return;
        };
        self.store = StoreState::Known;
        match result {
            SwapResult::Swapped => self.learn(table),
            SwapResult::Conflict => self.store = StoreState::Unread,
            SwapResult::Unknown => self.read_later(now),
        }
    }

    fn read_later(&mut self, now: Now) {
        self.store = StoreState::Unread;
        self.read_at = now.mono + self.settings.retry_interval;
    }

    fn on_adoption(&mut self, now: Now, reply: AdoptionReply) {
        if self.table.as_ref().map(HomeTable::version) != Some(reply.version) {
            return;
        }
        match reply.adoption {
            Adoption::Adopted => {
                self.adopted.insert(reply.member);
            }
            // A member whose clock is far ahead does not delay the epoch; it counts as missing.
            Adoption::TooLate { latest_mint } if latest_mint > now.wall + self.settings.lead => {}
            Adoption::TooLate { latest_mint } => {
                self.latest_mint = self.latest_mint.max(latest_mint);
                self.too_late = true;
            }
            Adoption::TooFar => {}
            Adoption::Stale => self.store = StoreState::Unread,
        }
    }

    fn is_reachable_or_stopped(&self, id: MemberId) -> bool {
        self.stopped.contains(&id) || self.is_in_view(id)
    }

    fn is_in_view(&self, id: MemberId) -> bool {
        self.view.iter().any(|member| member.id == id)
    }
}
