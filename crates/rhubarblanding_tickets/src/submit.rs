//! Bringing one submission into the document by compare-and-swap.

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
    /// What is read before the first ticket.
    fn default() -> Self {
        Self {
            revision: Revision::ABSENT,
            document: Document::default(),
        }
    }
}

/// What a [`Submitter`] needs next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Read the document and hand it to [`Submitter::on_read`].
    Read,
    /// Store the document if the key is at the revision, and hand the result to
    /// [`Submitter::on_swap`].
    Swap {
        /// Revision to expect.
        expected: Revision,
        /// Document to store.
        document: Arc<Document>,
    },
    /// Nothing more: the verdict is final.
    Done(Verdict),
}

/// Result of a [`Step::Swap`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SwapResult {
    /// The document was stored.
    Stored,
    /// The key was at another revision.
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

/// State of one submission.
///
/// It concludes only from what the key-value service has confirmed: an answered swap, or a
/// document that was read. After a lost answer it reads back. If the document does not show the
/// submission, the swap may still be under way; trying again on the same revision is safe,
/// because at most one of the two swaps can succeed.
#[derive(Clone, Debug)]
pub struct Submitter {
    submission: SubmissionId,
    ticket: Arc<Ticket>,
    known: Arc<Document>,
    state: State,
}

impl Submitter {
    /// Creates the state of a submission. The same identifier may be used again for the same
    /// ticket, here or at another node.
    pub fn new(submission: SubmissionId, ticket: Arc<Ticket>) -> Self {
        Self {
            submission,
            ticket,
            known: Arc::default(),
            state: State::Reading,
        }
    }

    /// Decides on `known`, a document that was stored before, wherever a read shows an older one.
    ///
    /// A stale read is then not worked on in vain. Should the key-value service itself have gone
    /// back, for example to a copy of the day before, the next ticket brings back what was lost.
    pub fn with_known(mut self, known: Arc<Document>) -> Self {
        self.known = known;
        self
    }

    /// Identifier of the submission.
    pub fn submission(&self) -> SubmissionId {
        self.submission
    }

    /// The ticket that is submitted.
    pub fn ticket(&self) -> &Ticket {
        &self.ticket
    }

    /// What is needed next. After a failed read it is the same step again.
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

    /// What can be told at present: the final verdict, or that it is not yet known.
    pub fn verdict(&self) -> Verdict {
        match &self.state {
            State::Settled(verdict) => verdict.clone(),
            State::Reading | State::Swapping { .. } => Verdict::NotYetKnown,
        }
    }

    /// Takes in the document after [`Step::Read`]. It may be older than the newest.
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

    /// Takes in the result of [`Step::Swap`].
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
