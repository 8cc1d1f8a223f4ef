//! Submitting and showing tickets.

use rhubarblanding_core::ids::{DocVersion, TicketNumber};
use rhubarblanding_core::names::ServiceName;
use serde::{Deserialize, Serialize};

use crate::document::{Document, SubmissionId, Verdict};
use crate::spec::ServiceSpec;
use crate::ticket::{FieldError, InvalidTicket, RawTicket};

/// Body of `POST /v1/tickets`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SubmitRequest {
    /// Identifier of the submission, the same for each repeat.
    pub submission: SubmissionId,
    /// The ticket.
    pub ticket: RawTicket,
}

/// Answer to `POST /v1/tickets`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmitAnswer {
    /// Identifier of the submission.
    pub submission: SubmissionId,
    /// Number of the ticket.
    pub ticket: TicketNumber,
    /// Verdict on the ticket as far as it is known.
    #[serde(flatten)]
    pub verdict: Verdict,
}

/// Answer to `GET /v1/tickets/{number}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketAnswer {
    /// Number of the ticket.
    pub ticket: TicketNumber,
    /// Version of the document that the answer is based on.
    pub document_version: DocVersion,
    /// Submission that used the number, if it is still recorded.
    pub submission: Option<SubmissionId>,
    /// Verdict on the ticket according to the document.
    #[serde(flatten)]
    pub verdict: Verdict,
    /// Services that the ticket set or removed, unless a later ticket has replaced their state.
    pub in_force: Vec<ActiveService>,
}

/// Service whose current state was set by the ticket.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActiveService {
    /// Name of the service.
    pub service: ServiceName,
    /// State of the service, `None` if the ticket removed it.
    pub spec: Option<ServiceSpec>,
}

impl TicketAnswer {
    /// Creates the answer for the ticket with this number from `document`.
    pub fn new(document: &Document, number: TicketNumber) -> Self {
        let set: Vec<_> = document
            .entries()
            .filter(|(_, entry)| entry.set_by.ticket == number)
            .collect();
        let set_by = set.first().map(|(_, entry)| entry.set_by);
        let record = document.history().record(number);
        let up_to = document.history().forgotten_up_to();
        let verdict = match (record, set_by) {
            (Some(record), _) => record.verdict.clone().into(),
            (None, Some(set_by)) => Verdict::Accepted {
                version: set_by.version,
            },
            (None, None) if number <= up_to => Verdict::Forgotten { up_to },
            (None, None) => Verdict::NotYetKnown,
        };
        let in_force = set.into_iter().map(|(service, entry)| ActiveService {
            service: service.clone(),
            spec: entry.spec.clone(),
        });
        Self {
            ticket: number,
            document_version: document.version(),
            submission: record
                .map(|record| record.submission)
                .or(set_by.map(|set_by| set_by.submission)),
            verdict,
            in_force: in_force.collect(),
        }
    }
}

/// Answer to a request that is malformed or cannot be served.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct OperatorError {
    /// Description of the error in one sentence.
    pub error: String,
    /// Invalid fields, if the body is invalid.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub fields: Vec<FieldError>,
}

impl OperatorError {
    /// Creates an error without invalid fields.
    pub fn new(error: impl Into<String>) -> Self {
        Self {
            error: error.into(),
            fields: Vec::new(),
        }
    }
}

impl From<InvalidTicket> for OperatorError {
    fn from(invalid: InvalidTicket) -> Self {
        Self {
            error: "The ticket is not valid.".to_owned(),
            fields: invalid.fields,
        }
    }
}
