//! Next step of a manager, by its table.

use rhubarblanding_core::time::UnixMillis;

use super::{ManagerOutput, StoreState, TableManager};
use crate::table::{Epoch, HomeTable, Member, MemberId};
use crate::time::Now;

/// Number of the newest epochs whose members receive a table.
const EPOCHS_NOTIFIED: usize = 3;
/// Maximum number of times that a table is sent to removed members.
const REMOVED_SENDS_MAX: u32 = 5;

impl TableManager {
    pub(super) fn act(&mut self, now: Now) -> Vec<ManagerOutput> {
        let mut out = Vec::new();
        if !self.acting {
            return out;
        }
        match &self.store {
            StoreState::Reading | StoreState::Swapping(_) => {}
            StoreState::Unread => self.read(now, &mut out),
            StoreState::Known => self.act_on_table(now, &mut out),
        }
        out
    }

    fn read(&mut self, now: Now, out: &mut Vec<ManagerOutput>) {
        if now.mono >= self.read_at {
            self.store = StoreState::Reading;
            out.push(ManagerOutput::Read);
        }
    }

    fn act_on_table(&mut self, now: Now, out: &mut Vec<ManagerOutput>) {
        let Some(table) = self.table.clone() else {
            self.bootstrap(now, out);
            return;
        };
        self.distribute(now, &table, out);
        match table.proposed() {
            Some(proposed) => self.advance_proposal(now, &table, proposed, out),
            None => self.propose(now, &table, out),
        }
    }

    fn bootstrap(&mut self, now: Now, out: &mut Vec<ManagerOutput>) {
        let members = self.view.clone();
        if let Ok(table) = HomeTable::bootstrap(self.service.clone(), now.wall, members) {
            self.swap(None, table, out);
        }
    }

    /// Sends the table to the members that have not adopted it, at once and then at intervals.
    fn distribute(&mut self, now: Now, table: &HomeTable, out: &mut Vec<ManagerOutput>) {
        let is_new = self.sent_version != Some(table.version());
        if !is_new && now.mono < self.resend_at {
            return;
        }
        if is_new {
            self.sends = 0;
        }
        let to = self.receivers(table);
        self.sends += 1;
        if !to.is_empty() {
            let table = table.clone();
            out.push(ManagerOutput::Distribute { to, table });
        }
        self.sent_version = Some(table.version());
        self.resend_at = now.mono + self.settings.retry_interval;
    }

    /// Returns the members that need the table and have not adopted it: current and proposed ones,
    /// those in the view, and removed ones for a limited number of sends.
    fn receivers(&self, table: &HomeTable) -> Vec<MemberId> {
        let newest_first = table.epochs().iter().rev();
        let epochs = newest_first.take(EPOCHS_NOTIFIED);
        let members = epochs.flat_map(|epoch| &epoch.members);
        let needing = members.filter(|member| self.needs_table(table, member.id));
        let mut ids: Vec<MemberId> = needing.chain(&self.view).map(|member| member.id).collect();
        ids.sort();
        ids.dedup();
        ids.retain(|id| !self.adopted.contains(id) && !self.stopped.contains(id));
        ids
    }

    fn needs_table(&self, table: &HomeTable, id: MemberId) -> bool {
        let proposed = table.proposed();
        let decides = table.is_current_member(id);
        let is_to_decide = proposed.is_some_and(|epoch| epoch.member(id).is_some());
        decides || is_to_decide || self.sends < REMOVED_SENDS_MAX
    }

    /// Activates a proposal that enough members adopted; withdraws or postpones one that is late.
    fn advance_proposal(
        &mut self,
        now: Now,
        table: &HomeTable,
        proposed: &Epoch,
        out: &mut Vec<ManagerOutput>,
    ) {
        let acks = self.settings.safeguards.adoption_acks;
        if !acks || self.is_closed(now, table.newest_active(), proposed) {
            self.withdrawn = 0;
            let activated =
                table.activate(self.expired_before(now), self.settings.max_listed_members);
            self.swap(Some(table), activated, out);
            return;
        }
        let is_due = now.wall + self.settings.abort_margin >= proposed.from;
        if is_due {
            self.withdrawn += 1;
            self.delay_proposal(now);
            self.swap(Some(table), table.abort(), out);
        } else if self.too_late {
            let moved = table.propose(self.next_start(now, table), proposed.members.clone());
            self.swap_if_some(table, moved, out);
        }
    }

    /// Returns `true` if no key of `proposed` can be run under the epoch before it any more.
    ///
    /// A stopped member promised nothing, so it counts only while the proposal begins later than
    /// any key that the member could have accepted by its own clock.
    fn is_closed(&self, now: Now, newest: &Epoch, proposed: &Epoch) -> bool {
        let margin = self.settings.stopped_lead / 2;
        let is_ahead = now.wall + margin <= proposed.from;
        let is_stopped = |id| is_ahead && self.stopped.contains(&id);
        newest.is_closed_by(|id| self.adopted.contains(&id) || is_stopped(id))
    }

    /// Proposes the view if it differs from the newest epoch and its adoption can be expected.
    fn propose(&mut self, now: Now, table: &HomeTable, out: &mut Vec<ManagerOutput>) {
        let newest = table.newest_active();
        if newest.members == self.view || now.mono < self.propose_at {
            return;
        }
        if !newest.is_closed_by(|id| self.is_reachable_or_stopped(id)) {
            return;
        }
        if self.relies_on_stop(newest) && self.is_joining(now, newest) {
            return;
        }
        self.delay_proposal(now);
        let members: Vec<Member> = self.view.clone();
        let proposed = table.propose(self.next_start(now, table), members);
        self.swap_if_some(table, proposed, out);
    }

    fn delay_proposal(&mut self, now: Now) {
        let delay = self.settings.proposal_interval * 2u32.saturating_pow(self.withdrawn.min(16));
        self.propose_at = now.mono + delay.min(self.settings.proposal_interval_max);
    }

    fn next_start(&self, now: Now, table: &HomeTable) -> UnixMillis {
        let newest = table.newest_active();
        let lead = if self.relies_on_stop(newest) {
            self.settings.stopped_lead
        } else {
            self.settings.lead
        };
        now.wall.max(self.latest_mint).max(newest.from) + lead
    }

    /// Returns `true` if the view alone cannot close the newest epoch.
    fn relies_on_stop(&self, newest: &Epoch) -> bool {
        !newest.is_closed_by(|id| self.is_in_view(id))
    }

    /// Returns `true` if this member is a new incarnation that may not have learned of the others
    /// yet.
    fn is_joining(&self, now: Now, newest: &Epoch) -> bool {
        let is_new = newest.member(self.me.id).is_none();
        let unchanged = self.differs_since.map(|since| now.mono.since(since));
        is_new && unchanged < Some(self.settings.join_time)
    }

    fn expired_before(&self, now: Now) -> UnixMillis {
        let retention = self.settings.retention.as_millis() as u64;
        UnixMillis(now.wall.0.saturating_sub(retention))
    }

    fn swap_if_some(
        &mut self,
        expected: &HomeTable,
        table: Option<HomeTable>,
        out: &mut Vec<ManagerOutput>,
    ) {
        if let Some(table) = table {
            self.swap(Some(expected), table, out);
        }
    }

    fn swap(
        &mut self,
        expected: Option<&HomeTable>,
        table: HomeTable,
        out: &mut Vec<ManagerOutput>,
    ) {
        self.store = StoreState::Swapping(table.clone());
        let expected = expected.map(HomeTable::version);
        out.push(ManagerOutput::Swap { expected, table });
    }
}
