//! Log of the requests that reached a backend server and of their runs.

use std::sync::Mutex;
use std::time::Duration;

use rhubarblanding_core::collections::HashMap;
use serde::{Deserialize, Serialize};

/// What is known about one request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Identifier that the caller gave to the request.
    pub request_id: String,
    /// Idempotency key, if the request had one.
    pub idempotency_key: Option<String>,
    /// Number of times that the request arrived.
    pub arrivals: u32,
    /// Number of times that the request began to run.
    pub runs: u32,
    /// Time that its own work held a slot, in microseconds.
    pub busy_us: u64,
}

/// Log of arrivals and runs by request.
#[derive(Debug, Default)]
pub struct RunLog {
    runs: Mutex<HashMap<String, Run>>,
}

impl RunLog {
    /// Records that a request arrived.
    pub fn arrive(&self, request_id: &str, idempotency_key: Option<&str>) {
        let Ok(mut runs) = self.runs.lock() else {
            return;
        };
        let run = runs.entry(request_id.to_owned()).or_insert_with(|| Run {
            request_id: request_id.to_owned(),
            idempotency_key: idempotency_key.map(str::to_owned),
            ..Run::default()
        });
        run.arrivals += 1;
    }

    /// Records that a request that arrived began to run.
    pub fn begin(&self, request_id: &str) {
        self.change(request_id, |run| run.runs += 1);
    }

    /// Adds time spent on a request.
    pub fn add_busy(&self, request_id: &str, busy: Duration) {
        self.change(request_id, |run| run.busy_us += busy.as_micros() as u64);
    }

    fn change(&self, request_id: &str, change: impl FnOnce(&mut Run)) {
        let Ok(mut runs) = self.runs.lock() else {
            return;
        };
        if let Some(run) = runs.get_mut(request_id) {
            change(run);
        }
    }

    /// All requests so far.
    pub fn all(&self) -> Vec<Run> {
        self.runs
            .lock()
            .map(|runs| runs.values().cloned().collect())
            .unwrap_or_default()
    }

    /// Forgets all runs.
    pub fn clear(&self) {
        if let Ok(mut runs) = self.runs.lock() {
            runs.clear();
        }
    }
}
