//! Decisions on tickets for a given document, and its history of submissions.

#![expect(clippy::expect_used, reason = "a test panics where its set-up fails")]

use std::sync::Arc;

use googletest::prelude::*;
use rhubarblanding_core::prelude::*;
use rhubarblanding_store::{Era, Revision};
use rhubarblanding_tickets::document::{Decision, HISTORY_MAX, SettledVerdict, decide};
use rhubarblanding_tickets::operator::TicketAnswer;
use rhubarblanding_tickets::prelude::*;
use rhubarblanding_tickets::submit::{Step, StoredDocument};
use serde_json::json;

fn name(raw: &str) -> ServiceName {
    raw.try_into().expect("a name")
}

fn id(raw: u128) -> SubmissionId {
    SubmissionId(uuid::Uuid::from_u128(raw))
}

fn ticket(number: u64, set: &[&str], removed: &[&str]) -> Ticket {
    let services: serde_json::Map<_, _> = set
        .iter()
        .map(|name| ((*name).to_owned(), json!({"kinds": []})))
        .collect();
    let raw = json!({"ticket": number, "services": services, "remove_services": removed});
    Ticket::from_json(raw.to_string().as_bytes()).expect("valid")
}

fn accept(document: &Document, ticket: &Ticket, submission: u128) -> Document {
    apply(document, ticket, id(submission)).expect("accepted")
}

fn verdict_of(document: &Document, ticket: &Ticket, submission: u128) -> Option<Verdict> {
    document.known_verdict(ticket, id(submission))
}

#[test]
fn accepted_ticket_replaces_what_it_touches_and_nothing_else() {
    let one = accept(&Document::default(), &ticket(5, &["a", "b"], &[]), 1);
    let two = accept(&one, &ticket(9, &["c"], &["a"]), 2);
    assert_that!(two.version(), eq(DocVersion(2)));
    assert_that!(two.service(&name("a")), none());
    assert_that!(two.service(&name("b")), some(anything()));
    assert_that!(two.services().count(), eq(2));
    let numbers: Vec<_> = two.entries().map(|(_, e)| e.set_by.ticket.0).collect();
    assert_that!(numbers, elements_are![&9, &5, &9]);
    assert_that!(Document::from_bytes(&two.to_bytes()), ok(eq(&two)));
}

fn refusal_is(number: u64, set: &[&str], removed: &[&str], kind: &str) {
    let document = accept(&Document::default(), &ticket(5, &["a", "b"], &[]), 1);
    let document = accept(&document, &ticket(9, &["c"], &["a"]), 2);
    let refused = apply(&document, &ticket(number, set, removed), id(3));
    let reason = <&'static str>::from(refused.expect_err("a refusal"));
    assert_that!(reason, eq(kind));
}

rhubarblanding_core::cases! {
    refusal_is;
    number_of_the_service: (5, &["b"], &[], "superseded");
    number_below_one_of_several_services: (7, &["b", "c"], &[], "superseded");
    number_below_a_removed_service: (7, &["a"], &[], "superseded");
    removal_with_a_lower_number: (4, &[], &["b"], "superseded");
    number_used_for_other_services: (9, &["d"], &[], "number_used");
}

#[test]
fn number_below_the_highest_is_accepted_for_services_with_lower_ones() {
    let document = accept(&Document::default(), &ticket(9, &["a"], &[]), 1);
    let document = accept(&document, &ticket(3, &["b"], &[]), 2);
    assert_that!(document.next_free_number(), eq(TicketNumber(10)));
}

#[test]
fn repeated_submission_gets_its_verdict_and_changed_content_is_refused() {
    let first = ticket(5, &["a"], &[]);
    let document = accept(&Document::default(), &first, 1);
    let version = document.version();
    let accepted = Verdict::Accepted { version };
    assert_that!(verdict_of(&document, &first, 1), some(eq(&accepted)));
    for other in [ticket(5, &["b"], &[]), ticket(6, &["a"], &[])] {
        let verdict = verdict_of(&document, &other, 1).expect("a verdict");
        let reused = matches!(
            verdict,
            Verdict::Refused {
                reason: TicketRefusal::SubmissionReused { .. }
            }
        );
        assert_that!(reused, eq(true));
        assert_that!(apply(&document, &other, id(1)), err(anything()));
    }
}

/// Returns a document whose history has dropped the records of the tickets up to number 10.
fn full_document() -> Document {
    let mut document = Document::default();
    for number in 1..=(HISTORY_MAX as u64 + 10) {
        let service = format!("s{}", number % 20);
        let next = ticket(number, &[&service], &[]);
        document = accept(&document, &next, number.into());
    }
    document
}

#[test]
fn history_is_bounded_and_old_numbers_stay_used() {
    let document = full_document();
    assert_that!(document.history().records().count(), eq(HISTORY_MAX));
    assert_that!(document.history().forgotten_up_to(), eq(TicketNumber(10)));
    for number in 1..=HISTORY_MAX as u64 {
        let again = ticket(number, &["fresh"], &[]);
        assert_that!(apply(&document, &again, id(9_999)), err(anything()));
    }
    let next = ticket(HISTORY_MAX as u64 + 11, &["fresh"], &[]);
    assert_that!(apply(&document, &next, id(9_999)), ok(anything()));
}

#[test]
fn forgotten_submission_is_never_reported_as_refused() {
    let document = full_document();
    let old = ticket(4, &["s4"], &[]);
    let up_to = TicketNumber(10);
    let forgotten = Verdict::Forgotten { up_to };
    assert_that!(verdict_of(&document, &old, 4), some(eq(&forgotten)));
    let decision = decide(&document, &old, id(4));
    assert_that!(decision, eq(&Decision::Settled(forgotten)));
}

