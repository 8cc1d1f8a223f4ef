//! One target as a node sees it.

pub(crate) mod health;
mod load;
mod state;
mod unserved;

pub(crate) use state::Target;

use rhubarblanding_core::prelude::*;
use strum::{Display, EnumIter, IntoStaticStr};

/// One life of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TargetId {
    /// Host of the target.
    pub host: HostId,
    /// Life of the node on it.
    pub incarnation: Incarnation,
}

/// What a node came to think of a target when a request at it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum HealthStatus {
    /// It fails: it is ejected, unless too many targets fail.
    Failing,
    /// It answers again after it was failing.
    Recovered,
    /// Its backend server rejects or fails a part of the requests: others are preferred.
    Unreliable,
    /// Its backend server serves nearly every request again.
    Reliable,
}

/// How a request at a target ended, as far as it tells the health of the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum TargetOutcome {
    /// An answer came.
    Answered,
    /// The target's node refused it; this tells nothing about its health.
    Refused,
    /// The backend server rejected it without running it.
    Rejected,
    /// The caller gave up; this tells nothing about the target's health.
    Cancelled,
    /// The backend server answered with a failure of its own.
    Failed,
    /// No connection could be opened.
    ConnectFailed,
    /// The connection broke before the answer.
    ConnectionLost,
    /// The connection went silent.
    Silent,
}
