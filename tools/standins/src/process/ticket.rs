//! Ticket files as an operator writes them.

use std::collections::BTreeMap;

use rhubarblanding_core::importance::{Idempotency, Importance};
use serde::{Deserialize, Serialize};
use uuid::Uuid;

/// A ticket on its way to a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// Identifier, the same for each repeat.
    pub submission: Uuid,
    /// The ticket.
    pub ticket: TicketFile,
}

impl Submission {
    /// New submission of `ticket`.
    pub fn new(ticket: TicketFile) -> Self {
        Self {
            submission: Uuid::now_v7(),
            ticket,
        }
    }
}

/// A ticket file.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketFile {
    /// Number of the ticket.
    pub ticket: u64,
    /// Whole new state of each service that is set.
    pub services: BTreeMap<String, TicketService>,
    /// Services that are removed.
    #[serde(default)]
    pub remove_services: Vec<String>,
}

/// State of one service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketService {
    /// Settings of the backend servers.
    pub backend: TicketBackend,
    /// Kinds of request; earlier ones are matched before later ones.
    pub kinds: Vec<TicketKind>,
}

/// Settings of backend servers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketBackend {
    /// Requests that one backend server is expected to run at a time.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub expected_slots: Option<u64>,
    /// Time in milliseconds over which a new backend server gets its full share.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub slow_start_ms: Option<u64>,
}

/// One kind of request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketKind {
    /// Name within the service.
    pub name: String,
    /// Method, or `*`.
    pub method: String,
    /// Path pattern.
    pub path: String,
    /// Whether a request may run twice.
    pub idempotency: Idempotency,
    /// How much a request matters.
    pub importance: Importance,
    /// Weight of one whole request in goodput.
    pub weight: u64,
    /// Retries that a root request may cause over its whole chain.
    pub retry_allowance: u64,
    /// Deadline in milliseconds of a request whose caller sets none.
    pub deadline_ms: u64,
}

impl TicketFile {
    /// Adds a service with its kinds.
    pub fn with_service(mut self, name: &str, slots: u32, kinds: Vec<TicketKind>) -> Self {
        let backend = TicketBackend {
            expected_slots: Some(slots.into()),
            slow_start_ms: None,
        };
        let service = TicketService { backend, kinds };
        self.services.insert(name.to_owned(), service);
        self
    }
}

impl Default for TicketKind {
    fn default() -> Self {
        Self {
            name: "any".to_owned(),
            method: "*".to_owned(),
            path: "/**".to_owned(),
            idempotency: Idempotency::Idempotent,
            importance: Importance::Normal,
            weight: 1,
            retry_allowance: 3,
            deadline_ms: 10_000,
        }
    }
}
