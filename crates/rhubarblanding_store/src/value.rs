//! Values, revisions and leases of the key-value service.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
/// Maximum size of a value in bytes.
pub const VALUE_MAX_BYTES: usize = 1_000_000;

/// Number of times that the service was restored from an older copy of its data.
///
/// What was written after the copy is lost, and revisions and lease identifiers are given out
/// again. A service that does not report eras is in era 0 for good.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Era(pub u64);

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Revision of a key. Within an era, revisions of a key only increase, even if it is removed and
/// written again; any revision of a later era is above all of the eras before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Revision {
    era: Era,
    number: u64,
}

impl Revision {
    /// Expected revision of a key that has no value, in any era.
    pub const ABSENT: Self = Self::new(Era(0), 0);

    /// Creates the revision that the service calls `number` in `era`.
    pub const fn new(era: Era, number: u64) -> Self {
        Self { era, number }
    }

    /// Returns the number that the service uses.
    pub fn number(self) -> u64 {
        self.number
    }

    /// Returns the era in which the number is valid, `None` if it is valid in every era.
    pub fn era(self) -> Option<Era> {
        (self.number != 0).then_some(self.era)
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.number.fmt(f)
    }
}

/// Value with the revision at which it was written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Versioned {
    /// Revision at which the value was written.
    pub revision: Revision,
    /// The value.
    pub value: Bytes,
}

/// Result of a compare-and-swap that was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CasOutcome {
    /// The value was stored at this revision.
    Stored(Revision),
    /// The key was at this other revision; nothing was stored.
    Conflict(Revision),
}

/// Result of a watch that was answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchOutcome {
    /// The key has a newer value.
    Changed(Versioned),
    /// The key was removed at this revision.
    Removed(Revision),
    /// Nothing changed within the time waited. Holds the revision up to which the service has
    /// checked, [`Revision::ABSENT`] if it does not report one.
    Unchanged(Revision),
}

/// Identifier of a lease, valid in one era.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseId {
    era: Era,
    number: u64,
}

impl LeaseId {
    /// Creates the identifier of the lease that the service calls `number` in `era`.
    pub const fn new(era: Era, number: u64) -> Self {
        Self { era, number }
    }

    /// Returns the number that the service uses.
    pub fn number(self) -> u64 {
        self.number
    }

    /// Returns the era in which the lease was granted.
    pub fn era(self) -> Era {
        self.era
    }
}

/// Lease as granted or renewed. Values bound to it are removed when it lapses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Identifier of the lease.
    pub id: LeaseId,
    /// Time until it lapses, counted from the moment the service granted it. The holder must
    /// count from the moment before it sent the request.
    pub ttl: Duration,
}

/// Key found by a listing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListEntry {
    /// The key.
    pub key: String,
    /// Revision of its value.
    pub revision: Revision,
}

/// One page of a listing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListPage {
    /// Entries in key order.
    pub entries: Vec<ListEntry>,
    /// `true` if another page follows.
    pub more: bool,
}
