//! Places of the programs that are started.

use std::path::PathBuf;

use error_stack::{Report, ResultExt};

use crate::error::StandinError;

/// Environment variable with a directory for the output of the child processes.
const LOG_DIR_VARIABLE: &str = "RHUBARBLANDING_TEST_LOGS";

/// Places of the programs that are started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Programs {
    /// The `rhubarblanding` program.
    pub node: PathBuf,
    /// The `rhubarblanding_standins` program.
    pub standins: PathBuf,
    /// Directory for the output of the child processes; it is discarded without one.
    pub logs: Option<PathBuf>,
}

impl Programs {
    /// Programs that lie beside the running one, or one directory above it as for a test.
    ///
    /// # Errors
    ///
    /// [`StandinError::Process`] if a program is not there; build them with
    /// `cargo build --workspace --bins`.
    pub fn find() -> Result<Self, Report<StandinError>> {
        let running = std::env::current_exe().change_context(StandinError::Process)?;
        let find = |name: &str| {
            running
                .ancestors()
                .skip(1)
                .take(2)
                .map(|dir| dir.join(name))
                .find(|path| path.is_file())
                .ok_or_else(|| Report::new(StandinError::Process).attach(missing(name)))
        };
        Ok(Self {
            node: find("rhubarblanding")?,
            standins: find("rhubarblanding_standins")?,
            logs: std::env::var_os(LOG_DIR_VARIABLE).map(PathBuf::from),
        })
    }
}

fn missing(name: &str) -> String {
    format!("{name} is not built; run `cargo build --workspace --bins` with the same profile")
}
