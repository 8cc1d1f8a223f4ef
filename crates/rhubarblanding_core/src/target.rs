//! Description of one target: a backend server of a service on one host.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use crate::ids::{HostId, Incarnation};
use crate::names::{ServiceName, ZoneName};

/// Life cycle of a target as others see it.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum TargetState {
    /// Announced, but not ready for requests.
    Starting,
    /// Takes requests.
    Serving,
    /// Leaving: finishes what it has and takes no new requests.
    Draining,
    /// Gone.
    Stopped,
}

/// One target, as announced by its backend server and spread between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetInfo {
    /// Host on which the backend server and its node run.
    pub host: HostId,
    /// Life of the node that announced it.
    pub incarnation: Incarnation,
    /// Service that the backend server belongs to.
    pub service: ServiceName,
    /// Availability zone of the host.
    pub zone: ZoneName,
    /// Requests that the backend server says it can run at a time.
    pub slots: u32,
    /// Life cycle.
    pub state: TargetState,
}
