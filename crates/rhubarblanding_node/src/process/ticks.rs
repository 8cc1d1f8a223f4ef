//! The loop that ticks a membership.

use std::time::Duration;

use rhubarblanding_core::prelude::*;

use super::Clock;

/// Longest sleep between two ticks.
const TICK_MAX: Duration = Duration::from_millis(500);
/// Shortest sleep between two ticks.
const TICK_MIN: Duration = Duration::from_millis(5);

/// Calls `tick` whenever it is due; runs for as long as the process. `tick` returns the time at which
/// it is due next.
pub async fn run(clock: Clock, mut tick: impl FnMut() -> Option<MonoTime>) {
    loop {
        let due = tick();
        let now = clock.now();
        let sleep = due.map_or(TICK_MAX, |due| now.until(due));
        tokio::time::sleep(sleep.clamp(TICK_MIN, TICK_MAX)).await;
    }
}
