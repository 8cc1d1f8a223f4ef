//! Measurements of goodput, recovery, latency and control cost.

fn main() {}
