//! Settings of a router.

use std::time::Duration;

/// When a router chooses targets that drain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DrainingUse {
    /// Never: they take no new requests.
    #[default]
    Never,
    /// While those that serve are loaded or none does: they take requests for as long as they run.
    Spill,
    /// As if they served. For tests of the test oracle.
    Always,
}

/// Settings of a [`Router`](super::Router).
#[derive(Clone, Debug)]
pub struct RouterSettings {
    /// Utilisation of the better local target from which other zones are looked at, and of the
    /// better target from which those that drain are.
    pub spill_utilisation: f64,
    /// Utilisation by which a target of another zone, or one that drains, must be better.
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
    /// Utilisation that is added to a target whose backend server rejects or fails every request,
    /// and in proportion for a share of them: that costs an attempt and one of few retries or the
    /// request, a queue of as many requests as there are slots only the time of one.
    pub unserved_penalty: f64,
    /// When draining targets are chosen.
    pub draining: DrainingUse,
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
            unserved_penalty: 2.0,
            draining: DrainingUse::Never,
        }
    }
}
