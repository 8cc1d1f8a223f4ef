//! The active table and the node's role in it.

use rhubarblanding_core::error::ErrorKind;
use rhubarblanding_core::ids::IdempotencyKey;
use rhubarblanding_core::time::UnixMillis;

use super::Ledger;
use crate::table::{Adoption, AdoptionReply, Epoch, HomeTable, Member, MemberId, Placement};
use crate::time::Now;

impl Ledger {
    /// Makes a table active if it is newer than the present one.
    ///
    /// From then on the node takes no part in running a key of a proposed epoch, unless it did so
    /// already and replies [`Adoption::TooLate`], or the proposal begins
    /// [too far](Adoption::TooFar) in the future.
    pub fn adopt(&mut self, now: Now, table: HomeTable) -> AdoptionReply {
        let version = table.version();
        let current = self.table.as_ref().map(HomeTable::version);
        if current < Some(version) {
            self.adoption = self.check_proposal(now, &table);
            self.table = Some(table);
        }
        let adoption = if current > Some(version) {
            Adoption::Stale
        } else {
            self.adoption
        };
        AdoptionReply {
            member: self.me.id,
            version,
            adoption,
        }
    }

    /// Checks if the node can promise to take no part in running keys of a proposed epoch.
    fn check_proposal(&self, now: Now, table: &HomeTable) -> Adoption {
        let Some(proposed) = table.proposed() else {
            return Adoption::Adopted;
        };
        if proposed.from > now.wall + self.settings.proposal_lead_max {
            return Adoption::TooFar;
        }
        if self.settings.safeguards.mint_check && self.latest_mint >= proposed.from {
            let latest_mint = self.latest_mint;
            return Adoption::TooLate { latest_mint };
        }
        Adoption::Adopted
    }

    /// Returns the members that decide on a key, unless this node promised to take no part in it.
    pub(super) fn locate(&self, key: IdempotencyKey) -> Result<Placement, ErrorKind> {
        let table = self.table.as_ref().ok_or(ErrorKind::HomeUnavailable)?;
        if self.adoption == Adoption::Adopted && self.settings.safeguards.adoption_gate {
            let proposed = table.proposed();
            if proposed.is_some_and(|epoch| epoch.from <= key.minted_at()) {
                return Err(ErrorKind::HomeUnavailable);
            }
        }
        table.place(key).ok_or(ErrorKind::OutcomeUnknown)
    }

    /// Returns `true` if the key may still be run as the given placement says.
    pub(super) fn is_current(&self, key: IdempotencyKey, placement: Placement) -> bool {
        self.locate(key) == Ok(placement)
    }

    /// Returns the members that decide on a key by the active epochs.
    pub(super) fn placement(&self, key: IdempotencyKey) -> Option<Placement> {
        self.table.as_ref()?.place(key)
    }

    /// Returns the epoch that holds a key by the active epochs.
    fn epoch_of(&self, key: IdempotencyKey) -> Option<&Epoch> {
        self.table.as_ref()?.active_epoch_at(key.minted_at())
    }

    pub(super) fn is_me(&self, id: MemberId) -> bool {
        self.is_same(id, self.me.id)
    }

    pub(super) fn is_same(&self, a: MemberId, b: MemberId) -> bool {
        let check = self.settings.safeguards.incarnation_check;
        a.host == b.host && (a.incarnation == b.incarnation || !check)
    }

    /// Returns `true` if `other` is a member of the key's epoch that may decide on it together
    /// with this node.
    pub(super) fn pairs_with(&self, key: IdempotencyKey, other: MemberId) -> bool {
        let Some(epoch) = self.epoch_of(key) else {
            return false;
        };
        let by_id = |id: MemberId| {
            let mut members = epoch.members.iter();
            members.find(|member| self.is_same(member.id, id))
        };
        let pair: Option<(&Member, &Member)> = by_id(self.me.id).zip(by_id(other));
        pair.is_some_and(|(me, other)| epoch.can_pair(me, other))
    }

    /// Returns `true` if a key was minted later than the node's clock allows.
    ///
    /// This prevents one wrong clock from delaying every later epoch.
    pub(super) fn is_from_future(&self, now: Now, key: IdempotencyKey) -> bool {
        key.minted_at() > now.wall + self.settings.mint_skew
    }

    /// Records that the node takes part in running a key.
    pub(super) fn record_mint(&mut self, key: IdempotencyKey) {
        self.latest_mint = self.latest_mint.max(key.minted_at());
    }

    /// Returns `true` if a record of a key minted at `mint` may have been evicted.
    pub(super) fn is_evicted(&self, mint: UnixMillis) -> bool {
        self.settings.safeguards.horizon && Some(mint) <= self.records.horizon()
    }
}
