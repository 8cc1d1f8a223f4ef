//! Exit codes and setup errors of the subcommands that run a daemon.

use std::fmt;

/// Exit code for invalid settings.
pub const EXIT_BAD_SETTINGS: u8 = 2;
/// Exit code for a node that could not be started.
pub const EXIT_NOT_STARTED: u8 = 1;

/// Reason that the process of a node could not be set up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SetupError {
    /// The log cannot be opened.
    Logger,
    /// The runtime cannot be started.
    Runtime,
    /// The node cannot be started.
    Node,
}

impl fmt::Display for SetupError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Logger => "the log cannot be opened",
            Self::Runtime => "the runtime cannot be started",
            Self::Node => "the node cannot be started",
        })
    }
}

impl std::error::Error for SetupError {}
