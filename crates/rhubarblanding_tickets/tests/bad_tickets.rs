//! Errors that are reported for invalid values of each field of a ticket.

#![expect(clippy::expect_used, reason = "a test panics where its set-up fails")]

use googletest::prelude::*;
use rhubarblanding_tickets::prelude::*;
use serde_json::{Value, json};

const KIND: &str = "/services/turnos/kinds/0";

fn valid_ticket() -> Value {
    json!({
        "ticket": 7,
        "services": {
            "turnos": {
                "backend": { "expected_slots": 170, "drain_limit_ms": 60_000, "slow_start_ms": 0 },
                "kinds": [{
                    "name": "reserve",
                    "method": "POST",
                    "path": "/reservations/*",
                    "idempotency": "non_idempotent",
                    "importance": "high",
                    "weight": 5,
                    "retry_allowance": 3,
                    "deadline_ms": 2_000,
                    "max_body_bytes": 4_096,
                    "max_kept_answer_bytes": 4_096
                }]
            }
        },
        "remove_services": ["recepcion"]
    })
}

fn errors_of(ticket: &Value) -> Vec<String> {
    match Ticket::from_json(ticket.to_string().as_bytes()) {
        Ok(_) => Vec::new(),
        Err(invalid) => invalid.fields.iter().map(ToString::to_string).collect(),
    }
}

/// Sets the member `name` of the object at `pointer`.
fn set(ticket: &mut Value, pointer: &str, name: &str, value: Value) {
    let object = ticket.pointer_mut(pointer).and_then(Value::as_object_mut);
    let Some(object) = object else {
        panic!("no object at {pointer}");
    };
    object.insert(name.to_owned(), value);
}

fn error_is(pointer: &str, name: &str, value: Value, path: &str, reason: &str) {
    let mut ticket = valid_ticket();
    set(&mut ticket, pointer, name, value);
    assert_that!(
        errors_of(&ticket),
        elements_are![all![
            starts_with(format!("{path}: ")),
            contains_substring(reason)
        ]]
    );
}

rhubarblanding_core::cases! {
    error_is;
    ticket_zero: ("", "ticket", json!(0), "ticket", "from 1 to");
    ticket_negative: ("", "ticket", json!(-1), "ticket", "invalid value");
    ticket_fraction: ("", "ticket", json!(1.5), "ticket", "invalid type");
    ticket_beyond_json_integers: ("", "ticket", json!(1_u64 << 53), "ticket", "from 1 to");
    unknown_member: ("", "service", json!({}), "service", "unknown field");
    services_not_a_map: ("", "services", json!([]), "services", "expected a map");
    service_name: ("/services", "Turnos", json!({"kinds": []}), "services.Turnos", "a-z, 0-9");
    service_without_kinds: ("/services", "a", json!({}), "services.a", "missing field `kinds`");
    service_unknown: ("/services/turnos", "x", json!(1), "services.turnos.x", "unknown field");
    too_many_kinds: ("/services", "a", json!({"kinds": kinds(65)}), "services.a.kinds", "at most 64");
    slots_zero: ("/services/turnos/backend", "expected_slots", json!(0), "services.turnos.backend.expected_slots", "from 1 to 100000");
    slots_huge: ("/services/turnos/backend", "expected_slots", json!(u64::MAX), "services.turnos.backend.expected_slots", "from 1 to 100000");
    drain_limit: ("/services/turnos/backend", "drain_limit_ms", json!(999), "services.turnos.backend.drain_limit_ms", "from 1000 to");
    slow_start: ("/services/turnos/backend", "slow_start_ms", json!(600_001), "services.turnos.backend.slow_start_ms", "from 0 to 600000");
    backend_unknown: ("/services/turnos/backend", "slots", json!(1), "services.turnos.backend.slots", "unknown field");
    kind_name_empty: (KIND, "name", json!(""), "services.turnos.kinds[0].name", "not be empty");
    kind_name_reserved: (KIND, "name", json!("default-read"), "services.turnos.kinds[0].name", "no kind");
    method_lower_case: (KIND, "method", json!("post"), "services.turnos.kinds[0].method", "upper-case");
    method_empty: (KIND, "method", json!(""), "services.turnos.kinds[0].method", "upper-case");
    path_relative: (KIND, "path", json!("reservations"), "services.turnos.kinds[0].path", "begin with /");
    path_empty_segment: (KIND, "path", json!("/a//b"), "services.turnos.kinds[0].path", "not empty");
    path_parent: (KIND, "path", json!("/a/../b"), "services.turnos.kinds[0].path", "..");
    path_query: (KIND, "path", json!("/a?b"), "services.turnos.kinds[0].path", "visible ASCII");
    path_partial_wildcard: (KIND, "path", json!("/a*"), "services.turnos.kinds[0].path", "whole segments");
    path_partial_rest: (KIND, "path", json!("/a**"), "services.turnos.kinds[0].path", "whole segments");
    path_rest_in_the_middle: (KIND, "path", json!("/**/a"), "services.turnos.kinds[0].path", "last segment");
    path_long: (KIND, "path", json!(format!("/{}", "a".repeat(512))), "services.turnos.kinds[0].path", "at most 512");
    idempotency: (KIND, "idempotency", json!("maybe"), "services.turnos.kinds[0].idempotency", "one of idempotent, non_idempotent");
    importance: (KIND, "importance", json!("urgent"), "services.turnos.kinds[0].importance", "one of background, normal, high, critical");
    importance_null_is_default_but_number_is_not: (KIND, "importance", json!(3), "services.turnos.kinds[0].importance", "invalid type");
    weight: (KIND, "weight", json!(0), "services.turnos.kinds[0].weight", "from 1 to 1000");
    retry_allowance: (KIND, "retry_allowance", json!(11), "services.turnos.kinds[0].retry_allowance", "from 0 to 10");
    deadline: (KIND, "deadline_ms", json!(0), "services.turnos.kinds[0].deadline_ms", "from 1 to");
    body: (KIND, "max_body_bytes", json!((1_u64 << 30) + 1), "services.turnos.kinds[0].max_body_bytes", "from 0 to");
    kept_answer: (KIND, "max_kept_answer_bytes", json!((1 << 20) + 1), "services.turnos.kinds[0].max_kept_answer_bytes", "from 0 to");
    kind_unknown: (KIND, "prio", json!(1), "services.turnos.kinds[0].prio", "unknown field");
    removed_name: ("", "remove_services", json!(["a", "-"]), "remove_services[1]", "a-z, 0-9");
    removed_twice: ("", "remove_services", json!(["a", "a"]), "remove_services[1]", "named twice");
    removed_and_set: ("", "remove_services", json!(["turnos"]), "remove_services[0]", "both set and removed");
}

