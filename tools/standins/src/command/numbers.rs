//! Flags that hold a number.

use clap::{Arg, ArgMatches, value_parser};

/// A flag that holds a whole number.
pub fn number(name: &'static str, default: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .default_value(default)
        .value_parser(value_parser!(u64))
}

/// Number of a flag made by [`number`].
pub fn value(matches: &ArgMatches, name: &str) -> u64 {
    matches.get_one(name).copied().unwrap_or_default()
}
