//! Fuzzing of the ticket parser, and of path patterns against a simple reference implementation.
//! Seeds are fixed.

#![expect(clippy::expect_used, reason = "a test panics where its set-up fails")]

use googletest::prelude::*;
use proptest::prelude::*;
use proptest::sample::select;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rhubarblanding_tickets::prelude::*;
use rhubarblanding_tickets::spec::PathPattern;

const LITORAL: &str = include_str!("../../../examples/tickets/litoral.json");
const DEFAULT_CASES: u32 = 256;

fn check<S: Strategy>(strategy: S, property: impl Fn(S::Value) -> bool) {
    let config = Config {
        cases: rhubarblanding_fuzzing::cases_or(DEFAULT_CASES),
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let result = TestRunner::new_with_rng(config, rng).run(&strategy, |value| {
        prop_assert!(property(value));
        Ok(())
    });
    assert_that!(result, ok(anything()));
}

/// Returns `true` if the bytes are refused or the parsed ticket survives a round trip.
fn is_refused_or_stable(bytes: &[u8]) -> bool {
    let Ok(ticket) = Ticket::from_json(bytes) else {
        return true;
    };
    let written = serde_json::to_vec(&RawTicket::from(&ticket)).expect("serializes");
    Ticket::from_json(&written) == Ok(ticket)
}

fn damaged(text: &'static str) -> impl Strategy<Value = Vec<u8>> {
    let places = any::<prop::sample::Index>();
    let damage = proptest::collection::vec((places, any::<u8>()), 1..6);
    (damage, any::<prop::sample::Index>()).prop_map(move |(damage, end)| {
        let mut bytes = text.as_bytes().to_vec();
        for (place, byte) in damage {
            let place = place.index(bytes.len());
            bytes[place] = byte;
        }
        // One case in four is truncated as well.
        let end = end.index(bytes.len() * 4).max(1);
        bytes.truncate(end);
        bytes
    })
}

#[test]
fn any_bytes_are_refused_or_stable() {
    let bytes = proptest::collection::vec(any::<u8>(), 0..200);
    check(bytes, |bytes| {
        is_refused_or_stable(&bytes) && Document::from_bytes(&bytes).is_err()
    });
}

#[test]
fn damaged_tickets_are_refused_or_stable() {
    check(damaged(LITORAL), |bytes| is_refused_or_stable(&bytes));
}

/// Segments of patterns and paths, including some that must not match a wildcard.
const SEGMENTS: [&str; 9] = ["a", "b", "*", "**", "", ".", "..", "%2e", "x%2Fy"];

fn joined() -> impl Strategy<Value = String> {
    let segments = proptest::collection::vec(select(&SEGMENTS[..]), 0..5);
    segments.prop_map(|segments| format!("/{}", segments.join("/")))
}

/// Matches like [`PathPattern::matches`], written for readability and not for speed.
fn reference(pattern: &[&str], path: &[&str]) -> bool {
    let plain = |segment: &&str| matches!(*segment, "a" | "b" | "*" | "**");
    match (pattern.split_first(), path.split_first()) {
        (Some((&"**", [])), _) => {
            let trailing = path.strip_suffix(&[""]).unwrap_or(path);
            trailing.iter().all(plain)
        }
        (Some((&"*", pattern)), Some((segment, path))) => {
            plain(segment) && reference(pattern, path)
        }
        (Some((literal, pattern)), Some((segment, path))) => {
            literal == segment && reference(pattern, path)
        }
        (None, None) => true,
        _ => false,
    }
}

#[test]
fn paths_match_like_the_reference_implementation() {
    check((joined(), joined()), |(pattern, path)| {
        let Ok(checked) = PathPattern::try_from(pattern.as_str()) else {
            return true;
        };
        let pattern: Vec<_> = pattern.split('/').skip(1).collect();
        let segments: Vec<_> = path.split('/').skip(1).collect();
        checked.matches(&path) == reference(&pattern, &segments)
    });
}
