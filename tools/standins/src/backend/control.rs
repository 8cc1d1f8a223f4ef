//! Behaviour of a backend server that can be changed while it runs, and what it counts.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::settings::BackendSettings;

/// Change of behaviour; fields that are absent stay as they are.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ControlChange {
    /// Mean service time in microseconds.
    pub service_time_us: Option<u64>,
    /// Requests that run at a time.
    pub slots: Option<u32>,
    /// Slots named in the announcement.
    pub announced_slots: Option<u32>,
    /// Whether the health endpoint says healthy.
    pub healthy: Option<bool>,
    /// Whether the announcements to the node go on.
    pub announce: Option<bool>,
    /// Whether the backend server asks its node to drain.
    pub drain: Option<bool>,
    /// Whether every request fails after its work.
    pub fail: Option<bool>,
    /// Requests, running or waiting, above which the backend server sheds.
    pub shed_above: Option<u32>,
}

/// Behaviour in force.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Control {
    /// Mean service time.
    pub service_time: Duration,
    /// Requests that run at a time.
    pub slots: u32,
    /// Slots named in the announcement.
    pub announced_slots: u32,
    /// What the health endpoint says.
    pub healthy: bool,
    /// Whether the announcements to the node go on.
    pub announce: bool,
    /// Whether the backend server is leaving.
    pub drain: bool,
    /// Whether every request fails after its work.
    pub fail: bool,
    /// Requests, running or waiting, above which the backend server sheds.
    pub shed_above: Option<u32>,
}

impl Control {
    /// Behaviour at the start.
    pub fn new(cfg: &BackendSettings) -> Self {
        Self {
            service_time: cfg.service_time,
            slots: cfg.slots,
            announced_slots: cfg.announced_slots.unwrap_or(cfg.slots),
            healthy: true,
            announce: true,
            drain: false,
            fail: false,
            shed_above: cfg.shed_above,
        }
    }

    /// Behaviour after `change`.
    pub fn changed(mut self, change: ControlChange) -> Self {
        if let Some(us) = change.service_time_us {
            self.service_time = Duration::from_micros(us);
        }
        if let Some(slots) = change.slots {
            self.slots = slots;
            self.announced_slots = slots;
        }
        self.announced_slots = change.announced_slots.unwrap_or(self.announced_slots);
        self.healthy = change.healthy.unwrap_or(self.healthy);
        self.announce = change.announce.unwrap_or(self.announce);
        self.drain = change.drain.unwrap_or(self.drain);
        self.fail = change.fail.unwrap_or(self.fail);
        self.shed_above = change.shed_above.or(self.shed_above);
        self
    }
}

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// Counts since the start.
        #[derive(Debug, Default)]
        pub struct Counters {
            $($(#[$doc])* pub $name: AtomicU64,)*
        }

        /// Copy of [`Counters`] at one point in time.
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
        pub struct CounterValues {
            $($(#[$doc])* pub $name: u64,)*
        }

        impl Counters {
            /// Values at this point.
            pub fn values(&self) -> CounterValues {
                CounterValues {
                    $($name: self.$name.load(Ordering::Relaxed),)*
                }
            }
        }
    };
}

counters! {
    /// Requests that arrived.
    arrived,
    /// Requests that began to run.
    started,
    /// Requests answered with success.
    completed,
    /// Requests whose connection was closed before the answer.
    cancelled,
    /// Requests refused because too many were running or waiting.
    shed,
    /// Requests whose deadline passed before they began to run.
    expired,
    /// Distinct downstream calls.
    calls,
    /// Requests sent for downstream calls, repeats included.
    call_attempts,
    /// Downstream calls that failed after all repeats.
    call_failures,
    /// Downstream answers with a wrong body.
    wrong_answers,
}

/// Adds one to a counter.
pub fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}
