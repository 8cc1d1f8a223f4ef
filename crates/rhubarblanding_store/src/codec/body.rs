//! JSON bodies of the native wire format.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::value::{Era, Lease, LeaseId, ListEntry, Revision};

/// Answer to a put: the new revision, or the current one after a conflict.
#[derive(Debug, Deserialize)]
pub(super) struct RevisionBody {
    pub(super) revision: u64,
}

/// Request to grant a lease, or to renew `lease`.
#[derive(Debug, Serialize)]
pub(super) struct LeaseBody {
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) lease: Option<u64>,
    pub(super) ttl_ms: u64,
}

impl LeaseBody {
    pub(super) fn to_bytes(&self) -> Bytes {
        // Serializing two integers cannot fail.
        serde_json::to_vec(self).unwrap_or_default().into()
    }
}

/// Answer to a grant or a renewal.
#[derive(Debug, Deserialize)]
pub(super) struct GrantBody {
    lease: u64,
    ttl_ms: u64,
}

impl GrantBody {
    pub(super) fn into_lease(self, era: Era) -> Lease {
        Lease {
            id: LeaseId::new(era, self.lease),
            ttl: Duration::from_millis(self.ttl_ms),
        }
    }
}

/// Answer to a listing.
#[derive(Debug, Deserialize)]
pub(super) struct ListBody {
    pub(super) entries: Vec<EntryBody>,
}

/// Entry of a listing.
#[derive(Debug, Deserialize)]
pub(super) struct EntryBody {
    key: String,
    revision: u64,
}

impl EntryBody {
    pub(super) fn into_entry(self, era: Era) -> ListEntry {
        ListEntry {
            key: self.key,
            revision: Revision::new(era, self.revision),
        }
    }
}
