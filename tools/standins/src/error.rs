//! Reasons why a stand-in cannot do its work.

use strum::Display;

/// Kind of a failure of a stand-in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "lowercase")]
pub enum StandinError {
    /// A setting is missing or malformed.
    #[strum(to_string = "invalid setting")]
    Settings,
    /// The listening socket cannot be opened.
    #[strum(to_string = "cannot listen")]
    Listen,
    /// A request could not be built or was not answered.
    #[strum(to_string = "request failed")]
    Request,
    /// The answer is not what the protocol asks for.
    #[strum(to_string = "unexpected answer")]
    Answer,
    /// A child process could not be started, signalled or awaited.
    #[strum(to_string = "child process failed")]
    Process,
    /// The time to wait for a condition has passed.
    #[strum(to_string = "timed out")]
    Timeout,
}

impl std::error::Error for StandinError {}
