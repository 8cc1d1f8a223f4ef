//! Counters and histograms of a process, and their text form.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use http::StatusCode;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;
use rhubarblanding_admission::slots::{RequestRate, SlotInputs};
use rhubarblanding_core::prelude::*;
use rhubarblanding_store::StoreClient;
use rhubarblanding_store::codec::CallKind;
use strum::IntoEnumIterator;

use crate::connection::AheadCounters;

/// Bucket boundaries of the latency histogram, in seconds.
const LATENCY_BOUNDS: [f64; 12] = [
    0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0,
];

/// Value of a gauge of an age while it is not known.
const NO_AGE: f64 = -1.0;
/// Largest rank that has a label of its own, so that the number of series is bounded.
const RANK_LABEL_MAX: u8 = 9;

/// Value of the gauge of the target's rate limit while it names none.
const NO_RATE: f64 = -1.0;

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ReasonLabel {
    reason: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct StatusLabel {
    status: u16,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct CallLabel {
    call: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct AccountLabel {
    account: String,
}

/// Backlog of a client account, compared with the others that wait for the local target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Backlog {
    /// No other account waits.
    Alone,
    /// At most the mean number of requests.
    Small,
    /// More than the mean number of requests.
    Large,
}

impl From<&SlotInputs> for Backlog {
    fn from(inputs: &SlotInputs) -> Self {
        let own = u64::from(inputs.queued_of_account);
        if own == u64::from(inputs.queued) {
            return Self::Alone;
        }
        match own * u64::from(inputs.accounts_queued) > u64::from(inputs.queued) {
            true => Self::Large,
            false => Self::Small,
        }
    }
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct WaitLabel {
    rank: u8,
    backlog: &'static str,
}

type WaitFamily = Family<WaitLabel, Histogram, fn() -> Histogram>;

fn latency_histogram() -> Histogram {
    Histogram::new(LATENCY_BOUNDS)
}

/// Counters and histograms of one process.
pub struct Metrics {
    registry: Registry,
    refusals: Vec<Counter>,
    answers: Family<StatusLabel, Counter>,
    latency: Histogram,
    target_failures: Counter,
    retries: Counter,
    retries_withheld: Counter,
    cancelled: Counter,
    configurations_refused: Counter,
    configuration_findings: Gauge,
    target_rate: Gauge<f64, AtomicU64>,
    lost_in_crash: Counter,
    accounts_age: Gauge<f64, AtomicU64>,
    configuration_age: Gauge<f64, AtomicU64>,
    ahead: AheadCounters,
    account_rates: Family<AccountLabel, Gauge<f64, AtomicU64>>,
    slot_waits: WaitFamily,
    store_calls: Family<CallLabel, Counter>,
    store_calls_unanswered: Family<CallLabel, Counter>,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("rhubarblanding");
        let reasons = Family::<ReasonLabel, Counter>::default();
        let refusals = ErrorKind::iter()
            .map(|kind| {
                let reason = kind.into();
                reasons.get_or_create(&ReasonLabel { reason }).clone()
            })
            .collect();
        let answers = Family::default();
        let latency = latency_histogram();
        let target_failures = Counter::default();
        let retries = Counter::default();
        let cancelled = Counter::default();
        registry.register(
            "refusals",
            "Requests that the system itself answered",
            reasons,
        );
        registry.register("answers", "Answers of targets by status", answers.clone());
        registry.register(
            "answer_seconds",
            "Time from the arrival of a request to the answer of a target",
            latency.clone(),
        );
        let help = "Requests that brought no usable answer of the local target";
        registry.register("target_failures", help, target_failures.clone());
        registry.register(
            "retries",
            "Requests sent to a second target",
            retries.clone(),
        );
        let retries_withheld = Counter::default();
        let help = "Requests not sent to a second target as their route may be out of force";
        registry.register("retries_withheld", help, retries_withheld.clone());
        let help = "Requests whose sender left before the answer";
        registry.register("cancelled", help, cancelled.clone());
        let configurations_refused = Counter::default();
        let help = "Configurations that could not be read at all";
        registry.register(
            "configurations_refused",
            help,
            configurations_refused.clone(),
        );
        let configuration_findings = Gauge::default();
        let help = "Faults in the active configuration";
        registry.register(
            "configuration_findings",
            help,
            configuration_findings.clone(),
        );
        let target_rate = Gauge::<f64, AtomicU64>::default();
        target_rate.set(NO_RATE);
        let help = "Requests per second that the local target takes; -1 if it names no limit";
        registry.register("target_rate_limit", help, target_rate.clone());
        let lost_in_crash = Counter::default();
        let help = "Requests that ran when the local target crashed";
        registry.register("lost_in_crash", help, lost_in_crash.clone());
        let accounts_age = Gauge::<f64, AtomicU64>::default();
        accounts_age.set(NO_AGE);
        let help =
            "Seconds since the active client accounts were known to be the newest; -1 if unknown";
        registry.register("accounts_age_seconds", help, accounts_age.clone());
        let configuration_age = Gauge::<f64, AtomicU64>::default();
        configuration_age.set(NO_AGE);
        let help =
            "Seconds since the active configuration was known to be the newest; -1 if unknown";
        registry.register("configuration_age_seconds", help, configuration_age.clone());
        let ahead = AheadCounters::default();
        let help = "Requests started before an earlier one of their connection was answered";
        registry.register("requests_ahead", help, ahead.requests.clone());
        let help = "Connections with requests that were started ahead";
        registry.register("connections_ahead", help, ahead.connections.clone());
        let account_rates = Family::<AccountLabel, Gauge<f64, AtomicU64>>::default();
        let help = "Requests per second of the busiest limited accounts at this node";
        registry.register("account_requests_per_second", help, account_rates.clone());
        let slot_waits = WaitFamily::new_with_constructor(latency_histogram);
        let help = "Time for which admitted requests waited for a slot of the local target";
        registry.register("slot_wait_seconds", help, slot_waits.clone());
        let store_calls = Family::default();
        let help = "Calls of the key-value service";
        registry.register("store_calls", help, store_calls.clone());
        let store_calls_unanswered = Family::default();
        let help = "Calls of the key-value service that got no answer";
        registry.register(
            "store_calls_unanswered",
            help,
            store_calls_unanswered.clone(),
        );
        Self {
            registry,
            refusals,
            answers,
            latency,
            target_failures,
            retries,
            retries_withheld,
            cancelled,
            configurations_refused,
            configuration_findings,
            target_rate,
            lost_in_crash,
            accounts_age,
            configuration_age,
            ahead,
            account_rates,
            slot_waits,
            store_calls,
            store_calls_unanswered,
        }
    }
}

impl Metrics {
    /// Counts an answer of the node itself.
    pub fn refused(&self, kind: ErrorKind) {
        if let Some(counter) = self.refusals.get(kind as usize) {
            counter.inc();
        }
    }

    /// Sets the age of the knowledge that the active client accounts are the newest.
    pub fn set_accounts_age(&self, age: Option<Duration>) {
        self.accounts_age
            .set(age.map_or(NO_AGE, |age| age.as_secs_f64()));
    }

    /// Sets the age of the knowledge that the active configuration is the newest.
    pub fn set_configuration_age(&self, age: Option<Duration>) {
        self.configuration_age
            .set(age.map_or(NO_AGE, |age| age.as_secs_f64()));
    }

    /// Counts an answer of a target.
    pub fn answered(&self, status: StatusCode, took: Duration) {
        let status = status.as_u16();
        self.answers.get_or_create(&StatusLabel { status }).inc();
        self.latency.observe(took.as_secs_f64());
    }

    /// Records the time for which an admitted request waited for a slot.
    pub fn waited_for_slot(&self, rank: u8, backlog: Backlog, waited: Duration) {
        let label = WaitLabel {
            rank: rank.min(RANK_LABEL_MAX),
            backlog: backlog.into(),
        };
        let waits = self.slot_waits.get_or_create(&label);
        waits.observe(waited.as_secs_f64());
    }

    /// Counts a request without a usable answer of the local target.
    pub fn target_failed(&self) {
        self.target_failures.inc();
    }

    /// Counts a request that ran when the local target crashed.
    pub fn lost_in_crash(&self) {
        self.lost_in_crash.inc();
    }

    /// Counters of requests that are started ahead of their turn.
    pub fn ahead(&self) -> &AheadCounters {
        &self.ahead
    }

    /// Counts a request that is sent to a second target.
    pub fn retried(&self) {
        self.retries.inc();
    }

    /// Counts a request that is not sent to a second target, as its route may be out of force.
    pub fn retry_withheld(&self) {
        self.retries_withheld.inc();
    }

    /// Counts a request whose sender disconnected before the answer.
    pub fn cancelled(&self) {
        self.cancelled.inc();
    }

    /// Counts a configuration that could not be read.
    pub fn configuration_refused(&self) {
        self.configurations_refused.inc();
    }

    /// Sets the number of faults in the active configuration.
    pub fn set_configuration_findings(&self, findings: usize) {
        self.configuration_findings.set(findings as i64);
    }

    /// Sets the rate limit that the local target names.
    pub fn set_target_rate(&self, rate: Option<RequestRate>) {
        let per_second = rate.map_or(NO_RATE, RequestRate::per_second);
        self.target_rate.set(per_second);
    }

    /// Sets the use of the busiest accounts; others are no longer shown.
    pub fn set_account_rates(&self, rates: impl Iterator<Item = (Arc<str>, f64)>) {
        self.account_rates.clear();
        for (account, per_second) in rates {
            let account = account.to_string();
            let gauge = self.account_rates.get_or_create(&AccountLabel { account });
            gauge.set(per_second);
        }
    }

    /// Returns all values in the OpenMetrics text format, with the calls that `store` has made.
    pub fn text(&self, store: &StoreClient) -> String {
        for kind in CallKind::iter() {
            let label = CallLabel { call: kind.into() };
            let calls = store.calls(kind);
            let set = |family: &Family<CallLabel, Counter>, count| {
                let counter = family.get_or_create(&label);
                counter.inner().store(count, Ordering::Relaxed);
            };
            set(&self.store_calls, calls.made);
            set(&self.store_calls_unanswered, calls.unanswered);
        }
        let mut text = String::new();
        if let Err(e) = encode(&mut text, &self.registry) {
            log::warn!(reason:% = e; "metrics_not_written");
        }
        text
    }
}
