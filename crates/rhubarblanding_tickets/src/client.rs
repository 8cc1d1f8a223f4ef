//! The document in the key-value service: reading, submitting and following it.

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

/// Reads the document and brings submissions into it.
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

    /// Reads the document, the empty one if there is none yet.
    ///
    /// # Errors
    ///
    /// [`StoreError::Unavailable`], or [`StoreError::InvalidAnswer`] if the value is not a
    /// document that this release knows.
    pub async fn read(&self) -> Result<StoredDocument, Report<StoreError>> {
        match self.store.get(&self.key).await? {
            Some(versioned) => parse(versioned),
            None => Ok(StoredDocument::default()),
        }
    }

    /// Takes the steps of `submitter` until its verdict is final or `limit` has passed.
    ///
    /// The submitter may be handed in again to go on. `seed` gives the jitter between attempts.
    pub async fn submit(&self, submitter: &mut Submitter, limit: Duration, seed: u64) -> Verdict {
        let steps = self.settle(submitter, seed);
        // A step that is cut off is as good as one whose answer was lost.
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
                Step::Read => self.take_read(submitter).await,
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

    /// Reads the document for `submitter`; false if that failed.
    async fn take_read(&self, submitter: &mut Submitter) -> bool {
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
                StoreError::AnswerLost => SwapResult::AnswerLost,
                _ => SwapResult::NotApplied,
            },
        }
    }
}

/// Follows the document through outages of the key-value service.
#[derive(Debug)]
pub struct DocumentWatch {
    watch: WatchLoop,
}

impl DocumentWatch {
    /// Creates a watch that draws its jitter from `seed`.
    pub fn new(store: StoreClient, settings: WatchSettings, seed: u64) -> Self {
        let key = Key::from_static(DOCUMENT_KEY);
        Self {
            watch: WatchLoop::new(store, key, settings, seed),
        }
    }

    /// Whether the key-value service answered the last call.
    pub fn is_reachable(&self) -> bool {
        self.watch.is_reachable()
    }

    /// Waits for the next document: the present one first, then each newer one. Values that are
    /// not documents are logged and passed over.
    ///
    /// It may be dropped at any point and called again.
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
