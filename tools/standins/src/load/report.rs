//! What a load saw.

use std::time::Duration;

use hdrhistogram::Histogram;
use rhubarblanding_core::collections::HashMap;
use rhubarblanding_core::error::RunState;
use serde::Serialize;

use super::settings::{LoadKind, LoadSettings};

/// Greatest latency that a histogram holds, in microseconds.
const MAX_LATENCY_US: u64 = 120_000_000;

/// How the last attempt of a request ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// The whole answer came and every byte is right.
    Completed,
    /// The answer is not the one that belongs to the request.
    WrongAnswer,
    /// The system or a backend server refused or failed the request.
    Refused(Refused),
    /// The connection could not be opened, or it broke.
    Connection,
    /// The time of the client has passed.
    Timeout,
}

/// A refusal as the caller sees it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize)]
pub struct Refused {
    /// HTTP status code.
    pub status: u16,
    /// Error kind named by the system, empty if it named none.
    pub error: String,
    /// Run state named by the answer.
    pub run_state: Option<RunState>,
}

impl Ending {
    /// Short name for the table of refusals.
    pub fn reason(&self) -> String {
        match self {
            Self::Completed => "completed".to_owned(),
            Self::WrongAnswer => "wrong_answer".to_owned(),
            Self::Refused(refused) if refused.error.is_empty() => {
                format!("status_{}", refused.status)
            }
            Self::Refused(refused) => refused.error.clone(),
            Self::Connection => "connection".to_owned(),
            Self::Timeout => "timeout".to_owned(),
        }
    }
}

/// One attempt of a request.
#[derive(Clone, Debug, Serialize)]
pub struct Attempt {
    /// How it ended.
    pub ending: Ending,
    /// Time from sending to the end of the answer.
    pub latency: Duration,
}

/// One request with all its attempts.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// Identifier of the request.
    pub request_id: String,
    /// Idempotency key, if the request had one.
    pub idempotency_key: Option<String>,
    /// Index into the kinds.
    pub kind: usize,
    /// Time of arrival since the start of the load.
    pub arrived: Duration,
    /// Time of the end since the start of the load.
    pub ended: Duration,
    /// All attempts, never empty.
    pub attempts: Vec<Attempt>,
}

impl Outcome {
    /// Whether the whole right answer came.
    pub fn is_completed(&self) -> bool {
        self.attempts
            .last()
            .is_some_and(|attempt| attempt.ending == Ending::Completed)
    }

    /// Whether every attempt was refused as not run.
    pub fn is_not_run(&self) -> bool {
        self.attempts.iter().all(|attempt| {
            matches!(&attempt.ending, Ending::Refused(refused)
                if refused.run_state == Some(RunState::NotRun))
        })
    }
}

/// Figures of one kind.
#[derive(Clone, Debug, Serialize)]
pub struct KindReport {
    /// Name of the kind.
    pub name: String,
    /// Worth of one completed request.
    pub weight: f64,
    /// Requests that arrived.
    pub offered: u64,
    /// Requests completed with the whole right answer.
    pub completed: u64,
    /// Attempts sent.
    pub attempts: u64,
    /// Answers with a wrong body.
    pub wrong_answers: u64,
    /// Attempts that failed, by reason.
    pub failures: HashMap<String, u64>,
    /// Median latency of completed attempts in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the latency of completed attempts in milliseconds.
    pub p99_ms: f64,
    /// Latency of completed attempts in microseconds.
    #[serde(skip)]
    pub latency: Histogram<u64>,
}

impl KindReport {
    fn new(kind: &LoadKind) -> Self {
        Self {
            name: kind.name.clone(),
            weight: kind.weight,
            offered: 0,
            completed: 0,
            attempts: 0,
            wrong_answers: 0,
            failures: HashMap::default(),
            p50_ms: 0.0,
            p99_ms: 0.0,
            latency: new_histogram(),
        }
    }

    /// Share of the offered requests that were completed.
    pub fn completed_share(&self) -> f64 {
        self.completed as f64 / (self.offered.max(1)) as f64
    }

    fn add(&mut self, outcome: &Outcome) {
        self.offered += 1;
        self.completed += u64::from(outcome.is_completed());
        for attempt in &outcome.attempts {
            self.attempts += 1;
            self.add_attempt(attempt);
        }
    }

