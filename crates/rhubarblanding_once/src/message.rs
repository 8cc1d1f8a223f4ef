//! Messages between the ledgers of a service's members.

use rhubarblanding_core::ids::{IdempotencyKey, TableVersion};
use serde::{Deserialize, Serialize};
use strum::IntoStaticStr;

use crate::answer::{Fingerprint, RecordedAnswer};
use crate::table::MemberId;

/// Number of one attempt to run a key, increasing within one incarnation of the member that
/// runs it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RunId(pub u64);

/// A message with its sender and receiver.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Sender, authenticated by the transport.
    pub from: MemberId,
    /// Receiver. Another incarnation on the same host must not act on it.
    pub to: MemberId,
    /// The message.
    pub msg: PeerMessage,
}

/// Retained result of a key that ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kept {
    /// The complete answer.
    Answer(RecordedAnswer),
    /// Only the fact that it ran: the answer was larger than the limit.
    NotKept,
}

/// Reason why a member does not vote for a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, IntoStaticStr)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum VoteRefusal {
    /// The receiver does not place the key on the sender and itself in this epoch, or is another
    /// incarnation of the node that the request was sent to.
    OtherEpoch,
    /// The key was minted later than the receiver's clock allows.
    FromFuture,
    /// The receiver may have voted on the key and evicted the record.
    Evicted,
    /// The receiver has no room for another record.
    Full,
    /// The key belongs to another request.
    Conflict,
    /// The receiver is running the key, or requesting votes itself.
    InProgress,
    /// The receiver voted for the other member, or dispatched the key and lost the outcome.
    OutcomeUnknown,
    /// The key ran.
    Ran(Kept),
}

/// Message between two of the members that decide on a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, IntoStaticStr)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum PeerMessage {
    /// Home or copy requests the vote to run the key.
    Prepare {
        /// Epoch by which the sender is home or copy.
        epoch: TableVersion,
        /// Key to run.
        key: IdempotencyKey,
        /// Hash of the request.
        fingerprint: Fingerprint,
        /// Run attempt.
        run: RunId,
    },
    /// The vote is recorded: the requesting member may dispatch the key.
    PrepareAck {
        /// Key to run.
        key: IdempotencyKey,
        /// The attempt that was voted for.
        run: RunId,
    },
    /// There is no vote for this attempt.
    PrepareRefused {
        /// Key that was to run.
        key: IdempotencyKey,
        /// The attempt that was refused.
        run: RunId,
        /// Reason for the refusal.
        reason: VoteRefusal,
    },
    /// The attempt was not dispatched and will not be, or the backend server did not run it.
    Release {
        /// Key that is free again.
        key: IdempotencyKey,
        /// The attempt that has ended.
        run: RunId,
    },
    /// The sender ran the key.
    Recorded {
        /// Key that ran.
        key: IdempotencyKey,
        /// Hash of the request.
        fingerprint: Fingerprint,
        /// Retained result.
        kept: Kept,
    },
    /// Answer to [`PeerMessage::Recorded`].
    RecordedAck {
        /// Key that ran.
        key: IdempotencyKey,
    },
    /// A member that voted for the receiver queries the outcome of the attempt. The reply is
    /// [`PeerMessage::Recorded`], [`PeerMessage::Release`] or nothing.
    Query {
        /// Key that was voted on.
        key: IdempotencyKey,
        /// The attempt that was voted for.
        run: RunId,
    },
}
