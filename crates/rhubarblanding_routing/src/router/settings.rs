//! Settings of a router.

use std::time::Duration;

/// Condition under which a router picks draining targets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DrainingUse {
    /// Never: a draining target gets no new requests.
    #[default]
    Never,
    /// While the serving targets are loaded or there are none: a target that announced that it is
    /// draining gets requests until it stops.
    Spill,
    /// In the same way as serving targets. Only for tests that check the test oracle.
    Always,
}

/// Settings of a [`Router`](super::Router).
#[derive(Clone, Debug)]
pub struct RouterSettings {
    /// Utilisation from which a target counts as loaded. Other zones are considered if the best
    /// target drawn from the preferred zone is loaded or there is none, and draining targets if the
    /// best serving target drawn is loaded or there is none.
    pub spill_utilisation: f64,
    /// Margin by which the utilisation of a target of another zone, or of a draining one, must be
    /// lower for it to be picked.
    pub spill_margin: f64,
    /// Time within which a new or recovered target reaches its full share.
    pub slow_start: Duration,
    /// Share of its concurrency limit with which a target begins slow start.
    pub cold_share: f64,
    /// Maximum share of the serving targets that may be ejected, in percent. While more are
    /// failing, none is ejected.
    pub ejected_max_percent: u32,
    /// Utilisation added to a failing target that is not ejected.
    pub failing_penalty: f64,
    /// Utilisation added to a target whose backend server rejects or fails every request, and in
    /// proportion for a share of them. A rejection costs an attempt and one of few retries, and a
    /// failure costs the request. In comparison, a queue of as many requests as there are slots
    /// costs only the time of one.
    pub unserved_penalty: f64,
    /// Condition under which draining targets are picked.
    pub draining: DrainingUse,
    /// `true` if targets are compared by their learned speed, and if those that were not heard of
    /// lately are supposed to be loaded as the others. Without it slots alone decide.
    pub compares_speeds: bool,
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
            compares_speeds: true,
        }
    }
}
