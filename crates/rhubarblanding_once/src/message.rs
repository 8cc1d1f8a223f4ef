//! Messages between the ledgers of a service's members.

use rhubarblanding_core::ids::{IdempotencyKey, TableVersion};
use serde::{Deserialize, Serialize};
use strum::IntoStaticStr;

use crate::answer::{Fingerprint, RecordedAnswer};
use crate::table::MemberId;

/// Number of one try to run a key, rising within one life of the member that runs it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RunId(pub u64);

/// A message with its sender and receiver.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Member that sent it. The transport vouches for it.
    pub from: MemberId,
    /// Member that it is meant for. Another incarnation on the same host must not act on it.
    pub to: MemberId,
    /// The message.
    pub msg: PeerMessage,
}

/// What is left of a key that ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kept {
    /// The whole answer.
    Answer(RecordedAnswer),
    /// Only the fact that it ran: the answer was larger than the limit.
    NotKept,
}

/// Reason why a copy does not let the home run a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, IntoStaticStr)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum PrepareRefusal {
    /// The copy does not place the key on this home and itself in this epoch.
    OtherEpoch,
    /// The copy may have had a record of the key and evicted it.
    Evicted,
    /// The copy has no room for another record.
    Full,
    /// The key belongs to another request.
    Conflict,
    /// The copy took the key over and is running it.
    InProgress,
    /// The copy took the key over and its outcome is not known.
    OutcomeUnknown,
    /// The key ran.
    Ran(Kept),
}

/// Message between two members of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, IntoStaticStr)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum PeerMessage {
    /// Home to copy: the home wants to run the key.
    Prepare {
        /// Epoch by which the sender is the home.
        epoch: TableVersion,
        /// Key to run.
        key: IdempotencyKey,
        /// Hash of the request.
        fingerprint: Fingerprint,
        /// The try.
        run: RunId,
    },
    /// Copy to home: the key is recorded; the home may dispatch it.
    PrepareAck {
        /// Key to run.
        key: IdempotencyKey,
        /// The try that was acknowledged.
        run: RunId,
    },
    /// Copy to home: the home must not dispatch this try.
    PrepareRefused {
        /// Key that was to run.
        key: IdempotencyKey,
        /// The try that was refused.
        run: RunId,
        /// Why.
        reason: PrepareRefusal,
    },
    /// Home to copy: this try was not dispatched, or was not run by the backend server.
    Release {
        /// Key that is free again.
        key: IdempotencyKey,
        /// The try that has ended.
        run: RunId,
    },
    /// To the other member of the placement: the key ran.
    Recorded {
        /// Key that ran.
        key: IdempotencyKey,
        /// Hash of the request.
        fingerprint: Fingerprint,
        /// What is left of it.
        kept: Kept,
    },
    /// Answer to [`PeerMessage::Recorded`].
    RecordedAck {
        /// Key that ran.
        key: IdempotencyKey,
    },
    /// Copy to another member of the epoch: confirm that the epoch still decides on the key.
    Witness {
        /// Epoch by which the sender is the copy.
        epoch: TableVersion,
        /// Key that the copy takes over.
        key: IdempotencyKey,
        /// The try.
        run: RunId,
    },
    /// Answer to [`PeerMessage::Witness`]: the copy may dispatch the key.
    WitnessAck {
        /// Key that the copy takes over.
        key: IdempotencyKey,
        /// The try.
        run: RunId,
    },
}
