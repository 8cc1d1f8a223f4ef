//! Mechanisms that are switched off, so that the oracle has something to catch.

use rhubarblanding_core::prelude::*;
use rhubarblanding_tickets::prelude::*;
use serde_json::json;

/// Mechanism that is switched off, so that the oracle has something to catch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    None,
    /// Writes do not compare the revision.
    BlindPut,
    /// Nodes adopt any document.
    AdoptLower,
    /// A lost answer counts as stored.
    GuessStored,
    /// A lost answer counts as refused.
    GuessRefused,
    /// A document that is read back without the submission counts as proof that it is refused.
    RefuseAfterReadBack,
    /// Each try after a lost answer has an identifier of its own.
    FreshIdentifier,
    /// The numbers of what a ticket touches are not compared.
    IgnoreNumbers,
    /// A submission whose record is forgotten counts as refused.
    RefuseForgotten,
    /// Submissions are not recorded in the document.
    NoRecords,
    /// Reads never show the newest state.
    StaleReads,
    /// Nodes adopt only their first document.
    AdoptOnce,
}

/// What a defect tells when it takes a submission for refused.
pub fn guessed_refusal() -> Verdict {
    Verdict::Refused {
        reason: TicketRefusal::NumberTooLow {
            above: TicketNumber(0),
        },
    }
}

/// The document as if all that the ticket touches had been set by tickets numbered zero.
pub fn without_numbers(document: &Document, ticket: &Ticket) -> Document {
    let mut raw = serde_json::to_value(document).expect("serializes");
    for name in ticket.touched() {
        if let Some(entry) = raw["services"].get_mut(name.as_str()) {
            entry["set_by"]["ticket"] = json!(0);
        }
    }
    Document::from_bytes(raw.to_string().as_bytes()).expect("a document")
}

/// The document without its records of submissions.
pub fn without_records(document: &Document) -> Document {
    let mut raw = serde_json::to_value(document).expect("serializes");
    raw["history"]["records"] = json!({});
    Document::from_bytes(raw.to_string().as_bytes()).expect("a document")
}
