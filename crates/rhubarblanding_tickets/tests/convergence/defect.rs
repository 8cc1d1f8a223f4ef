//! Deliberate defects, which show that the oracle detects violations.

use rhubarblanding_core::prelude::*;
use rhubarblanding_tickets::prelude::*;
use serde_json::json;

/// Deliberate defect: a mechanism that is disabled or broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    None,
    /// Writes do not compare the revision.
    BlindPut,
    /// Nodes adopt any document.
    AdoptLower,
    /// A write with a lost answer counts as stored.
    GuessStored,
    /// A write with a lost answer counts as refused.
    GuessRefused,
    /// After a lost answer, a document without the submission counts as proof of its refusal.
    RefuseAfterReadBack,
    /// Each retry after a lost answer has a new identifier.
    FreshIdentifier,
    /// The ticket's number is not compared with those of the services that it touches.
    IgnoreNumbers,
    /// A submission whose record was dropped counts as refused.
    RefuseForgotten,
    /// Submissions are not recorded in the document.
    NoRecords,
    /// Reads never return the newest state.
    StaleReads,
    /// Nodes adopt only their first document.
    AdoptOnce,
}

/// Returns the verdict of a defect that takes a submission for refused.
pub fn guessed_refusal() -> Verdict {
    Verdict::Refused {
        reason: TicketRefusal::NumberTooLow {
            above: TicketNumber(0),
        },
    }
}

/// Returns the document as if all services that the ticket touches had been set by ticket zero.
pub fn without_numbers(document: &Document, ticket: &Ticket) -> Document {
    let mut raw = serde_json::to_value(document).expect("serializes");
    for name in ticket.touched() {
        if let Some(entry) = raw["services"].get_mut(name.as_str()) {
            entry["set_by"]["ticket"] = json!(0);
        }
    }
    Document::from_bytes(raw.to_string().as_bytes()).expect("a document")
}

/// Returns the document without its records of submissions.
pub fn without_records(document: &Document) -> Document {
    let mut raw = serde_json::to_value(document).expect("serializes");
    raw["history"]["records"] = json!({});
    Document::from_bytes(raw.to_string().as_bytes()).expect("a document")
}
