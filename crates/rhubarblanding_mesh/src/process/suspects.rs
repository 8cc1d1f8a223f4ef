//! Requests that crash targets: what this node knows of them, and how nodes tell each other.

use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rhubarblanding_core::prelude::*;
use rhubarblanding_node::process::parking::{Mutex, lock};
use rhubarblanding_request::suspect::{
    CompletedRequests, CrashId, CrashRecord, Fingerprint, SuspectRecord, SuspectTable,
    SuspectVerdict,
};
use tokio::sync::{Notify, Semaphore, SemaphorePermit};

use super::member::other_nodes;
use super::message;
use super::shared::Shared;
use crate::request::SUSPECTS_PATH;

/// Time for which the crashes of one target are collected, so that they are sent in one message.
const COLLECT_TIME: Duration = Duration::from_millis(5);
/// Interval at which the table is sent to another node, for those that were not reached before or
/// have been restarted.
const SYNC_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of nodes that learn of a crash at once. In larger fleets the rest learns from them.
const FANOUT_MAX: usize = 128;
/// Maximum number of requests in one message.
const RECORDS_MAX: usize = 256;

/// Suspect requests that this node knows.
#[derive(Debug)]
pub struct Suspects {
    table: Mutex<SuspectTable>,
    /// What the local target completed lately.
    completed: Mutex<CompletedRequests>,
    crashed: Notify,
    /// Held by the isolated request that runs at the local target.
    isolation: Semaphore,
}

impl Default for Suspects {
    fn default() -> Self {
        Self {
            table: Mutex::default(),
            completed: Mutex::default(),
            crashed: Notify::new(),
            isolation: Semaphore::new(1),
        }
    }
}

impl Suspects {
    /// Decides on a request. Its fingerprint is needed only while some request is suspect.
    pub fn verdict(
        &self,
        now: MonoTime,
        fingerprint: impl FnOnce() -> Fingerprint,
    ) -> SuspectVerdict {
        if lock(&self.table).is_empty() {
            return SuspectVerdict::Allowed;
        }
        let fingerprint = fingerprint();
        lock(&self.table).verdict(now, fingerprint)
    }

    /// Returns the refusal of a request that must not run.
    pub fn refusal(
        &self,
        now: MonoTime,
        fingerprint: impl FnOnce() -> Fingerprint,
    ) -> Option<Refusal> {
        match self.verdict(now, fingerprint) {
            SuspectVerdict::Refused(left) => {
                Some(Refusal::with_retry_after(ErrorKind::CrashesTargets, left))
            }
            SuspectVerdict::Allowed | SuspectVerdict::Isolated => None,
        }
    }

    /// Waits until no other isolated request runs at the local target.
    pub async fn isolate(&self) -> Option<SemaphorePermit<'_>> {
        self.isolation.acquire().await.ok()
    }

    /// Records that a request ran when the local target crashed, and tells the other nodes. Returns
    /// `false` if it is no suspect: the target completed the same request before.
    pub fn record_crash(&self, now: MonoTime, crash: CrashId, fingerprint: Fingerprint) -> bool {
        if lock(&self.completed).contains(now, fingerprint) {
            return false;
        }
        let is_refused = lock(&self.table).record_crash(now, crash, fingerprint);
        if is_refused {
            log_refused(fingerprint);
        }
        self.crashed.notify_one();
        true
    }

    /// Records that the local target completed a request.
    pub fn record_served(&self, now: MonoTime, fingerprint: Fingerprint) {
        lock(&self.completed).record(now, fingerprint);
    }

    /// Records a crash that the node beside the target has found.
    pub fn learn_crash(&self, now: MonoTime, id: CrashId, fingerprint: Fingerprint) {
        let crash = CrashRecord {
            id,
            age_ms: 0,
            cleared: false,
        };
        self.merge(
            now,
            &[SuspectRecord {
                fingerprint,
                crashes: vec![crash],
            }],
        );
    }

    /// Records that a request was completed.
    pub fn record_completed(&self, fingerprint: impl FnOnce() -> Fingerprint) {
        if lock(&self.table).is_empty() {
            return;
        }
        let fingerprint = fingerprint();
        lock(&self.table).record_completed(fingerprint);
    }

    /// Applies the records of another node.
    pub fn merge(&self, now: MonoTime, records: &[SuspectRecord]) {
        let refused = lock(&self.table).merge(now, records);
        refused.into_iter().for_each(log_refused);
    }

    fn take_changed(&self, now: MonoTime) -> Vec<SuspectRecord> {
        let mut changed = lock(&self.table).take_changed(now);
        changed.truncate(RECORDS_MAX);
        changed
    }

    fn records(&self, now: MonoTime) -> Vec<SuspectRecord> {
        let mut table = lock(&self.table);
        table.expire(now);
        table.records(now, RECORDS_MAX)
    }
}

fn log_refused(fingerprint: Fingerprint) {
    log::warn!(fingerprint:% = fingerprint; "request_crashes_targets");
}

/// Tells other nodes of suspect requests; runs until the process ends.
pub async fn spread(node: Arc<Shared>) {
    let mut rng = SmallRng::from_os_rng();
    let mut sync = tokio::time::interval(SYNC_INTERVAL);
    loop {
        tokio::select! {
            () = node.suspects.crashed.notified() => {
                tokio::time::sleep(COLLECT_TIME).await;
                let records = node.suspects.take_changed(node.clock.now());
                let others = other_nodes(&node);
                for to in others.choose_multiple(&mut rng, FANOUT_MAX) {
                    message::send(&node, *to, SUSPECTS_PATH, &records);
                }
            }
            _ = sync.tick() => {
                let records = node.suspects.records(node.clock.now());
                if !records.is_empty()
                    && let Some(to) = other_nodes(&node).choose(&mut rng).copied()
                {
                    message::send(&node, to, SUSPECTS_PATH, &records);
                }
            }
        }
    }
}
