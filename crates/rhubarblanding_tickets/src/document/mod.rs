//! The document with the state set by all accepted tickets, and the decision on a new ticket.

mod decide;
mod history;
mod verdict;

use std::collections::BTreeMap;
use std::fmt;

use rhubarblanding_core::ids::{DocVersion, TicketNumber};
use rhubarblanding_core::names::ServiceName;
use rhubarblanding_core::time::UnixMillis;
use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize};
use uuid::Uuid;

pub use decide::{Decision, apply, decide};
pub use history::{HISTORY_MAX, History, SubmissionRecord};
pub use verdict::{Outdated, SettledVerdict, TicketRefusal, Verdict};

use crate::spec::ServiceSpec;
use crate::ticket::InvalidTicket;

/// Version of the document format that this release reads and writes.
pub const FORMAT: u32 = 1;

/// Maximum size in bytes of a document after an accepted ticket. It leaves room below the maximum
/// value size of the key-value service for records of refused submissions.
pub const DOCUMENT_MAX_BYTES: usize = 900_000;

/// Identifier of one submission. Retries with the same identifier take effect at most once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SubmissionId(pub Uuid);

impl SubmissionId {
    /// Creates an identifier with the time stamp `now`; `random` fills the other bits.
    pub fn mint(now: UnixMillis, random: [u8; 10]) -> Self {
        Self(uuid::Builder::from_unix_timestamp_millis(now.0, &random).into_uuid())
    }
}

impl fmt::Display for SubmissionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Ticket that set the current state of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SetBy {
    /// Number of the ticket.
    pub ticket: TicketNumber,
    /// Submission that was accepted.
    pub submission: SubmissionId,
    /// First document version with that state.
    pub version: DocVersion,
}

/// Entry of one service. A removed service keeps its entry, without state, for its ticket number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceEntry {
    /// Ticket that set or removed the service.
    pub set_by: SetBy,
    /// State of the service, `None` if it was removed.
    pub spec: Option<ServiceSpec>,
}

/// State of one service as distributed between nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentPart {
    /// The service.
    pub service: ServiceName,
    /// Document version that set the state.
    pub version: DocVersion,
    /// The state in JSON.
    pub body: String,
}

/// State of all services, as set by the accepted tickets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    #[serde(deserialize_with = "known_format")]
    format: u32,
    version: DocVersion,
    services: BTreeMap<ServiceName, ServiceEntry>,
    history: History,
}

impl Default for Document {
    fn default() -> Self {
        Self {
            format: FORMAT,
            version: DocVersion::default(),
            services: BTreeMap::new(),
            history: History::default(),
        }
    }
}

/// Reason for rejecting bytes as a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InvalidDocument {
    /// The bytes are malformed.
    Malformed(InvalidTicket),
    /// This release does not support the format.
    UnknownFormat(u32),
}

impl fmt::Display for InvalidDocument {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(e) => write!(f, "the document is malformed: {e}"),
            Self::UnknownFormat(format) => write!(
                f,
                "the document has format {format}; this release supports format {FORMAT}"
            ),
        }
    }
}

impl std::error::Error for InvalidDocument {}

/// Rejects an unsupported format, however the document is deserialized.
fn known_format<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u32, D::Error> {
    match u32::deserialize(deserializer)? {
        FORMAT => Ok(FORMAT),
        format => Err(D::Error::custom(InvalidDocument::UnknownFormat(format))),
    }
}

#[derive(Deserialize)]
struct FormatOnly {
    format: u32,
}

impl Document {
    /// Deserializes a document.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are malformed or the format is not supported.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, InvalidDocument> {
        let FormatOnly { format } =
            crate::ticket::from_json(bytes).map_err(InvalidDocument::Malformed)?;
        if format != FORMAT {
            return Err(InvalidDocument::UnknownFormat(format));
        }
        crate::ticket::from_json(bytes).map_err(InvalidDocument::Malformed)
    }

    /// Serializes the document.
    pub fn to_bytes(&self) -> Vec<u8> {
        // Serialization cannot fail: every key is a string or an integer.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Splits the document into one part for each service ever set or removed, with the version
    /// that did so. The history stays in the key-value service.
    pub fn to_parts(&self) -> Vec<DocumentPart> {
        let part = |(name, entry): (&ServiceName, &ServiceEntry)| DocumentPart {
            service: name.clone(),
            version: entry.set_by.version,
            // Serialization cannot fail: every key is a string or an integer.
            body: serde_json::to_string(entry).unwrap_or_default(),
        };
        self.services.iter().map(part).collect()
    }

    /// Assembles a document from parts. It has no history, as nodes don't need it.
    ///
    /// # Errors
    ///
    /// Fails if the body of a part is malformed.
    pub fn from_parts(
        version: DocVersion,
        parts: impl IntoIterator<Item = DocumentPart>,
    ) -> Result<Self, InvalidDocument> {
        let mut document = Self {
            version,
            ..Self::default()
        };
        for part in parts {
            let entry = crate::ticket::from_json(part.body.as_bytes())
                .map_err(InvalidDocument::Malformed)?;
            document.services.insert(part.service, entry);
        }
        Ok(document)
    }

    /// Returns the version, which increases with each change.
    pub fn version(&self) -> DocVersion {
        self.version
    }

    /// Returns the state of a service, `None` if it was never set or was removed.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceSpec> {
        self.services.get(name)?.spec.as_ref()
    }

    /// Returns the services that are not removed, ordered by name.
    pub fn services(&self) -> impl Iterator<Item = (&ServiceName, &ServiceSpec)> {
        self.entries()
            .filter_map(|(name, entry)| Some((name, entry.spec.as_ref()?)))
    }

    /// Returns the entries of all services, including removed ones.
    pub fn entries(&self) -> impl Iterator<Item = (&ServiceName, &ServiceEntry)> {
        self.services.iter()
    }

    /// Returns the ticket that set or removed a service.
    pub fn set_by(&self, name: &ServiceName) -> Option<SetBy> {
        self.services.get(name).map(|entry| entry.set_by)
    }

    /// Returns the recent submissions and the ticket numbers that are no longer available.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// Returns the lowest number available to a ticket regardless of the services it touches.
    pub fn next_free_number(&self) -> TicketNumber {
        let of_services = self.services.values().map(|entry| entry.set_by.ticket);
        let highest = of_services.chain(self.history.highest()).max();
        TicketNumber(highest.unwrap_or_default().0 + 1)
    }
}
