//! Model of the key-value service: one key with all its revisions, and delayed writes.

use std::sync::Arc;

use rhubarblanding_store::{Era, Revision};
use rhubarblanding_tickets::prelude::*;
use rhubarblanding_tickets::submit::{StoredDocument, SwapResult};

use crate::actions::Fault;

/// Write whose answer did not arrive in time.
#[derive(Clone, Debug)]
struct Delayed {
    expected: Revision,
    document: Arc<Document>,
}

/// Model of the service. Revisions are positions in the list of stored documents, counted from one.
#[derive(Debug, Default)]
pub struct Store {
    stored: Vec<Arc<Document>>,
    delayed: Vec<Delayed>,
    pub outage: bool,
    blind: bool,
}

impl Store {
    /// Creates an empty service. With `blind`, it applies writes without comparing the revision.
    pub fn new(blind: bool) -> Self {
        Self {
            blind,
            ..Self::default()
        }
    }

    /// Returns all documents ever stored, oldest first.
    pub fn stored(&self) -> &[Arc<Document>] {
        &self.stored
    }

    pub fn push(&mut self, document: Document) {
        self.stored.push(Arc::new(document));
    }

    /// Returns the state of `age` revisions ago.
    pub fn read(&self, age: usize) -> StoredDocument {
        let revision = self.stored.len().saturating_sub(age);
        match revision.checked_sub(1).and_then(|at| self.stored.get(at)) {
            Some(document) => StoredDocument {
                revision: Revision::new(Era(0), revision as u64),
                document: document.as_ref().clone(),
            },
            None => StoredDocument::default(),
        }
    }

    /// Applies one write under `fault`.
    pub fn swap(
        &mut self,
        expected: Revision,
        document: &Arc<Document>,
        fault: Fault,
    ) -> SwapResult {
        if self.outage || fault == Fault::Unavailable {
            return SwapResult::NotApplied;
        }
        match fault {
            Fault::LostBefore => SwapResult::AnswerLost,
            Fault::Delayed => {
                let document = document.clone();
                self.delayed.push(Delayed { expected, document });
                SwapResult::AnswerLost
            }
            Fault::LostAfter => {
                self.apply(expected, document);
                SwapResult::AnswerLost
            }
            Fault::None | Fault::Stale(_) | Fault::Unavailable => self.apply(expected, document),
        }
    }

    fn apply(&mut self, expected: Revision, document: &Arc<Document>) -> SwapResult {
        let current = Revision::new(Era(0), self.stored.len() as u64);
        if current != expected && !self.blind {
            return SwapResult::Conflict;
        }
        self.stored.push(document.clone());
        SwapResult::Stored
    }

    pub fn apply_delayed(&mut self, index: usize) {
        if let Some(write) = self.take_delayed(index) {
            self.apply(write.expected, &write.document);
        }
    }

    pub fn drop_delayed(&mut self, index: usize) {
        self.take_delayed(index);
    }

    pub fn apply_all_delayed(&mut self) {
        while !self.delayed.is_empty() {
            self.apply_delayed(0);
        }
    }

    fn take_delayed(&mut self, index: usize) -> Option<Delayed> {
        (index < self.delayed.len()).then(|| self.delayed.remove(index))
    }
}