    fn add_attempt(&mut self, attempt: &Attempt) {
        if attempt.ending == Ending::Completed {
            self.latency
                .saturating_record(attempt.latency.as_micros() as u64);
            return;
        }
        self.wrong_answers += u64::from(attempt.ending == Ending::WrongAnswer);
        *self.failures.entry(attempt.ending.reason()).or_default() += 1;
    }

    fn summarize(&mut self) {
        self.p50_ms = quantile_ms(&self.latency, 0.5);
        self.p99_ms = quantile_ms(&self.latency, 0.99);
    }
}

/// Figures of a load.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Seed of the load.
    pub seed: u64,
    /// Time over which requests arrived.
    pub duration: Duration,
    /// Weighted goodput in each interval, by time of completion.
    pub series: Vec<f64>,
    /// Length of one interval of the series.
    pub interval: Duration,
    /// Greatest delay between scheduled and real sending.
    pub max_send_delay: Duration,
    /// Figures by kind.
    pub kinds: Vec<KindReport>,
    /// Every request.
    #[serde(skip)]
    pub outcomes: Vec<Outcome>,
}

impl Report {
    /// Figures of `outcomes`.
    pub fn new(cfg: &LoadSettings, outcomes: Vec<Outcome>, max_send_delay: Duration) -> Self {
        let duration = cfg.phases.iter().map(|phase| phase.duration).sum();
        let mut report = Self {
            seed: cfg.seed,
            duration,
            series: Vec::new(),
            interval: cfg.interval,
            max_send_delay,
            kinds: cfg.kinds.iter().map(KindReport::new).collect(),
            outcomes: Vec::new(),
        };
        for outcome in &outcomes {
            report.add(outcome);
        }
        report.kinds.iter_mut().for_each(KindReport::summarize);
        report.outcomes = outcomes;
        report
    }

    /// Weighted goodput in a second, over the time in which requests arrived.
    pub fn goodput(&self) -> f64 {
        let worth: f64 = self
            .kinds
            .iter()
            .map(|kind| kind.weight * kind.completed as f64)
            .sum();
        worth / self.duration.as_secs_f64()
    }

    /// Number of completed requests.
    pub fn completed(&self) -> u64 {
        self.kinds.iter().map(|kind| kind.completed).sum()
    }

    /// Number of answers with a wrong body.
    pub fn wrong_answers(&self) -> u64 {
        self.kinds.iter().map(|kind| kind.wrong_answers).sum()
    }

    /// Failed attempts of all kinds, by reason.
    pub fn failures(&self) -> HashMap<String, u64> {
        let mut total: HashMap<String, u64> = HashMap::default();
        for (reason, count) in self.kinds.iter().flat_map(|kind| &kind.failures) {
            *total.entry(reason.clone()).or_default() += count;
        }
        total
    }

    /// Latency of the completed attempts of all kinds in microseconds.
    pub fn latency(&self) -> Histogram<u64> {
        let mut total = new_histogram();
        for kind in &self.kinds {
            // The histograms have the same bounds, so that nothing can be out of range.
            let _ = total.add(&kind.latency);
        }
        total
    }

    fn add(&mut self, outcome: &Outcome) {
        let Some(kind) = self.kinds.get_mut(outcome.kind) else {
            return;
        };
        kind.add(outcome);
        if !outcome.is_completed() {
            return;
        }
        let index = (outcome.ended.as_micros() / self.interval.as_micros().max(1)) as usize;
        if self.series.len() <= index {
            self.series.resize(index + 1, 0.0);
        }
        self.series[index] += kind.weight;
    }
}

/// Quantile of a histogram of microseconds, in milliseconds.
pub fn quantile_ms(latency: &Histogram<u64>, quantile: f64) -> f64 {
    latency.value_at_quantile(quantile) as f64 / 1_000.0
}

/// Histogram of microseconds with three significant digits.
pub fn new_histogram() -> Histogram<u64> {
    match Histogram::new_with_max(MAX_LATENCY_US, 3) {
        Ok(histogram) => histogram,
        Err(err) => unreachable!("the bounds are constant and valid: {err}"),
    }
}
