//! Initial states of a case, and the tickets that operators submit.

use std::sync::OnceLock;

use rhubarblanding_core::prelude::*;
use rhubarblanding_tickets::document::HISTORY_MAX;
use rhubarblanding_tickets::prelude::*;
use serde_json::json;

use crate::actions::NUMBERS;

/// Initial state of a case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// There is no document yet.
    Fresh,
    /// The document's history of submissions is almost full.
    FullHistory,
}

/// Number of records in the document of [`Scenario::FullHistory`], all with numbers above
/// [`NUMBERS`].
pub const FILLERS: u64 = HISTORY_MAX as u64 - 1;

fn service_name(index: usize) -> String {
    format!("service-{index}")
}

/// Returns a ticket whose content is unique to `serial`.
pub fn ticket(number: u64, serial: u128, set: &[bool], removed: &[bool]) -> Ticket {
    let kind = json!({"name": format!("kind-{serial}"), "method": "GET", "path": "/",
        "idempotency": "idempotent"});
    let chosen = |of: &[bool]| -> Vec<usize> { (0..of.len()).filter(|i| of[*i]).collect() };
    let services: serde_json::Map<_, _> = chosen(set)
        .into_iter()
        .map(|i| (service_name(i), json!({"kinds": [kind]})))
        .collect();
    let removed: Vec<_> = chosen(removed)
        .into_iter()
        .filter(|i| !set[*i])
        .map(service_name)
        .collect();
    let raw = json!({"ticket": number, "services": services, "remove_services": removed});
    Ticket::from_json(raw.to_string().as_bytes()).expect("valid")
}

/// Returns a document whose history drops its lowest number after a few more submissions.
pub fn almost_full_document() -> Document {
    static DOCUMENT: OnceLock<Document> = OnceLock::new();
    let filler = |number: u64| Ticket {
        number: TicketNumber(number),
        services: Default::default(),
        remove_services: [ServiceName::try_from("filler").expect("a name")].into(),
    };
    let fill = || {
        let numbers = NUMBERS + 1..=NUMBERS + FILLERS;
        numbers.fold(Document::default(), |document, number| {
            let id = SubmissionId(uuid::Uuid::from_u128(number.into()));
            apply(&document, &filler(number), id).expect("accepted")
        })
    };
    DOCUMENT.get_or_init(fill).clone()
}
