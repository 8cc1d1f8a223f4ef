//! Inputs and outputs of a ledger.

use std::sync::Arc;

use rhubarblanding_core::error::Refusal;
use rhubarblanding_core::ids::IdempotencyKey;
use strum::IntoStaticStr;

use crate::answer::{Fingerprint, RecordedAnswer};
use crate::message::{Envelope, PeerMessage, RunId};
use crate::table::MemberId;

/// Number that the owner of a ledger assigns to one waiting caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallerId(pub u64);

/// Role in which a member should run a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Role {
    /// As the key's home.
    Home,
    /// As the key's copy, because the home cannot be reached.
    Substitute,
}

/// One attempt of a caller to run a key or to learn its outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptRequest {
    /// Waiting caller.
    pub caller: CallerId,
    /// Key of the request.
    pub key: IdempotencyKey,
    /// Hash of the request.
    pub fingerprint: Fingerprint,
    /// Role in which this node should run the key.
    pub role: Role,
}

/// Outcome of a dispatched request at the backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It ran and the answer is complete.
    Answered(RecordedAnswer),
    /// It ran, and the answer was streamed to the dispatching caller without being kept.
    Streamed,
    /// The backend server did not run it and will not.
    Shed,
    /// The connection was lost, so the outcome is not known.
    Lost,
}

/// Input of a ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// A request to run a key, forwarded by an entry node.
    Attempt(AttemptRequest),
    /// A caller no longer waits.
    CallerDisconnected {
        /// Caller that waited.
        caller: CallerId,
        /// Key of the request.
        key: IdempotencyKey,
    },
    /// A dispatched request ended, or a query of its outcome was answered.
    Outcome {
        /// Key that was dispatched.
        key: IdempotencyKey,
        /// Run attempt, as given by [`Output::Dispatch`].
        run: RunId,
        /// Outcome.
        outcome: Outcome,
    },
    /// Another member sent a message.
    Peer(Envelope),
    /// A message to a member could not be sent, so no vote of that member is awaited.
    Unreachable(MemberId),
    /// Time has passed.
    Tick,
}

/// Output of a ledger, carried out by its owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send the request of `caller` to the local backend server, once.
    Dispatch {
        /// Key to run.
        key: IdempotencyKey,
        /// Run attempt, to be named by [`Input::Outcome`].
        run: RunId,
        /// Caller whose request is sent.
        caller: CallerId,
    },
    /// Answer a caller with the backend server's own answer.
    Answer {
        /// Waiting caller.
        caller: CallerId,
        /// The answer.
        answer: Arc<RecordedAnswer>,
    },
    /// Refuse a caller.
    Refuse {
        /// Waiting caller.
        caller: CallerId,
        /// Reason, and the time after which to retry.
        refusal: Refusal,
    },
    /// Send a message to another member.
    Send {
        /// The receiver.
        to: MemberId,
        /// The message.
        msg: PeerMessage,
    },
    /// Query the local backend server on a fresh connection for the outcome of a lost request, and
    /// report it as [`Input::Outcome`].
    QueryOutcome {
        /// Key that was dispatched.
        key: IdempotencyKey,
        /// Run attempt.
        run: RunId,
    },
}
