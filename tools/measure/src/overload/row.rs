//! Results of one offered load.

use rhubarblanding_core::collections::HashMap;
use serde::Serialize;

use crate::figures::KindFigures;
use crate::output::{Row, decimal, top_counts};
use crate::system::System;

/// Number of failure reasons in the table.
const REASONS_SHOWN: usize = 3;

/// Offered load relative to the capacity of the bottleneck.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferedLoad {
    /// Half of the capacity.
    Half,
    /// The capacity.
    Full,
    /// Twice the capacity.
    Double,
    /// Four times the capacity.
    Fourfold,
    /// Ten times the capacity.
    Tenfold,
}

impl OfferedLoad {
    /// All loads, rising.
    pub const ALL: [Self; 5] = [
        Self::Half,
        Self::Full,
        Self::Double,
        Self::Fourfold,
        Self::Tenfold,
    ];

    /// Multiple of the capacity.
    pub fn factor(self) -> f64 {
        match self {
            Self::Half => 0.5,
            Self::Full => 1.0,
            Self::Double => 2.0,
            Self::Fourfold => 4.0,
            Self::Tenfold => 10.0,
        }
    }
}

/// Results of one system at one offered load.
#[derive(Clone, Debug, Serialize)]
pub struct LevelRow {
    /// System.
    pub system: System,
    /// Offered load as a multiple of the capacity of the bottleneck.
    pub factor: f64,
    /// Requests offered in a second.
    pub offered_per_s: f64,
    /// Requests completed in a second.
    pub completed_per_s: f64,
    /// Completed requests as a share of the most of any system at any load.
    pub share_of_peak_percent: f64,
    /// Worth of the requests completed in a second.
    pub weighted_per_s: f64,
    /// Worth as a share of the greatest that as many completions as at the peak can have.
    pub weighted_of_attainable_percent: f64,
    /// By kind.
    pub kinds: Vec<KindFigures>,
    /// Service time spent on requests that were not completed.
    pub wasted_percent: f64,
    /// Requests that reached the last service for each root request that a user made.
    pub bottom_arrivals_per_request: f64,
    /// Runs at the last service for each call that ran there.
    pub bottom_runs_per_call: f64,
    /// Median latency of completed requests.
    pub p50_ms: f64,
    /// 99th percentile of the latency of completed requests.
    pub p99_ms: f64,
    /// Answers with a wrong body.
    pub wrong_answers: u64,
    /// Failed attempts by reason.
    pub failures: HashMap<String, u64>,
}

impl Row for LevelRow {
    const HEADINGS: &'static [&'static str] = &[
        "system",
        "load",
        "offered/s",
        "completed/s",
        "of peak %",
        "weighted/s",
        "of best %",
        "by kind %",
        "wasted %",
        "bottom/request",
        "runs/call",
        "p50 ms",
        "p99 ms",
        "wrong",
        "failed attempts",
    ];

    fn cells(&self) -> Vec<String> {
        let kinds = self
            .kinds
            .iter()
            .map(|kind| decimal(kind.completed_percent()));
        vec![
            self.system.to_string(),
            format!("{}x", self.factor),
            format!("{:.0}", self.offered_per_s),
            format!("{:.0}", self.completed_per_s),
            decimal(self.share_of_peak_percent),
            format!("{:.0}", self.weighted_per_s),
            decimal(self.weighted_of_attainable_percent),
            kinds.collect::<Vec<_>>().join("/"),
            decimal(self.wasted_percent),
            format!("{:.2}", self.bottom_arrivals_per_request),
            format!("{:.3}", self.bottom_runs_per_call),
            decimal(self.p50_ms),
            decimal(self.p99_ms),
            self.wrong_answers.to_string(),
            top_counts(&self.failures, REASONS_SHOWN),
        ]
    }
}
