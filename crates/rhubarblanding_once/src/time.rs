//! Monotonic and wall clock passed to decision code.

use rhubarblanding_core::time::{MonoTime, UnixMillis};

/// Current time, read by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Now {
    /// Monotonic clock, used for timeouts.
    pub mono: MonoTime,
    /// Wall clock, used to bound mint times and to expire records. Safety does not depend on it.
    pub wall: UnixMillis,
}
