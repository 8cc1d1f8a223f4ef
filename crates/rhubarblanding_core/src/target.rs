//! Description of one target: a backend server of a service on one host.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use crate::ids::{HostId, Incarnation};
use crate::names::{ServiceName, ZoneName};

/// Life cycle state of a target.
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
    /// Finishes its requests and takes no new ones.
    Draining,
    /// No longer takes or runs requests.
    Stopped,
}

/// Description of one target, announced by its backend server and exchanged between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetInfo {
    /// Host on which the backend server and its node run.
    pub host: HostId,
    /// Incarnation of the node on the host.
    pub incarnation: Incarnation,
    /// Service that the backend server belongs to.
    pub service: ServiceName,
    /// Availability zone of the host.
    pub zone: ZoneName,
    /// Number of requests that the backend server can run concurrently, as announced.
    pub slots: u32,
    /// Life cycle state.
    pub state: TargetState,
}
