//! The list of counters in the documentation matches the code.

use std::collections::BTreeSet;

use googletest::prelude::*;
use rhubarblanding_node::process::Counters;

/// Names in the first column of the tables of `docs/COUNTERS.md`.
fn documented() -> BTreeSet<String> {
    let text = include_str!("../../../docs/COUNTERS.md");
    text.lines()
        .filter_map(|line| line.strip_prefix("| `"))
        .filter_map(|rest| rest.split_once('`'))
        .map(|(name, _)| name.to_owned())
        .collect()
}

#[test]
fn every_counter_is_documented_and_exists() {
    let counters = Counters::default().snapshot();
    let counted: BTreeSet<String> = counters.keys().map(|name| (*name).to_owned()).collect();
    assert_that!(documented(), eq(&counted));
}
