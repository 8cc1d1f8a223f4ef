//! Results of a simulation.

use std::time::Duration;

/// Number of offered and completed requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    /// Requests, without retries.
    pub offered: u32,
    /// Requests that were answered in time.
    pub completed: u32,
}

impl Tally {
    /// Returns the share of the requests that was answered in time.
    pub fn share(self) -> f64 {
        f64::from(self.completed) / f64::from(self.offered.max(1))
    }

    fn sum(tallies: impl Iterator<Item = Self>) -> Self {
        tallies.fold(Self::default(), |sum, tally| Self {
            offered: sum.offered + tally.offered,
            completed: sum.completed + tally.completed,
        })
    }
}

/// Requests that arrived in one window.
#[derive(Clone, Copy, Debug, Default)]
pub struct Count {
    /// All requests.
    pub all: Tally,
    /// Requests of the highest importance.
    pub critical: Tally,
    /// Requests of the kind that never waits for a downstream service.
    pub local: Tally,
}

/// Result of a scenario.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Counts by window of [`Outcome::WINDOW`].
    pub windows: Vec<Count>,
    /// Slot time spent on requests that were not answered in time, in percent.
    pub wasted_percent: f64,
    /// Requests that reached the gate for each one that was answered in time.
    pub reached_per_answer: f64,
    /// Concurrency limit at the end.
    pub limit: u32,
}

impl Outcome {
    /// Length of a window.
    pub const WINDOW: Duration = Duration::from_millis(250);
    /// Windows per second.
    pub const PER_SEC: usize = 4;

    /// Returns the sum over the requests that arrived between two seconds.
    pub fn sum(&self, from: u64, to: u64, of: impl Fn(&Count) -> Tally) -> Tally {
        let windows = &self.windows[from as usize * Self::PER_SEC..to as usize * Self::PER_SEC];
        Tally::sum(windows.iter().map(of))
    }

    /// Returns the answers in time per second, for the requests that arrived between two seconds.
    pub fn goodput(&self, from: u64, to: u64) -> f64 {
        f64::from(self.sum(from, to, |c| c.all).completed) / (to - from) as f64
    }

    /// Returns the time from second `end` until the share of requests answered in time permanently
    /// reaches 95 % of that between the seconds `before`.
    pub fn recovery(&self, before: (u64, u64), end: u64) -> Duration {
        let wanted = 0.95 * self.sum(before.0, before.1, |c| c.all).share();
        // Requests of the last second may still be running at the end.
        let last = self.windows.len() - Self::PER_SEC;
        let after = &self.windows[end as usize * Self::PER_SEC..last];
        let last_below = after.iter().rposition(|w| w.all.share() < wanted);
        Self::WINDOW * last_below.map_or(0, |last| last as u32 + 1)
    }
}
