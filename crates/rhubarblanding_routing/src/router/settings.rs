//! Settings of a router.

use std::time::Duration;

/// Settings of a [`Router`](super::Router).
#[derive(Clone, Debug)]
pub struct RouterSettings {
    /// Utilisation of the better local target from which other zones are looked at.
    pub spill_utilisation: f64,
    /// Utilisation by which a target of another zone must be better.
    pub spill_margin: f64,
    /// Time within which a new or recovered target reaches its full share.
    pub slow_start: Duration,
    /// Share of its limit that a new target gets at first.
    pub cold_share: f64,
    /// Greatest share of the serving targets that is ejected, in percent. While more are failing,
    /// none is ejected.
    pub ejected_max_percent: u32,
    /// Utilisation that is added to a failing target that is not ejected.
    pub failing_penalty: f64,
    /// Whether draining targets are left out. Off only in tests of the test oracle.
    pub skip_draining: bool,
}

impl Default for RouterSettings {
    fn default() -> Self {
        Self {
            spill_utilisation: 0.8,
            spill_margin: 0.1,
            slow_start: Duration::from_secs(2),
            cold_share: 0.1,
            ejected_max_percent: 50,
            failing_penalty: 1_000.0,
            skip_draining: true,
        }
    }
}
