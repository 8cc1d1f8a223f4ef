//! Submits a ticket to the document by compare-and-swap.

use std::sync::Arc;

use rhubarblanding_store::Revision;

use crate::document::{Decision, Document, SettledVerdict, SubmissionId, Verdict, decide};
use crate::ticket::Ticket;

/// A document as read from the key-value service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredDocument {
    /// Revision of its key, [`Revision::ABSENT`] if there is none yet.
    pub revision: Revision,
    /// The document.
    pub document: Document,
}

impl Default for StoredDocument {
    /// Returns the state before the first ticket.
    fn default() -> Self {
        Self {
            revision: Revision::ABSENT,
            document: Document::default(),
        }
    }
}

/// Next operation that a [`Submitter`] needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Read the document and pass it to [`Submitter::on_read`].
    Read,
    /// Store the document if the key has the expected revision, and pass the result to
    /// [`Submitter::on_swap`].
    Swap {
        /// Expected revision of the key.
        expected: Revision,
        /// Document to store.
        document: Arc<Document>,
    },
    /// No further operation: the verdict is final.
    Done(Verdict),
}

/// Result of a [`Step::Swap`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SwapResult {
    /// The document was stored.
    Stored,
    /// The key had another revision.
    Conflict,
    /// The service did not apply the call.
    NotApplied,
    /// The document may have been stored, or may be stored later.
    AnswerLost,
}

#[derive(Clone, Debug)]
enum State {
    Reading,
    Swapping {
        expected: Revision,
        document: Arc<Document>,
        verdict: SettledVerdict,
    },
    Settled(Verdict),
}

/// State machine of one submission.
///
/// Its verdict relies only on what the key-value service has confirmed: an answered swap, or a
/// document that was read. After a lost answer it reads the document. If that does not contain the
/// submission, the swap may still be in flight; a retry on the same revision is safe, because at
/// most one of the two swaps can succeed.
#[derive(Clone, Debug)]
pub struct Submitter {
    submission: SubmissionId,
    ticket: Arc<Ticket>,
    known: Arc<Document>,
    state: State,
}

impl Submitter {
    /// Creates a submitter. The same identifier may be reused for the same ticket, at this or
    /// another node.
    pub fn new(submission: SubmissionId, ticket: Arc<Ticket>) -> Self {
        Self {
            submission,
            ticket,
            known: Arc::default(),
            state: State::Reading,
        }
    }

    /// Uses `known`, a document that was stored before, in place of any older one that is read.
    ///
    /// This avoids wasted work on a stale read. If the key-value service itself was reset to
    /// an older state, such as a backup of the day before, the next ticket restores what was lost.
    pub fn with_known(mut self, known: Arc<Document>) -> Self {
        self.known = known;
        self
    }

    /// Returns the identifier of the submission.
    pub fn submission(&self) -> SubmissionId {
        self.submission
    }

    /// Returns the submitted ticket.
    pub fn ticket(&self) -> &Ticket {
        &self.ticket
    }

    /// Returns the next step, which stays the same after a failed read.
    pub fn step(&self) -> Step {
        match &self.state {
            State::Reading => Step::Read,
            State::Swapping {
                expected, document, ..
            } => Step::Swap {
                expected: *expected,
                document: document.clone(),
            },
            State::Settled(verdict) => Step::Done(verdict.clone()),
        }
    }

    /// Returns the final verdict, or [`Verdict::NotYetKnown`].
    pub fn verdict(&self) -> Verdict {
        match &self.state {
            State::Settled(verdict) => verdict.clone(),
            State::Reading | State::Swapping { .. } => Verdict::NotYetKnown,
        }
    }

    /// Handles the document from [`Step::Read`], which may be stale.
    pub fn on_read(&mut self, read: &StoredDocument) {
        if !matches!(self.state, State::Reading) {
            return;
        }
        let newest = match self.known.version() > read.document.version() {
            true => &self.known,
            false => &read.document,
        };
        self.state = match decide(newest, &self.ticket, self.submission) {
            Decision::Settled(verdict) => State::Settled(verdict),
            Decision::Store { document, verdict } => State::Swapping {
                expected: read.revision,
                document: Arc::from(document),
                verdict,
            },
        };
    }

    /// Handles the result of [`Step::Swap`].
    pub fn on_swap(&mut self, result: SwapResult) {
        let State::Swapping { verdict, .. } = &self.state else {
            return;
        };
        self.state = match result {
            SwapResult::Stored => State::Settled(verdict.clone().into()),
            SwapResult::Conflict | SwapResult::NotApplied | SwapResult::AnswerLost => {
                State::Reading
            }
        };
    }
}
