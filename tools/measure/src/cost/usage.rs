//! Processor time and memory of processes, as the kernel counts them.

use std::fs;

use error_stack::{Report, ResultExt};
use rhubarblanding_standins::error::StandinError;

/// Clock ticks a second of `/proc/<id>/stat` on Linux.
const TICKS_PER_SECOND: f64 = 100.0;
/// Position of the user time behind the process's name in `/proc/<id>/stat`.
const USER_TIME_FIELD: usize = 11;
/// Kilobytes of a megabyte.
const KB_PER_MB: f64 = 1_000.0;

/// What some processes have used.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    busy_seconds: f64,
    resident_kb: f64,
}

impl Usage {
    /// Reads the usage of the processes with these identifiers.
    ///
    /// # Errors
    ///
    /// Fails if a process has ended or the kernel's text is not understood.
    pub fn read(ids: impl Iterator<Item = u32>) -> Result<Self, Report<StandinError>> {
        let mut sum = Self::default();
        for id in ids {
            sum.busy_seconds += busy_seconds(id)?;
            sum.resident_kb = sum.resident_kb.max(resident_kb(id)?);
        }
        Ok(sum)
    }

    /// Processor time in seconds since `before`.
    pub fn since(&self, before: &Self) -> f64 {
        self.busy_seconds - before.busy_seconds
    }

    /// Resident memory of the largest process in megabytes.
    pub fn resident_mb(&self) -> f64 {
        self.resident_kb / KB_PER_MB
    }
}

fn not_understood(path: &str) -> Report<StandinError> {
    Report::new(StandinError::Process).attach(format!("`{path}` is not understood"))
}

fn read(path: &str) -> Result<String, Report<StandinError>> {
    fs::read_to_string(path)
        .change_context(StandinError::Process)
        .attach_with(|| path.to_owned())
}

fn busy_seconds(id: u32) -> Result<f64, Report<StandinError>> {
    let path = format!("/proc/{id}/stat");
    let text = read(&path)?;
    let (_, fields) = text.rsplit_once(')').ok_or_else(|| not_understood(&path))?;
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks = |index: usize| fields.get(index).and_then(|text| text.parse::<f64>().ok());
    let user = ticks(USER_TIME_FIELD).ok_or_else(|| not_understood(&path))?;
    let system = ticks(USER_TIME_FIELD + 1).ok_or_else(|| not_understood(&path))?;
    Ok((user + system) / TICKS_PER_SECOND)
}

fn resident_kb(id: u32) -> Result<f64, Report<StandinError>> {
    let path = format!("/proc/{id}/status");
    let text = read(&path)?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    number
        .and_then(|number| number.parse().ok())
        .ok_or_else(|| not_understood(&path))
}
