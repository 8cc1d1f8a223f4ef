//! A child process that ends with its owner.

use std::ffi::OsStr;
use std::fs::File;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use error_stack::{Report, ResultExt};
use strum::IntoStaticStr;

use super::programs::Programs;
use crate::error::StandinError;

/// Time between two looks at whether a process has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Signal that can be sent to a child process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
pub enum Signal {
    /// Asks it to stop.
    #[strum(serialize = "TERM")]
    Terminate,
    /// Asks it to stop, as from a keyboard.
    #[strum(serialize = "INT")]
    Interrupt,
    /// Pauses it.
    #[strum(serialize = "STOP")]
    Stop,
    /// Resumes it.
    #[strum(serialize = "CONT")]
    Continue,
    /// Tells it that its settings have changed.
    #[strum(serialize = "HUP")]
    Hangup,
    /// Ends it at once.
    #[strum(serialize = "KILL")]
    Kill,
}

/// A child process; dropping it ends the process at once.
#[derive(Debug)]
pub struct ChildProcess {
    child: Child,
    name: String,
}

impl ChildProcess {
    /// Starts the `rhubarblanding` program.
    ///
    /// # Errors
    ///
    /// [`StandinError::Process`] if it cannot be started.
    pub fn start_node(
        programs: &Programs,
        name: &str,
        args: &[String],
    ) -> Result<Self, Report<StandinError>> {
        Self::start(Command::new(&programs.node), programs, name, args)
    }

    /// Starts the `rhubarblanding` program with an environment variable.
    ///
    /// # Errors
    ///
    /// [`StandinError::Process`] if it cannot be started.
    pub fn start_node_with(
        programs: &Programs,
        name: &str,
        args: &[String],
        variable: (&str, &OsStr),
    ) -> Result<Self, Report<StandinError>> {
        let mut command = Command::new(&programs.node);
        command.env(variable.0, variable.1);
        Self::start(command, programs, name, args)
    }

    /// Starts the `rhubarblanding_standins` program.
    ///
    /// # Errors
    ///
    /// [`StandinError::Process`] if it cannot be started.
    pub fn start_standin(
        programs: &Programs,
        name: &str,
        args: &[String],
    ) -> Result<Self, Report<StandinError>> {
        Self::start(Command::new(&programs.standins), programs, name, args)
    }

    fn start(
        mut command: Command,
        programs: &Programs,
        name: &str,
        args: &[String],
    ) -> Result<Self, Report<StandinError>> {
        let child = command
            .args(args)
            .stdin(Stdio::null())
            .stdout(output(programs, name)?)
            .stderr(output(programs, name)?)
            .spawn()
            .change_context(StandinError::Process)
            .attach_with(|| name.to_owned())?;
        let name = name.to_owned();
        Ok(Self { child, name })
    }

    /// Name given at the start.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Process identifier.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends `signal` to the process.
    ///
    /// # Errors
    ///
    /// [`StandinError::Process`] if the signal cannot be sent.
    pub fn signal(&self, signal: Signal) -> Result<(), Report<StandinError>> {
        let name: &str = signal.into();
        let status = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(self.id().to_string())
            .status()
            .change_context(StandinError::Process)?;
        if status.success() {
            return Ok(());
        }
        Err(Report::new(StandinError::Process).attach(format!("kill -{name} {}", self.name)))
    }

    /// Exit status, if the process has ended.
    ///
    /// # Errors
    ///
    /// [`StandinError::Process`] if the system cannot tell.
    pub fn ended(&mut self) -> Result<Option<ExitStatus>, Report<StandinError>> {
        self.child.try_wait().change_context(StandinError::Process)
    }

    /// Waits until the process ends.
    ///
    /// # Errors
    ///
    /// [`StandinError::Timeout`] if it does not end within `limit`.
    pub async fn wait(&mut self, limit: Duration) -> Result<ExitStatus, Report<StandinError>> {
        let started = Instant::now();
        loop {
            if let Some(status) = self.ended()? {
                return Ok(status);
            }
            if started.elapsed() > limit {
                return Err(Report::new(StandinError::Timeout).attach(self.name.clone()));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Ends the process at once and waits for its end.
    pub fn kill(&mut self) {
        // Both fail only if the process has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

fn output(programs: &Programs, name: &str) -> Result<Stdio, Report<StandinError>> {
    let Some(dir) = &programs.logs else {
        return Ok(Stdio::null());
    };
    let file = File::options()
        .create(true)
        .append(true)
        .open(dir.join(format!("{name}.log")))
        .change_context(StandinError::Process)?;
    Ok(file.into())
}
