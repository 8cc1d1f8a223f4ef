//! Stand-in programs for tests.

fn main() {}
