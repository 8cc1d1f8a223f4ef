//! Figures drawn from the outcomes of a load and the run logs of backend servers.

use std::time::Duration;

use hdrhistogram::Histogram;
use rhubarblanding_core::collections::{HashMap, HashSet};
use rhubarblanding_standins::backend::Run;
use rhubarblanding_standins::load::{Ending, KindReport, Outcome, new_histogram, quantile_ms};
use serde::Serialize;

/// Stretch of a load, by time of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Window {
    /// Beginning, since the start of the load.
    pub from: Duration,
    /// End, since the start of the load.
    pub to: Duration,
}

impl Window {
    /// Length in seconds.
    pub fn seconds(&self) -> f64 {
        (self.to - self.from).as_secs_f64()
    }

    /// Whether a request arrived within the window.
    pub fn holds(&self, outcome: &Outcome) -> bool {
        (self.from..self.to).contains(&outcome.arrived)
    }
}

/// Figures of one kind within a window.
#[derive(Clone, Debug, Serialize)]
pub struct KindFigures {
    /// Name of the kind.
    pub name: String,
    /// Worth of one completed request.
    pub weight: f64,
    /// Requests that arrived.
    pub offered: u64,
    /// Requests completed.
    pub completed: u64,
}

impl KindFigures {
    /// Share of the requests that were completed, in percent.
    pub fn completed_percent(&self) -> f64 {
        percent(self.completed as f64, self.offered as f64)
    }
}

/// Figures of all kinds within a window.
#[derive(Clone, Debug)]
pub struct WindowFigures {
    /// Length in seconds.
    pub seconds: f64,
    /// By kind.
    pub kinds: Vec<KindFigures>,
    /// Failed attempts by reason.
    pub failures: HashMap<String, u64>,
    /// Latency of completed requests, from arrival, in microseconds.
    pub latency: Histogram<u64>,
    /// Answers with a wrong body.
    pub wrong_answers: u64,
}

impl WindowFigures {
    /// Figures of the outcomes that arrived within `window`.
    pub fn new(kinds: &[KindReport], outcomes: &[Outcome], window: Window) -> Self {
        let mut figures = Self {
            seconds: window.seconds(),
            kinds: kinds.iter().map(empty).collect(),
            failures: HashMap::default(),
            latency: new_histogram(),
            wrong_answers: 0,
        };
        let inside = outcomes.iter().filter(|outcome| window.holds(outcome));
        inside.for_each(|outcome| figures.add(outcome));
        figures
    }

    fn add(&mut self, outcome: &Outcome) {
        let Some(kind) = self.kinds.get_mut(outcome.kind) else {
            return;
        };
        kind.offered += 1;
        if outcome.is_completed() {
            kind.completed += 1;
            let latency = outcome.ended - outcome.arrived;
            self.latency.saturating_record(latency.as_micros() as u64);
        }
        for attempt in &outcome.attempts {
            if attempt.ending == Ending::Completed {
                continue;
            }
            self.wrong_answers += u64::from(attempt.ending == Ending::WrongAnswer);
            *self.failures.entry(attempt.ending.reason()).or_default() += 1;
        }
    }

    /// Requests that arrived.
    pub fn offered(&self) -> u64 {
        self.kinds.iter().map(|kind| kind.offered).sum()
    }

    /// Requests completed.
    pub fn completed(&self) -> u64 {
        self.kinds.iter().map(|kind| kind.completed).sum()
    }

    /// Worth of the completed requests.
    pub fn completed_worth(&self) -> f64 {
        let worth = |kind: &KindFigures| kind.weight * kind.completed as f64;
        self.kinds.iter().map(worth).sum()
    }

    /// Worth of the requests that arrived.
    pub fn offered_worth(&self) -> f64 {
        let worth = |kind: &KindFigures| kind.weight * kind.offered as f64;
        self.kinds.iter().map(worth).sum()
    }

    /// Greatest worth that `completions` of the requests that arrived can have.
    pub fn attainable_worth(&self, completions: f64) -> f64 {
        let mut kinds: Vec<&KindFigures> = self.kinds.iter().collect();
        kinds.sort_by(|a, b| b.weight.total_cmp(&a.weight));
        let mut left = completions;
        let mut worth = 0.0;
        for kind in kinds {
            let taken = left.min(kind.offered as f64);
            left -= taken;
            worth += taken * kind.weight;
        }
        worth
    }

    /// Quantile of the latency of completed requests in milliseconds.
    pub fn latency_ms(&self, quantile: f64) -> f64 {
        quantile_ms(&self.latency, quantile)
    }
}

/// Time that backend servers spent on requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Work {
    /// Time spent on all requests, in seconds.
    pub total_s: f64,
    /// Time spent on requests that were not completed, in seconds.
    pub wasted_s: f64,
}

impl Work {
    /// Share of the time that was spent on requests that were not completed, in percent.
    pub fn wasted_percent(&self) -> f64 {
        percent(self.wasted_s, self.total_s)
    }
}

/// Time spent on the requests of a load whose identifiers begin with `prefix`.
pub fn work(runs: &[Run], outcomes: &[Outcome], prefix: &str) -> Work {
    let completed: HashSet<&str> = outcomes
        .iter()
        .filter(|outcome| outcome.is_completed())
        .map(|outcome| outcome.request_id.as_str())
        .collect();
    let mut work = Work::default();
    for run in runs.iter().filter(|run| run.request_id.starts_with(prefix)) {
        let seconds = run.busy_us as f64 / 1e6;
        work.total_s += seconds;
        if !completed.contains(root_of(&run.request_id)) {
            work.wasted_s += seconds;
        }
    }
    work
}

/// Identifier of the root request of a call.
pub fn root_of(request_id: &str) -> &str {
    request_id.split('.').next().unwrap_or(request_id)
}

/// `part` as a share of `whole` in percent, zero if there is no whole.
pub fn percent(part: f64, whole: f64) -> f64 {
    if whole > 0.0 {
        100.0 * part / whole
    } else {
        0.0
    }
}

fn empty(kind: &KindReport) -> KindFigures {
    KindFigures {
        name: kind.name.clone(),
        weight: kind.weight,
        offered: 0,
        completed: 0,
    }
}
