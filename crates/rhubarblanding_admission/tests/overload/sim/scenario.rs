//! Inputs of a simulation.

use std::time::Duration;

use rhubarblanding_admission::limit::LimitPolicy;
use rhubarblanding_admission::prelude::*;

/// One scenario.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Seed of every random choice.
    pub seed: u64,
    /// Gate in front of the backend server. Without one, every request goes directly to the backend
    /// server, and no request is cancelled.
    pub gate: Option<GateSettings>,
    /// Number of entry nodes that refuse early; zero for none.
    pub entry_nodes: usize,
    /// Slots of the backend server.
    pub slots: u32,
    /// Slots that the backend server announces.
    pub announced: u32,
    /// Number of requests that the backend server queues before it sheds, if it sheds.
    pub sheds_above: Option<usize>,
    /// Offered load as a multiple of the capacity.
    pub load: f64,
    /// Length of the run in seconds.
    pub secs: u64,
    /// Temporary disturbance.
    pub disturbance: Option<Disturbance>,
}

/// Temporary slowdown, surge or downstream delay.
#[derive(Clone, Copy, Debug)]
pub struct Disturbance {
    /// Start in seconds.
    pub from: u64,
    /// End in seconds.
    pub to: u64,
    /// Factor on the service time of the backend server.
    pub service_factor: f64,
    /// Factor on the offered load.
    pub load_factor: f64,
    /// Time for which requests of the longer kind wait for a downstream service.
    pub downstream: Duration,
}

/// Returns the settings of a fixed limit: the announced slots and a queue in order of arrival.
pub fn fixed_limit() -> GateSettings {
    let mut settings = GateSettings {
        evict: false,
        order_by_importance: false,
        ..GateSettings::default()
    };
    settings.limit.policy = LimitPolicy::Fixed;
    settings
}