fn kinds(count: usize) -> Value {
    (0..count)
        .map(|i| {
            json!({"name": format!("k{i}"), "method": "GET", "path": format!("/{i}"),
                "idempotency": "idempotent"})
        })
        .collect()
}

#[test]
fn valid_ticket_has_no_error_and_keeps_its_content() {
    assert_that!(errors_of(&valid_ticket()), is_empty());
    let ticket = Ticket::from_json(valid_ticket().to_string().as_bytes()).expect("valid");
    let written = serde_json::to_value(RawTicket::from(&ticket)).expect("serializes");
    assert_that!(written, eq(&valid_ticket()));
}

#[test]
fn all_errors_are_reported_at_once() {
    let mut ticket = valid_ticket();
    set(&mut ticket, "", "ticket", json!(0));
    set(&mut ticket, KIND, "weight", json!(0));
    set(&mut ticket, KIND, "method", json!("post"));
    set(&mut ticket, KIND, "path", json!("x"));
    set(&mut ticket, KIND, "importance", json!("urgent"));
    set(&mut ticket, "", "remove_services", json!(["X", "turnos"]));
    assert_that!(errors_of(&ticket), len(eq(7)));
}

#[test]
fn missing_required_fields_are_reported() {
    for field in ["name", "method", "path", "idempotency"] {
        let mut ticket = valid_ticket();
        let kind = ticket.pointer_mut(KIND).and_then(Value::as_object_mut);
        kind.map(|kind| kind.remove(field));
        let expected = format!("missing field `{field}`");
        assert_that!(
            errors_of(&ticket),
            elements_are![contains_substring(expected)]
        );
    }
}

#[test]
fn second_kind_of_the_same_name_or_pattern_is_an_error() {
    let mut ticket = valid_ticket();
    let kinds = ticket.pointer_mut("/services/turnos/kinds");
    let kinds = kinds.and_then(Value::as_array_mut).expect("kinds");
    kinds.push(kinds[0].clone());
    assert_that!(
        errors_of(&ticket),
        elements_are![
            contains_substring("kinds[1].name: is named twice"),
            contains_substring("kinds[1].path: is never reached")
        ]
    );
}

fn text_error_is(text: &str, reason: &str) {
    let invalid = Ticket::from_json(text.as_bytes()).expect_err("a fault");
    assert_that!(invalid.to_string(), contains_substring(reason));
}

rhubarblanding_core::cases! {
    text_error_is;
    empty_text: ("", "EOF");
    not_json: ("ticket: 1", "expected ident at line 1 column 2");
    cut_short: (r#"{"ticket": 1, "serv"#, "EOF");
    trailing_text: (r#"{"ticket": 1, "remove_services": ["a"]} x"#, "trailing characters");
    nothing_touched: (r#"{"ticket": 1}"#, "at least one service");
    ticket_twice: (r#"{"ticket": 1, "ticket": 2}"#, "duplicate field");
    service_twice: (r#"{"ticket": 1, "services": {"a": {"kinds": []}, "a": {"kinds": []}}}"#, "`a` is named twice");
    deep_nesting: (&r#"{"services":"#.repeat(100_000), "services");
}
