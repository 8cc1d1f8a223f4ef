//! Model of the key-value service: one key, every revision it ever had, and delayed writes.

use std::sync::Arc;

use rhubarblanding_store::Revision;
use rhubarblanding_tickets::prelude::*;
use rhubarblanding_tickets::submit::{StoredDocument, SwapResult};

use crate::actions::Fault;

/// A write whose answer did not come in time.
#[derive(Clone, Debug)]
struct Delayed {
    expected: Revision,
    document: Arc<Document>,
}

/// The service. Revisions are positions in the list of stored documents, counted from one.
#[derive(Debug, Default)]
pub struct Store {
    stored: Vec<Arc<Document>>,
    delayed: Vec<Delayed>,
    pub outage: bool,
    blind: bool,
}

impl Store {
    /// An empty service; a blind one applies writes without comparing the revision.
    pub fn new(blind: bool) -> Self {
        Self {
            blind,
            ..Self::default()
        }
    }

    /// Every document ever stored, oldest first.
    pub fn stored(&self) -> &[Arc<Document>] {
        &self.stored
    }

    pub fn push(&mut self, document: Document) {
        self.stored.push(Arc::new(document));
    }

    /// The state that was newest `age` revisions ago.
    pub fn read(&self, age: usize) -> StoredDocument {
        let revision = self.stored.len().saturating_sub(age);
        match revision.checked_sub(1).and_then(|at| self.stored.get(at)) {
            Some(document) => StoredDocument {
                revision: Revision(revision as u64),
                document: document.as_ref().clone(),
            },
            None => StoredDocument::default(),
        }
    }

    /// One write that goes wrong as `fault` says.
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
        let current = Revision(self.stored.len() as u64);
        if current != expected && !self.blind {
            return SwapResult::Conflict;
        }
        self.stored.push(document.clone());
        SwapResult::Stored
    }

    pub fn land(&mut self, index: usize) {
        if let Some(write) = self.take_delayed(index) {
            self.apply(write.expected, &write.document);
        }
    }

    pub fn vanish(&mut self, index: usize) {
        self.take_delayed(index);
    }

    pub fn land_all(&mut self) {
        while !self.delayed.is_empty() {
            self.land(0);
        }
    }

    fn take_delayed(&mut self, index: usize) -> Option<Delayed> {
        (index < self.delayed.len()).then(|| self.delayed.remove(index))
    }
}
