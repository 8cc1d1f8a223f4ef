//! The document that holds everything in force, and the decision about a ticket.

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

/// Form of the document that this release reads and writes.
pub const FORMAT: u32 = 1;

/// Greatest size in bytes of a document that a ticket may lead to. It leaves room below the
/// greatest value of the key-value service for records of refused submissions.
pub const DOCUMENT_MAX_BYTES: usize = 900_000;

/// Identifier of one submission. Sending the same submission again cannot take effect twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SubmissionId(pub Uuid);

impl SubmissionId {
    /// Mints an identifier for `now` with `random` filling the bits that are not the time stamp.
    pub fn mint(now: UnixMillis, random: [u8; 10]) -> Self {
        Self(uuid::Builder::from_unix_timestamp_millis(now.0, &random).into_uuid())
    }
}

impl fmt::Display for SubmissionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Which ticket brought an object to its present state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SetBy {
    /// Number of the ticket.
    pub ticket: TicketNumber,
    /// Submission that was accepted.
    pub submission: SubmissionId,
    /// First document version with this state.
    pub version: DocVersion,
}

/// One service in the document. A removed service stays without state, for its ticket number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceEntry {
    /// Ticket that set or removed the service.
    pub set_by: SetBy,
    /// State of the service, `None` if it was removed.
    pub spec: Option<ServiceSpec>,
}

/// State of one service as it is spread between nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentPart {
    /// The service.
    pub service: ServiceName,
    /// Document version that set the state.
    pub version: DocVersion,
    /// The state in JSON.
    pub body: String,
}

/// Everything that accepted tickets have put in force.
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

/// Reason why bytes are not a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InvalidDocument {
    /// They are not of the expected form.
    Malformed(InvalidTicket),
    /// They are of a form that this release does not know.
    UnknownFormat(u32),
}

impl fmt::Display for InvalidDocument {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(e) => write!(f, "the document is malformed: {e}"),
            Self::UnknownFormat(format) => write!(
                f,
                "the document has format {format}; this release knows format {FORMAT}"
            ),
        }
    }
}

impl std::error::Error for InvalidDocument {}

/// Refuses a format that this release does not know, whatever way the document comes.
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
    /// Reads a document.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are malformed or of an unknown format.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, InvalidDocument> {
        let FormatOnly { format } =
            crate::ticket::from_json(bytes).map_err(InvalidDocument::Malformed)?;
        if format != FORMAT {
            return Err(InvalidDocument::UnknownFormat(format));
        }
        crate::ticket::from_json(bytes).map_err(InvalidDocument::Malformed)
    }

    /// Writes the document.
    pub fn to_bytes(&self) -> Vec<u8> {
        // Serialization cannot fail: every key is a string or an integer.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// The state of each service ever named, each as a text of its own with the version that set
    /// it. The history stays in the key-value service.
    pub fn to_parts(&self) -> Vec<DocumentPart> {
        let part = |(name, entry): (&ServiceName, &ServiceEntry)| DocumentPart {
            service: name.clone(),
            version: entry.set_by.version,
            // Serialization cannot fail: every key is a string or an integer.
            body: serde_json::to_string(entry).unwrap_or_default(),
        };
        self.services.iter().map(part).collect()
    }

    /// Puts parts together to a document without history, of which a node needs nothing.
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

    /// Version: each change makes a higher one.
    pub fn version(&self) -> DocVersion {
        self.version
    }

    /// State of a service, `None` if no ticket in force names it.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceSpec> {
        self.services.get(name)?.spec.as_ref()
    }

    /// Services in force, in order of their names.
    pub fn services(&self) -> impl Iterator<Item = (&ServiceName, &ServiceSpec)> {
        self.entries()
            .filter_map(|(name, entry)| Some((name, entry.spec.as_ref()?)))
    }

    /// Every service that a ticket ever named, removed ones included.
    pub fn entries(&self) -> impl Iterator<Item = (&ServiceName, &ServiceEntry)> {
        self.services.iter()
    }

    /// Ticket that set or removed a service.
    pub fn set_by(&self, name: &ServiceName) -> Option<SetBy> {
        self.services.get(name).map(|entry| entry.set_by)
    }

    /// Recent submissions and the numbers that are used up.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// Lowest number that any ticket may use now, whatever it touches.
    pub fn next_free_number(&self) -> TicketNumber {
        let of_objects = self.services.values().map(|entry| entry.set_by.ticket);
        let highest = of_objects.chain(self.history.highest()).max();
        TicketNumber(highest.unwrap_or_default().0 + 1)
    }
}
