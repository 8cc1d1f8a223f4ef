//! Reads, updates and watches the document in the key-value service.

use std::time::Duration;

use error_stack::{Report, ResultExt};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rhubarblanding_store::backoff::{Backoff, BackoffSettings};
use rhubarblanding_store::watch::WatchEvent;
use rhubarblanding_store::{
    CasOutcome, Key, Revision, StoreClient, StoreError, Versioned, WatchLoop, WatchSettings,
};

use crate::DOCUMENT_KEY;
use crate::document::{Document, Verdict};
use crate::submit::{Step, StoredDocument, Submitter, SwapResult};

/// Client that reads the document and submits tickets.
#[derive(Clone, Debug)]
pub struct DocumentClient {
    store: StoreClient,
    key: Key,
    backoff: BackoffSettings,
}

impl DocumentClient {
    /// Creates a client for the document under [`DOCUMENT_KEY`].
    pub fn new(store: StoreClient) -> Self {
        Self {
            store,
            key: Key::from_static(DOCUMENT_KEY),
            backoff: BackoffSettings::default(),
        }
    }

    /// Reads the document, which is empty before the first ticket.
    ///
    /// # Errors
    ///
    /// [`StoreError::Unavailable`], or [`StoreError::InvalidAnswer`] if the value is not a
    /// document that this release supports.
    pub async fn read(&self) -> Result<StoredDocument, Report<StoreError>> {
        match self.store.get(&self.key).await? {
            Some(versioned) => parse(versioned),
            None => Ok(StoredDocument::default()),
        }
    }

    /// Runs the steps of `submitter` until its verdict is final or `limit` has passed.
    ///
    /// Call it again with the same submitter to continue. `seed` determines the jitter between
    /// attempts.
    pub async fn submit(&self, submitter: &mut Submitter, limit: Duration, seed: u64) -> Verdict {
        let steps = self.settle(submitter, seed);
        // A step that is cancelled has the same effect as one whose answer was lost.
        if tokio::time::timeout(limit, steps).await.is_err() {
            submitter.on_swap(SwapResult::AnswerLost);
        }
        submitter.verdict()
    }

    async fn settle(&self, submitter: &mut Submitter, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut backoff = Backoff::new(self.backoff);
        loop {
            let answered = match submitter.step() {
                Step::Done(_) => return,
                Step::Read => self.read_for(submitter).await,
                Step::Swap { expected, document } => {
                    let result = self.swap(expected, &document).await;
                    submitter.on_swap(result);
                    matches!(result, SwapResult::Stored | SwapResult::Conflict)
                }
            };
            match answered {
                true => backoff.reset(),
                false => tokio::time::sleep(backoff.next_delay(&mut rng)).await,
            }
        }
    }

    /// Reads the document for `submitter` and returns `false` if that failed.
    async fn read_for(&self, submitter: &mut Submitter) -> bool {
        let read = self.read().await;
        if let Ok(read) = &read {
            submitter.on_read(read);
        }
        read.is_ok()
    }

    async fn swap(&self, expected: Revision, document: &Document) -> SwapResult {
        let value = document.to_bytes().into();
        let swapped = self
            .store
            .compare_and_swap(&self.key, expected, value)
            .await;
        match swapped {
            Ok(CasOutcome::Stored(_)) => SwapResult::Stored,
            Ok(CasOutcome::Conflict(_)) => SwapResult::Conflict,
            Err(report) => match report.current_context() {
                // After a restore, the swap may have been applied to the restored data.
                StoreError::AnswerLost | StoreError::EraChanged => SwapResult::AnswerLost,
                _ => SwapResult::NotApplied,
            },
        }
    }
}

/// Watch of the document that continues after outages of the key-value service.
#[derive(Debug)]
pub struct DocumentWatch {
    watch: WatchLoop,
}

impl DocumentWatch {
    /// Creates a watch; `seed` determines its jitter.
    pub fn new(store: StoreClient, settings: WatchSettings, seed: u64) -> Self {
        let key = Key::from_static(DOCUMENT_KEY);
        Self {
            watch: WatchLoop::new(store, key, settings, seed),
        }
    }

    /// Returns `true` if the key-value service answered the last call.
    pub fn is_reachable(&self) -> bool {
        self.watch.is_reachable()
    }

    /// Waits for the next document: the current one first, then newer ones. Invalid values are
    /// logged and skipped.
    ///
    /// It is cancel safe: it may be dropped at any point and called again without missing the
    /// newest document.
    pub async fn next(&mut self) -> Document {
        loop {
            match self.watch.next().await {
                WatchEvent::Changed(versioned) => match parse(versioned) {
                    Ok(stored) => return stored.document,
                    Err(report) => log::error!("document passed over: {report:?}"),
                },
                WatchEvent::Removed(revision) => {
                    log::error!("the document was removed at revision {revision}");
                }
            }
        }
    }
}

fn parse(versioned: Versioned) -> Result<StoredDocument, Report<StoreError>> {
    let document =
        Document::from_bytes(&versioned.value).change_context(StoreError::InvalidAnswer)?;
    Ok(StoredDocument {
        revision: versioned.revision,
        document,
    })
}
