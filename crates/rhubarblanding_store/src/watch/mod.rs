//! Watch of one key that continues after outages of the service.

use std::time::Duration;

use error_stack::Report;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::backoff::{Backoff, BackoffSettings};
use crate::client::{StoreClient, StoreResult};
use crate::error::{StoreError, detail};
use crate::key::Key;
use crate::value::{Era, Revision, Versioned, WatchOutcome};

/// Settings of a [`WatchLoop`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchSettings {
    /// Time that one watch call waits at the service, where it counts as one call. A dead
    /// connection is detected after this time plus the time limit of a call, or when another call
    /// of the same client gets no answer.
    pub wait: Duration,
    /// Delays between attempts while the service fails.
    pub backoff: BackoffSettings,
}

impl Default for WatchSettings {
    fn default() -> Self {
        Self {
            wait: Duration::from_secs(2),
            backoff: BackoffSettings::default(),
        }
    }
}

/// Change of a watched key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// The key has a newer value.
    Changed(Versioned),
    /// The key was removed at this revision.
    Removed(Revision),
}

/// Watches one key: yields its current value first and then each newer one. Values that are
/// replaced quickly may be skipped. Revisions never decrease; after the service was restored from
/// an older copy, the restored value is yielded, though its content may be older.
#[derive(Debug)]
pub struct WatchLoop {
    client: StoreClient,
    era: watch::Receiver<Era>,
    /// Calls of the client that got no answer.
    losses: watch::Receiver<()>,
    key: Key,
    settings: WatchSettings,
    rng: SmallRng,
    backoff: Backoff,
    /// Newest revision of the key that was yielded.
    after: Revision,
    /// Revision of the service up to which changes are known.
    position: Revision,
    read_first: bool,
    reachable: watch::Sender<bool>,
}

impl WatchLoop {
    /// Creates a loop that draws its jitter from `seed`.
    pub fn new(client: StoreClient, key: Key, settings: WatchSettings, seed: u64) -> Self {
        Self {
            era: client.watch_era(),
            losses: client.watch_losses(),
            client,
            key,
            settings,
            rng: SmallRng::seed_from_u64(seed),
            backoff: Backoff::new(settings.backoff),
            after: Revision::ABSENT,
            position: Revision::ABSENT,
            read_first: true,
            reachable: watch::Sender::new(true),
        }
    }

    /// Returns `true` if the last call was answered.
    pub fn is_reachable(&self) -> bool {
        *self.reachable.borrow()
    }

    /// Returns a receiver of whether the last call was answered.
    pub fn watch_reachable(&self) -> watch::Receiver<bool> {
        self.reachable.subscribe()
    }

    /// Has the next call read the key. A watch that waits on a dead connection is to be dropped
    /// before.
    pub fn restart(&mut self) {
        self.read_first = true;
    }

    /// Waits for the next event, retrying after any number of failures.
    ///
    /// It is cancel safe: it may be dropped at any point and called again without missing the
    /// newest value.
    pub async fn next(&mut self) -> WatchEvent {
        loop {
            let began_at = Instant::now();
            let (mut era, mut losses) = (self.era.clone(), self.losses.clone());
            let is_waiting = !self.read_first;
            let result = tokio::select! {
                result = self.call() => result,
                // A waiting watch may never learn that its position is of an earlier era.
                Ok(()) = era.changed() => Err(Report::new(StoreError::EraChanged)),
                // Its own connection may be dead too.
                Ok(()) = losses.changed(), if is_waiting => {
                    Err(Report::new(StoreError::Unavailable).attach("another call got no answer"))
                }
            };
            self.era.mark_unchanged();
            self.losses.mark_unchanged();
            match result {
                Ok(watched) => {
                    self.record_answer();
                    if let Some(event) = self.advance(watched) {
                        self.backoff.reset();
                        return event;
                    }
                }
                Err(report) => {
                    // Changes may have been missed, and their history may have been dropped.
                    self.read_first = true;
                    self.record_failure(&report, began_at);
                }
            }
            self.pause(began_at).await;
        }
    }

    /// Reads the key if its current value may be unknown, else waits for its next change.
    async fn call(&mut self) -> StoreResult<WatchOutcome> {
        if !self.read_first {
            let watched = self
                .client
                .watch(&self.key, self.position, self.settings.wait);
            let watched = watched.await;
            let gone =
                |report: &Report<StoreError>| *report.current_context() == StoreError::HistoryGone;
            if !watched.as_ref().is_err_and(gone) {
                return watched;
            }
            self.read_first = true;
        }
        let value = self.client.get(&self.key).await?;
        self.read_first = false;
        Ok(value.map_or(
            WatchOutcome::Unchanged(Revision::ABSENT),
            WatchOutcome::Changed,
        ))
    }

    /// Waits before the next call, unless the service itself has waited. A service that fails
    /// or answers at once without a change must not be called in a tight loop.
    async fn pause(&mut self, began_at: Instant) {
        let min_wait = (self.settings.wait / 2).max(self.settings.backoff.first);
        if self.is_reachable() && began_at.elapsed() >= min_wait {
            self.backoff.reset();
            return;
        }
        let delay = self.backoff.next_delay(&mut self.rng);
        tokio::time::sleep(delay).await;
    }

    /// Returns the event if its revision is above the newest one yielded.
    fn advance(&mut self, watched: WatchOutcome) -> Option<WatchEvent> {
        let (revision, event) = match watched {
            WatchOutcome::Changed(new) => (new.revision, WatchEvent::Changed(new)),
            WatchOutcome::Removed(revision) => (revision, WatchEvent::Removed(revision)),
            WatchOutcome::Unchanged(position) => {
                self.position = self.position.max(position);
                return None;
            }
        };
        self.position = self.position.max(revision);
        if revision <= self.after {
            return None;
        }
        self.after = revision;
        Some(event)
    }

    fn record_answer(&mut self) {
        if !self.reachable.send_replace(true) {
            log::info!(key:% = self.key; "watch_answered");
        }
    }

    fn record_failure(&mut self, report: &Report<StoreError>, began_at: Instant) {
        if self.reachable.send_replace(false) {
            let reason: &'static str = report.current_context().into();
            let waited_ms = began_at.elapsed().as_millis() as u64;
            log::warn!(
                key:% = self.key, reason = reason, detail = detail(report), waited_ms = waited_ms,
                revision = self.after.number();
                "watch_failed"
            );
        }
    }
}
