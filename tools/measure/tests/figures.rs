//! Figures drawn from outcomes and run logs.

#![expect(clippy::unwrap_used, reason = "a failed step ends the test")]

use std::time::Duration;

use googletest::prelude::*;
use rhubarblanding_measure::figures::{Window, WindowFigures, root_of, work};
use rhubarblanding_measure::recovery::recovery;
use rhubarblanding_standins::backend::Run;
use rhubarblanding_standins::load::{Attempt, Ending, LoadKind, LoadSettings, Outcome, Report};

fn outcome(id: &str, kind: usize, arrived_ms: u64, ending: Ending) -> Outcome {
    let latency = Duration::from_millis(10);
    Outcome {
        request_id: id.to_owned(),
        idempotency_key: None,
        kind,
        arrived: Duration::from_millis(arrived_ms),
        ended: Duration::from_millis(arrived_ms) + latency,
        attempts: vec![Attempt { ending, latency }],
    }
}

fn report(outcomes: Vec<Outcome>) -> Report {
    let kinds: Vec<LoadKind> = ["top=GET,s,/a,1,10", "low=GET,s,/b,1,1"]
        .iter()
        .map(|kind| kind.parse().unwrap())
        .collect();
    let cfg = LoadSettings {
        kinds,
        ..LoadSettings::default()
    };
    Report::new(&cfg, outcomes, Duration::ZERO)
}

fn run(id: &str, busy_us: u64) -> Run {
    Run {
        request_id: id.to_owned(),
        runs: 1,
        busy_us,
        ..Run::default()
    }
}

fn recovery_is(series: &[f64], expected: Option<f64>) {
    assert_that!(recovery(series, 100.0), eq(expected));
}

rhubarblanding_core::cases! {
    recovery_is;
    at_once: (&[95.0, 100.0], Some(0.0));
    after_two_intervals: (&[10.0, 94.9, 99.0], Some(0.5));
    counted_from_the_last_dip: (&[99.0, 50.0, 99.0], Some(0.5));
    not_within_the_run: (&[99.0, 50.0], None);
}

#[test]
fn worth_counts_arrivals_within_the_window() {
    let report = report(vec![
        outcome("r-0", 0, 50, Ending::Completed),
        outcome("r-1", 0, 150, Ending::Completed),
        outcome("r-2", 1, 160, Ending::Timeout),
        outcome("r-3", 1, 170, Ending::Completed),
    ]);
    let window = Window {
        from: Duration::from_millis(100),
        to: Duration::from_millis(200),
    };
    let figures = WindowFigures::new(&report.kinds, &report.outcomes, window);
    assert_that!(figures.offered(), eq(3));
    assert_that!(figures.completed_worth(), eq(11.0));
    assert_that!(figures.offered_worth(), eq(12.0));
    assert_that!(figures.attainable_worth(1.5), eq(10.5));
    assert_that!(figures.failures["timeout"], eq(1));
}

#[test]
fn work_on_failed_requests_is_wasted_at_every_depth() {
    let outcomes = [
        outcome("r-0", 0, 0, Ending::Completed),
        outcome("r-1", 0, 0, Ending::Timeout),
    ];
    let runs = [
        run("r-0", 1_000),
        run("r-0.0", 2_000),
        run("r-1.0.0", 1_000),
        run("x-9", 50),
    ];
    assert_that!(work(&runs, &outcomes, "r-").wasted_percent(), eq(25.0));
    assert_that!(root_of("r-1.0.0"), eq("r-1"));
}
