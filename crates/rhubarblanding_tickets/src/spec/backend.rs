//! Settings of a service's backend servers.

use std::time::Duration;

/// Settings that nodes apply to the backend servers of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackendSpec {
    /// Requests that one backend server is expected to run at a time.
    pub expected_slots: u32,
    /// Maximum time for a draining backend server to finish its requests, after which it is
    /// reported as stuck. No request is interrupted.
    pub drain_limit: Duration,
    /// Time over which a new backend server's share of the load rises to the full share.
    pub slow_start: Duration,
}

impl Default for BackendSpec {
    fn default() -> Self {
        Self {
            expected_slots: 100,
            drain_limit: Duration::from_secs(3_600),
            slow_start: Duration::from_secs(10),
        }
    }
}