#[test]
fn old_number_that_cannot_have_been_accepted_is_refused() {
    let document = full_document();
    let never_seen = ticket(4, &["fresh"], &[]);
    assert_that!(verdict_of(&document, &never_seen, 9_999), none());
    let refused = apply(&document, &never_seen, id(9_999));
    assert_that!(
        refused,
        err(eq(&TicketRefusal::NumberTooLow {
            above: TicketNumber(11)
        }))
    );
}

#[test]
fn forgotten_submission_still_in_force_is_accepted() {
    let mut document = accept(&Document::default(), &ticket(1, &["kept"], &[]), 1);
    for number in 2..=(HISTORY_MAX as u64 + 5) {
        document = accept(&document, &ticket(number, &["other"], &[]), number.into());
    }
    let verdict = verdict_of(&document, &ticket(1, &["kept"], &[]), 1);
    let version = DocVersion(1);
    assert_that!(verdict, some(eq(&Verdict::Accepted { version })));
    let answer = TicketAnswer::new(&document, TicketNumber(1));
    assert_that!(answer.verdict, eq(&Verdict::Accepted { version }));
    assert_that!(answer.in_force, len(eq(1)));
}

/// Returns a ticket whose state takes more than a third of the maximum document size.
fn large_ticket(number: u64, service: &str) -> Ticket {
    let path = format!("/{}", "x".repeat(480));
    let kinds: Vec<_> = (0..64)
        .map(|i| {
            json!({"name": format!("k{i}"), "method": "GET", "path": format!("{path}{i}"),
                "idempotency": "idempotent"})
        })
        .collect();
    let services: serde_json::Map<_, _> = (0..7)
        .map(|i| (format!("{service}{i}"), json!({"kinds": kinds})))
        .collect();
    let raw = json!({"ticket": number, "services": services});
    Ticket::from_json(raw.to_string().as_bytes()).expect("valid")
}

#[test]
fn refusal_for_size_is_recorded_and_final() {
    let document = accept(&Document::default(), &large_ticket(1, "a"), 1);
    let document = accept(&document, &large_ticket(2, "b"), 2);
    let third = large_ticket(3, "c");
    let Decision::Store { document, verdict } = decide(&document, &third, id(3)) else {
        panic!("not recorded");
    };
    let SettledVerdict::Refused { reason } = verdict else {
        panic!("accepted");
    };
    assert_that!(<&'static str>::from(&reason), eq("document_too_large"));
    assert_that!(document.service(&name("c0")), none());
    let smaller = accept(&document, &ticket(4, &[], &["a0", "a1", "a2"]), 4);
    let refused = Verdict::Refused { reason };
    assert_that!(verdict_of(&smaller, &third, 3), some(eq(&refused)));
}

/// The key-value service was reset to an older state while a node still has the newest document.
#[test]
fn known_document_restores_state_lost_by_the_service() {
    let one = accept(&Document::default(), &ticket(1, &["a"], &[]), 1);
    let two = accept(&one, &ticket(2, &["b"], &[]), 2);
    let third = Arc::new(ticket(3, &["c"], &[]));
    let mut submitter = Submitter::new(id(3), third).with_known(Arc::new(two));
    submitter.on_read(&StoredDocument {
        revision: Revision::new(Era(0), 9),
        document: one,
    });
    let Step::Swap { expected, document } = submitter.step() else {
        panic!("{:?}", submitter.step());
    };
    assert_that!(expected, eq(Revision::new(Era(0), 9)));
    assert_that!(document.version(), eq(DocVersion(3)));
    assert_that!(document.service(&name("b")), some(anything()));
}

#[test]
fn unknown_format_and_malformed_bytes_are_rejected() {
    let newer = br#"{"format": 2, "something": "else"}"#;
    let error = Document::from_bytes(newer).expect_err("unknown");
    assert_that!(error.to_string(), contains_substring("format 2"));
    assert_that!(Document::from_bytes(b"\xff\x00"), err(anything()));
    assert_that!(Document::from_bytes(b"{}"), err(anything()));
}

#[test]
fn adopter_moves_to_higher_versions_only() {
    let one = accept(&Document::default(), &ticket(1, &["a"], &[]), 1);
    let two = accept(&one, &ticket(2, &["b"], &[]), 2);
    let mut adopter = Adopter::new();
    assert_that!(adopter.offer(two.clone()), some(anything()));
    assert_that!(adopter.offer(one), none());
    assert_that!(adopter.offer(two.clone()), none());
    assert_that!(adopter.current().as_ref(), eq(&two));
}

#[test]
fn parts_hold_every_service_and_the_version_that_set_it() {
    let ticket = |number: u64, service: &str| {
        let raw = format!(r#"{{"ticket":{number},"services":{{"{service}":{{"kinds":[]}}}}}}"#);
        Ticket::from_json(raw.as_bytes()).unwrap()
    };
    let submission = |number: u128| SubmissionId(uuid::Uuid::from_u128(number));
    let first = apply(&Document::default(), &ticket(1, "turnos"), submission(1)).unwrap();
    let second = apply(&first, &ticket(2, "egresos"), submission(2)).unwrap();
    let parts = second.to_parts();
    let versions: Vec<u64> = parts.iter().map(|part| part.version.0).collect();
    assert_that!(versions, elements_are![eq(&2), eq(&1)]);
    let rebuilt = Document::from_parts(second.version(), parts).unwrap();
    assert_that!(rebuilt.version(), eq(second.version()));
    assert_that!(
        rebuilt.entries().collect::<Vec<_>>(),
        eq(&second.entries().collect::<Vec<_>>())
    );
}
