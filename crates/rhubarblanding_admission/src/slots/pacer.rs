//! Spacing of requests to a backend server that names a rate limit.

use std::time::Duration;

use rhubarblanding_core::prelude::*;

use super::RequestRate;

/// Time by which requests may run ahead of the rate, so that a few that come together need not wait.
const BURST: Duration = Duration::from_millis(100);
/// Longest time between two requests. Only an answer can tell that a limit has ended, so a backend
/// server that names a rate of zero still gets a request from time to time.
const INTERVAL_MAX: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug)]
struct Schedule {
    rate: RequestRate,
    interval: Duration,
    /// Time at which the next request is due if the rate is kept exactly.
    next: MonoTime,
}

/// Spaces requests so that no window holds more than the rate allows and the few of one burst.
///
/// At one rate, any window of length `w` holds at most `(w + BURST) / interval + 1` starts, whatever
/// the pauses between them: time in which no request came is not made up for.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Pacer {
    schedule: Option<Schedule>,
}

impl Pacer {
    /// Sets the rate; `None` lifts the limit.
    pub(super) fn set_rate(&mut self, now: MonoTime, rate: Option<RequestRate>) {
        let Some(rate) = rate else {
            self.schedule = None;
            return;
        };
        let interval = interval(rate);
        // A new limit starts without a burst; a raised one shortens the present wait.
        let next = self.schedule.map_or(now + BURST, |schedule| {
            schedule.next.min(now + BURST + interval)
        });
        self.schedule = Some(Schedule {
            rate,
            interval,
            next,
        });
    }

    /// Returns the rate in force.
    pub(super) fn rate(&self) -> Option<RequestRate> {
        self.schedule.map(|schedule| schedule.rate)
    }

    /// Returns the time from which the next request may start, if it may not start at `now`.
    pub(super) fn wait_until(&self, now: MonoTime) -> Option<MonoTime> {
        let start = self.schedule?.next - BURST;
        (start > now).then_some(start)
    }

    /// Records the start of a request.
    pub(super) fn started(&mut self, now: MonoTime) {
        if let Some(schedule) = &mut self.schedule {
            schedule.next = schedule.next.max(now) + schedule.interval;
        }
    }

    /// Returns the time until `count` more requests have started.
    pub(super) fn time_for(&self, now: MonoTime, count: usize) -> Duration {
        let Some(schedule) = self.schedule else {
            return Duration::ZERO;
        };
        let before = count.saturating_sub(1).min(u32::MAX as usize) as u32;
        now.until(schedule.next - BURST) + schedule.interval.saturating_mul(before)
    }
}

fn interval(rate: RequestRate) -> Duration {
    let seconds = rate.per_second().recip();
    // A rate of zero has an infinite interval.
    Duration::try_from_secs_f64(seconds).map_or(INTERVAL_MAX, |interval| interval.min(INTERVAL_MAX))
}
