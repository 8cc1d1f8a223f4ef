//! Cost of membership for each node against the number of nodes, services and changes.

mod baselines;
mod bench;
mod faults;
pub mod fit;
mod fleet;
mod report;
mod settings;
mod spread;
mod steady;

use std::fmt;

use clap::ArgMatches;
use error_stack::{Report, ResultExt};

use self::report::SlopesReport;
use self::settings::SlopesSettings;
pub use self::settings::{NAME, command};

/// Why the measurement ended early.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlopesError {
    /// An argument is out of its range.
    Settings,
    /// A message could not be encoded or decoded.
    Codec,
    /// A name is not allowed.
    Name,
    /// The report could not be written.
    Report,
}

impl fmt::Display for SlopesError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Settings => "an argument of slopes is out of its range",
            Self::Codec => "a message could not be encoded or decoded",
            Self::Name => "a generated name is not allowed",
            Self::Report => "the report could not be written",
        })
    }
}

impl std::error::Error for SlopesError {}

/// Runs the measurement that `matches` describes and returns its report as text.
///
/// # Errors
///
/// See [`SlopesError`].
pub fn run(matches: &ArgMatches) -> Result<String, Report<SlopesError>> {
    let settings = SlopesSettings::try_from(matches)?;
    let report = SlopesReport::measure(&settings)?;
    match settings.json {
        true => serde_json::to_string_pretty(&report).change_context(SlopesError::Report),
        false => Ok(report.to_string()),
    }
}
