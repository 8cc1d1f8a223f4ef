//! The home table: the members that decide on a key, by the key's mint time.

mod adoption;
mod placement;

use std::fmt;

use rhubarblanding_core::ids::{HostId, Incarnation, TableVersion};
use rhubarblanding_core::names::{ServiceName, ZoneName};
use rhubarblanding_core::time::UnixMillis;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

pub use adoption::{Adoption, AdoptionReply};
pub use placement::Placement;

/// One incarnation of a node on one host.
///
/// A restarted or replaced node has another incarnation. It does not have the records of the
/// earlier one and is therefore another member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId {
    /// Host of the node.
    pub host: HostId,
    /// Incarnation of the node. It must never be used again on the same host.
    pub incarnation: Incarnation,
}

/// A node that may be home or copy of a key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Host and incarnation of the node.
    #[serde(flatten)]
    pub id: MemberId,
    /// Availability zone of the host.
    pub zone: ZoneName,
}

/// Phase of an epoch, which determines if its members decide on its keys.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Phase {
    /// Its members decide on its keys only after enough members of the epoch before it adopted it.
    Proposed,
    /// Its members decide on its keys.
    Active,
}

/// Members that decide on the keys minted from one time to the start of the next epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Epoch {
    /// Version of the table that introduced the epoch.
    pub version: TableVersion,
    /// Mint time of the first key of the epoch, in milliseconds since the Unix epoch.
    pub from: UnixMillis,
    /// Members, sorted by host.
    pub members: Vec<Member>,
    /// Phase of the epoch.
    pub phase: Phase,
}

impl Epoch {
    /// Returns the member with this host and incarnation.
    pub fn member(&self, id: MemberId) -> Option<&Member> {
        self.members.iter().find(|member| member.id == id)
    }

    /// Returns `true` if all members are in one availability zone.
    pub fn is_single_zone(&self) -> bool {
        let first = self.members.first().map(|member| &member.zone);
        self.members
            .iter()
            .all(|member| Some(&member.zone) == first)
    }

    /// Returns `true` if two members may together decide to run a key: they are in different
    /// availability zones, or the epoch has only one zone.
    pub fn can_pair(&self, a: &Member, b: &Member) -> bool {
        a.id != b.id && (a.zone != b.zone || self.is_single_zone())
    }
}

/// Document of one service that maps each key to its home and copy.
///
/// It is changed only by compare-and-swap on [`HomeTable::version`]. Deserialization checks it by
/// [`HomeTable::try_from`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "RawHomeTable")]
pub struct HomeTable {
    version: TableVersion,
    service: ServiceName,
    epochs: Vec<Epoch>,
}

/// Table as read, before it is checked.
#[derive(Clone, Debug, Deserialize)]
pub struct RawHomeTable {
    /// Version of the document, raised by each change.
    pub version: TableVersion,
    /// Service whose keys it places.
    pub service: ServiceName,
    /// Epochs, oldest first.
    pub epochs: Vec<Epoch>,
}

/// Reason why a document is not a [`HomeTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InvalidTable {
    /// There is no epoch, or the first one is not active.
    NoActiveEpoch,
    /// Versions or start times of the epochs do not rise, or exceed the table's version.
    EpochOrder,
    /// An epoch other than the last is proposed.
    ProposedBeforeLast,
    /// An epoch has no members, or they are not sorted by distinct hosts.
    Members,
}

impl fmt::Display for InvalidTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NoActiveEpoch => "epochs: must begin with an active epoch",
            Self::EpochOrder => "epochs: version and from must rise",
            Self::ProposedBeforeLast => "epochs: only the last may be proposed",
            Self::Members => "epochs.members: must be sorted by distinct hosts and not empty",
        })
    }
}

impl std::error::Error for InvalidTable {}

fn check_members(epoch: &Epoch) -> Result<(), InvalidTable> {
    let sorted = epoch
        .members
        .windows(2)
        .all(|w| w[0].id.host < w[1].id.host);
    if epoch.members.is_empty() || !sorted {
        return Err(InvalidTable::Members);
    }
    Ok(())
}

impl TryFrom<RawHomeTable> for HomeTable {
    type Error = InvalidTable;

    fn try_from(raw: RawHomeTable) -> Result<Self, Self::Error> {
        let first = raw.epochs.first().ok_or(InvalidTable::NoActiveEpoch)?;
        if first.phase != Phase::Active {
            return Err(InvalidTable::NoActiveEpoch);
        }
        let rises = |w: &[Epoch]| w[0].version < w[1].version && w[0].from < w[1].from;
        let newest = raw.epochs.last().map(|epoch| epoch.version);
        if !raw.epochs.windows(2).all(rises) || newest > Some(raw.version) {
            return Err(InvalidTable::EpochOrder);
        }
        let before_last = &raw.epochs[..raw.epochs.len() - 1];
        if before_last
            .iter()
            .any(|epoch| epoch.phase == Phase::Proposed)
        {
            return Err(InvalidTable::ProposedBeforeLast);
        }
        raw.epochs.iter().try_for_each(check_members)?;
        Ok(Self {
            version: raw.version,
            service: raw.service,
            epochs: raw.epochs,
        })
    }
}

impl HomeTable {
    /// Version of the first table of a service.
    pub const FIRST_VERSION: TableVersion = TableVersion(1);

    /// Creates the first table of a service: `members` decide on all keys minted at or
    /// after `from`.
    ///
    /// # Errors
    ///
    /// [`InvalidTable::Members`] if `members` is empty or names a host twice.
    pub fn bootstrap(
        service: ServiceName,
        from: UnixMillis,
        members: Vec<Member>,
    ) -> Result<Self, InvalidTable> {
        let epoch = Epoch {
            version: Self::FIRST_VERSION,
            from,
            members: sorted(members),
            phase: Phase::Active,
        };
        Self::try_from(RawHomeTable {
            version: Self::FIRST_VERSION,
            service,
            epochs: vec![epoch],
        })
    }

    /// Version of the document.
    pub fn version(&self) -> TableVersion {
        self.version
    }

    /// Service whose keys the table places.
    pub fn service(&self) -> &ServiceName {
        &self.service
    }

    /// Epochs, oldest first.
    pub fn epochs(&self) -> &[Epoch] {
        &self.epochs
    }

    /// Returns the epoch that is being proposed.
    pub fn proposed(&self) -> Option<&Epoch> {
        self.epochs
            .last()
            .filter(|epoch| epoch.phase == Phase::Proposed)
    }

    /// Returns the newest active epoch.
    pub fn newest_active(&self) -> &Epoch {
        let index = self.active_len() - 1;
        &self.epochs[index]
    }

    /// Returns the active epoch that holds a mint time, or `None` for keys older than the table.
    pub fn active_epoch_at(&self, mint: UnixMillis) -> Option<&Epoch> {
        let active = &self.epochs[..self.active_len()];
        active.iter().rev().find(|epoch| epoch.from <= mint)
    }

    fn active_len(&self) -> usize {
        self.epochs.len() - usize::from(self.proposed().is_some())
    }

    fn next_version(&self) -> TableVersion {
        TableVersion(self.version.0 + 1)
    }
}

fn sorted(mut members: Vec<Member>) -> Vec<Member> {
    members.sort();
    members
}
