//! Inputs of a simulation.

use std::time::Duration;

use rhubarblanding_admission::limit::LimitPolicy;
use rhubarblanding_admission::prelude::*;

/// One scenario.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Seed of every random choice.
    pub seed: u64,
    /// Gate in front of the backend server. Without one every request goes straight to it, and
    /// nobody cancels.
    pub gate: Option<GateSettings>,
    /// Number of entry nodes that refuse early, zero for none.
    pub entry_nodes: usize,
    /// Slots of the backend server.
    pub slots: u32,
    /// Slots that it announces.
    pub announced: u32,
    /// Requests that the backend server queues before it sheds, if it sheds.
    pub sheds_above: Option<usize>,
    /// Offered load as a multiple of the capacity.
    pub load: f64,
    /// Length of the run in seconds.
    pub secs: u64,
    /// Phase of trouble.
    pub trouble: Option<Trouble>,
}

/// Phase of trouble.
#[derive(Clone, Copy, Debug)]
pub struct Trouble {
    /// Start in seconds.
    pub from: u64,
    /// End in seconds.
    pub to: u64,
    /// Factor on the service time of the backend server.
    pub slower: f64,
    /// Factor on the offered load.
    pub more: f64,
    /// Time for which requests of the longer kind wait for a service further down.
    pub downstream: Duration,
}

/// Settings of a plain limit: the announced slots and a queue in order of arrival.
pub fn fixed_limit() -> GateSettings {
    let mut settings = GateSettings {
        evict: false,
        order_by_importance: false,
        ..GateSettings::default()
    };
    settings.limit.policy = LimitPolicy::Fixed;
    settings
}
