//! Values, revisions and leases of the key-value service.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Maximum size of a value in bytes.
pub const VALUE_MAX_BYTES: usize = 1_000_000;

/// Revision of a key. Revisions of a key only increase, even if it is removed and written again.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl Revision {
    /// Expected revision of a key that has no value.
    pub const ABSENT: Self = Self(0);
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
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

/// Identifier of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LeaseId(pub u64);

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
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
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
