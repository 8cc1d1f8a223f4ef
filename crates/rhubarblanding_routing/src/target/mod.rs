//! Local view of one target: its load estimate and health status.

pub(crate) mod health;
mod hold;
mod load;
mod state;
mod unserved;

pub use hold::WorkKind;
pub(crate) use state::Target;

use rhubarblanding_core::prelude::*;
use strum::{Display, EnumIter, IntoStaticStr};

/// Identifier of one instance of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TargetId {
    /// Host of the target.
    pub host: HostId,
    /// Incarnation of the node on the host.
    pub incarnation: Incarnation,
}

/// New health status of a target, reported when the outcome of a request changes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum HealthStatus {
    /// The target fails: it is ejected unless too many targets fail.
    Failing,
    /// The target answers again after it was failing.
    Recovered,
    /// The backend server rejects or fails a part of the requests: other targets are preferred.
    Unreliable,
    /// The backend server serves nearly every request again.
    Reliable,
}

/// Outcome of a request at a target, as far as it matters for the target's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum TargetOutcome {
    /// An answer was received.
    Answered,
    /// The target's node refused the request; this is no evidence about the target's health.
    Refused,
    /// The backend server rejected the request without running it.
    Rejected,
    /// The caller cancelled the request; this is no evidence about the target's health.
    Cancelled,
    /// The backend server answered with a failure.
    Failed,
    /// No connection could be opened.
    ConnectFailed,
    /// The connection broke before the answer.
    ConnectionLost,
    /// The target stopped responding without closing the connection.
    Silent,
}
