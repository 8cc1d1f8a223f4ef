//! Order and cancellation of timer events.

use std::time::Duration;

use googletest::prelude::*;
use rhubarblanding_core::prelude::*;

#[test]
fn events_expire_in_order_of_due_time() {
    let mut timers = TimerService::new();
    let start = MonoTime::ZERO;
    timers.subscribe(start + Duration::from_secs(2), "second");
    timers.subscribe(start + Duration::from_secs(1), "first");
    let cancelled = timers.subscribe(start + Duration::from_secs(1), "cancelled");
    assert_that!(timers.cancel(cancelled), some(eq("cancelled")));
    assert_that!(timers.expire(start), is_empty());
    assert_that!(
        timers.expire(start + Duration::from_secs(3)),
        elements_are![eq(&"first"), eq(&"second")]
    );
    assert_that!(timers.next_due(), none());
}
