//! The `rhubarblanding` command.

fn main() {}
