//! States in which a case begins, and the tickets that operators write.

use std::sync::OnceLock;

use rhubarblanding_core::prelude::*;
use rhubarblanding_tickets::document::HISTORY_MAX;
use rhubarblanding_tickets::prelude::*;
use serde_json::json;

use crate::actions::NUMBERS;

/// State in which a case begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// There is no document yet.
    Fresh,
    /// The document's memory of submissions is almost full.
    FullMemory,
}

/// Records in the document of [`Scenario::FullMemory`]; their numbers lie above all others.
pub const FILLERS: u64 = HISTORY_MAX as u64 - 1;

fn service_name(index: usize) -> String {
    format!("service-{index}")
}

/// A ticket whose content differs from that of any other `serial`.
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

/// A document whose memory takes a few more submissions before it forgets the lowest number.
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
