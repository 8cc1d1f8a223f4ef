//! Proposing, activating and aborting epochs.

use rhubarblanding_core::ids::TableVersion;
use rhubarblanding_core::time::UnixMillis;
use serde::{Deserialize, Serialize};

use super::{Epoch, HomeTable, Member, MemberId, Phase, sorted};

/// Result of sending a table to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Adoption {
    /// The table is active. If it proposes an epoch, the node has taken no part in running any
    /// key of that epoch under an earlier one, and will not in future.
    Adopted,
    /// The table is active, but the node already took part in running a key of the proposed
    /// epoch; it continues under the earlier one.
    TooLate {
        /// Latest mint time of the keys that the node took part in running.
        latest_mint: UnixMillis,
    },
    /// The table is active, but the proposed epoch begins too far in the future by the node's
    /// clock; it continues under the earlier one.
    TooFar,
    /// The node has a newer table.
    Stale,
}

/// Reply of a node to a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdoptionReply {
    /// The node.
    pub member: MemberId,
    /// Version of the table that it received.
    pub version: TableVersion,
    /// Result.
    pub adoption: Adoption,
}

impl Epoch {
    /// Returns `true` if no key can be run under this epoch without the members for which
    /// `excluded` is true, for example because they stopped or adopted a later epoch.
    ///
    /// Each run needs two members that [can pair](Epoch::can_pair), or the only member. So the
    /// other members must not include such a pair.
    pub fn is_closed_by(&self, excluded: impl Fn(MemberId) -> bool) -> bool {
        let others: Vec<&Member> = self
            .members
            .iter()
            .filter(|member| !excluded(member.id))
            .collect();
        if self.members.len() == 1 {
            return others.is_empty();
        }
        !others
            .iter()
            .enumerate()
            .any(|(i, a)| others[i + 1..].iter().any(|b| self.can_pair(a, b)))
    }
}

impl HomeTable {
    /// Returns a table that proposes `members` for keys minted at or after `from`, in place of
    /// any earlier proposal.
    ///
    /// Returns `None` if `from` is not later than the newest active epoch or `members` is empty.
    pub fn propose(&self, from: UnixMillis, members: Vec<Member>) -> Option<Self> {
        if from <= self.newest_active().from || members.is_empty() {
            return None;
        }
        let mut table = self.abort();
        table.epochs.push(Epoch {
            version: table.version,
            from,
            members: sorted(members),
            phase: Phase::Proposed,
        });
        Some(table)
    }

    /// Returns the table without the proposed epoch.
    pub fn abort(&self) -> Self {
        let mut table = self.clone();
        table.epochs.truncate(self.active_len());
        table.version = self.next_version();
        table
    }

    /// Returns the table in which the proposed epoch is active.
    ///
    /// The oldest epochs are dropped if all of their keys were minted before `expired`, or while
    /// all epochs together list more than `max_listed` members. Keys of a dropped epoch are
    /// refused, because no member decides on them any more.
    pub fn activate(&self, expired: UnixMillis, max_listed: usize) -> Self {
        let mut table = self.clone();
        table.version = self.next_version();
        if let Some(epoch) = table.epochs.last_mut() {
            epoch.phase = Phase::Active;
        }
        while table.epochs.len() > 1 {
            let listed: usize = table.epochs.iter().map(|epoch| epoch.members.len()).sum();
            if table.epochs[1].from > expired && listed <= max_listed {
                break;
            }
            table.epochs.remove(0);
        }
        table
    }

    /// Returns `true` if a member decides on the newest keys. A node that shuts down waits until
    /// this is `false`.
    pub fn is_current_member(&self, id: MemberId) -> bool {
        self.newest_active().member(id).is_some()
    }
}
