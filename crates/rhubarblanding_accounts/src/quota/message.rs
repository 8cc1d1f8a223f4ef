//! Messages between holders and homes. Field names are short, as many are sent.

use rhubarblanding_core::prelude::*;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter};

/// A holder's need for one account.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// Account.
    #[serde(rename = "a")]
    pub account: AccountKey,
    /// Requests that wait.
    #[serde(rename = "n")]
    pub needed: u32,
    /// Requests expected within the life of an allotment.
    #[serde(rename = "s")]
    pub spare: u32,
}

/// All needs of a holder at one home; without any, the question whether the node grants.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AskMessage {
    /// Needs.
    #[serde(rename = "q")]
    pub asks: Vec<Ask>,
}

/// Whether a node grants allotments at all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumIter)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum NodeStatus {
    /// It grants.
    Granting,
    /// It has just started or was paused; others may still grant in its place.
    Opening,
    /// It does not reach most of the other nodes.
    OutOfTouch,
    /// It is leaving.
    Leaving,
}

/// Result of one [`Ask`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumIter)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Verdict {
    /// All that was needed is granted.
    Granted,
    /// The account is beyond its quota; the tokens are fewer than were needed.
    Exceeded,
    /// The bucket of a new home has not filled yet; the tokens are fewer than were needed.
    Filling,
    /// Another node is the home.
    NotHome,
    /// It is not known yet whether another node grants.
    Checking,
}

/// Answer to one [`Ask`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Account.
    #[serde(rename = "a")]
    pub account: AccountKey,
    /// Result.
    #[serde(rename = "v")]
    pub verdict: Verdict,
    /// Requests that may run.
    #[serde(rename = "t", default, skip_serializing_if = "is_zero")]
    pub tokens: u32,
    /// Time until the account has room, in milliseconds.
    #[serde(rename = "r", default, skip_serializing_if = "is_zero")]
    pub retry_ms: u32,
    /// The home, if it is another node.
    #[serde(rename = "h", default, skip_serializing_if = "Option::is_none")]
    pub home: Option<HostId>,
}

impl Grant {
    pub(super) fn elsewhere(account: AccountKey, verdict: Verdict, home: Option<HostId>) -> Self {
        Self {
            account,
            verdict,
            tokens: 0,
            retry_ms: 0,
            home,
        }
    }
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "the signature that serde calls"
)]
fn is_zero(value: &u32) -> bool {
    *value == 0
}

/// Answer to an [`AskMessage`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// Whether the node grants at all.
    #[serde(rename = "s")]
    pub status: NodeStatus,
    /// Answers, in the order of the needs.
    #[serde(rename = "g")]
    pub grants: Vec<Grant>,
}
