//! Exit codes of the command line.

use std::process::ExitCode;

/// Exit code of a subcommand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// Done: the ticket is accepted, the files are valid, the answer is printed.
    Ok = 0,
    /// The ticket is refused, and this submission will never put it into effect; no valid route
    /// matches, or a configuration has findings.
    Refused = 1,
    /// The arguments or a file are not valid.
    BadInput = 2,
    /// The outcome is not yet known, or the ticket is not yet in effect at every queried node.
    NotYetKnown = 3,
    /// No queried node gave an answer.
    Unreachable = 4,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
