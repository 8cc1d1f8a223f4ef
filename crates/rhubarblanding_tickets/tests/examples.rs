//! The example tickets of both deployments: importance and idempotency of their requests.

#![expect(clippy::expect_used, reason = "a test panics where its set-up fails")]

use googletest::prelude::*;
use rhubarblanding_core::importance::Idempotency::{Idempotent, NonIdempotent};
use rhubarblanding_core::importance::Importance::{Background, Critical, High, Normal};
use rhubarblanding_core::prelude::*;
use rhubarblanding_tickets::prelude::*;

const LITORAL: &str = include_str!("../../../examples/tickets/litoral.json");
const KERALA: &str = include_str!("../../../examples/tickets/kerala.json");

fn request_is(
    ticket: &str,
    service: &str,
    method: &str,
    path: &str,
    importance: Importance,
    idempotency: Idempotency,
) {
    let ticket = Ticket::from_json(ticket.as_bytes()).expect("valid");
    let name = ServiceName::try_from(service).expect("a name");
    let kind = ticket.services[&name].classify(method, path);
    assert_that!(kind.importance, eq(importance));
    assert_that!(kind.idempotency, eq(idempotency));
}

rhubarblanding_core::cases! {
    request_is;
    discharge_check: (LITORAL, "egresos", "GET", "/availability/ros/today", Critical, Idempotent);
    stock_query: (LITORAL, "catalogo-web", "GET", "/stock/chairs?size=m", Normal, Idempotent);
    catalogue_page: (LITORAL, "catalogo-web", "GET", "/", Background, Idempotent);
    reservation: (LITORAL, "turnos", "POST", "/reservations", High, NonIdempotent);
    delivery: (LITORAL, "recepcion", "POST", "/deliveries", High, NonIdempotent);
    chair_return: (LITORAL, "recepcion", "POST", "/returns", High, NonIdempotent);
    inspection_archive: (LITORAL, "recepcion", "GET", "/inspections/2026/all.zip", Background, Idempotent);
    exam_submission: (KERALA, "submissions", "POST", "/exams/7/submissions", Critical, NonIdempotent);
    ordinary_submission: (KERALA, "submissions", "POST", "/assignments/7/submissions", High, NonIdempotent);
    push: (KERALA, "submissions", "POST", "/repositories/7/push", High, NonIdempotent);
    grade: (KERALA, "gradebook", "POST", "/grades", High, NonIdempotent);
    repository_page: (KERALA, "browser", "GET", "/repositories/7/src/main.rs", Normal, Idempotent);
    term_archive: (KERALA, "archives", "GET", "/archives/2026/term-1.zip", Background, Idempotent);
    unknown_write: (KERALA, "gradebook", "POST", "/anything", Normal, NonIdempotent);
}

#[test]
fn archive_downloads_have_an_hour() {
    let ticket = Ticket::from_json(KERALA.as_bytes()).expect("valid");
    let archives = ServiceName::try_from("archives").expect("a name");
    let kind = ticket.services[&archives].classify("GET", "/archives/1");
    let an_hour = std::time::Duration::from_secs(3_600);
    assert_that!(kind.limits.deadline, ge(an_hour));
}
