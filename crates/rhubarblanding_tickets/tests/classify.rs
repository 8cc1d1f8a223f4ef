//! Classification of requests by kind.

#![expect(clippy::expect_used, reason = "a test panics where its set-up fails")]

use googletest::prelude::*;
use rhubarblanding_core::prelude::*;
use rhubarblanding_tickets::prelude::*;
use rhubarblanding_tickets::spec::PathPattern;

const SERVICE: &str = r#"{"kinds": [
    {"name": "check", "method": "GET", "path": "/availability/urgent", "idempotency": "idempotent", "importance": "critical"},
    {"name": "query", "method": "GET", "path": "/availability/*", "idempotency": "idempotent"},
    {"name": "archive", "method": "GET", "path": "/archives/**", "idempotency": "idempotent"},
    {"name": "search", "method": "POST", "path": "/search", "idempotency": "idempotent"},
    {"name": "any", "method": "*", "path": "/ping", "idempotency": "idempotent"}
]}"#;

fn kind_is(method: &str, path: &str, expected: &str) {
    let service: ServiceSpec = serde_json::from_str(SERVICE).expect("valid");
    assert_that!(service.classify(method, path).name.as_str(), eq(expected));
}

rhubarblanding_core::cases! {
    kind_is;
    first_match_wins: ("GET", "/availability/urgent", "check");
    one_segment: ("GET", "/availability/42", "query");
    query_is_ignored: ("GET", "/availability/42?zone=ros/../x", "query");
    wildcard_matches_no_empty_segment: ("GET", "/availability/", "default-read");
    wildcard_matches_one_segment_only: ("GET", "/availability/42/x", "default-read");
    shorter_path: ("GET", "/availability", "default-read");
    rest_of_many: ("GET", "/archives/2026/term/1.zip", "archive");
    rest_of_none: ("GET", "/archives", "archive");
    rest_with_trailing_slash: ("GET", "/archives/2026/", "archive");
    rest_with_parent: ("GET", "/archives/../grades", "default-read");
    rest_with_escaped_dot: ("GET", "/archives/%2E%2e/grades", "default-read");
    rest_with_escaped_slash: ("GET", "/archives/a%2Fb", "default-read");
    rest_with_other_escape: ("GET", "/archives/a%20b", "archive");
    rest_with_empty_segment: ("GET", "/archives//a", "default-read");
    method_must_match: ("POST", "/availability/42", "default-write");
    idempotent_post: ("POST", "/search", "search");
    any_method: ("PATCH", "/ping", "any");
    unknown_head: ("HEAD", "/x", "default-read");
    unknown_options: ("OPTIONS", "/x", "default-write");
    lower_case_method_does_not_match: ("get", "/availability/42", "default-write");
    empty_path: ("DELETE", "", "default-write");
}

#[test]
fn unmatched_requests_are_non_idempotent_unless_read() {
    let service = ServiceSpec::new(BackendSpec::default(), Vec::new());
    let read = service.classify("GET", "/");
    assert_that!(read.idempotency, eq(Idempotency::Idempotent));
    let write = service.classify("PUT", "/");
    assert_that!(write.idempotency, eq(Idempotency::NonIdempotent));
    assert_that!(write.importance, eq(Importance::Normal));
    assert_that!(write.limits.retry_allowance, eq(3));
}

#[test]
fn root_and_rest_of_root_are_patterns() {
    let root = PathPattern::try_from("/").expect("valid");
    assert_that!(root.matches("/"), eq(true));
    assert_that!(root.matches("/a"), eq(false));
    let all = PathPattern::try_from("/**").expect("valid");
    assert_that!(all.matches("/"), eq(true));
    assert_that!(all.matches("/a/b"), eq(true));
}
