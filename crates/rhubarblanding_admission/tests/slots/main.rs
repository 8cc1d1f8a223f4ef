//! The gate of a backend server that announces its slots: order, refusals and late requests.

use std::time::Duration;

use googletest::prelude::*;
use rhubarblanding_admission::slots::{
    KindKey, SlotArrival, SlotDecision, SlotEvent, SlotGate, SlotSettings,
};
use rhubarblanding_core::prelude::*;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn arrival(id: u64, rank: u8, objective: u64, deadline: u64) -> SlotArrival {
    SlotArrival {
        id,
        rank,
        account: AccountKey::NONE,
        kind: KindKey(0),
        is_call: true,
        makes_calls: true,
        objective: at(objective),
        deadline: at(deadline),
    }
}

fn gate(slots: u32) -> SlotGate {
    let settings = SlotSettings {
        usable_share: 1.0,
        ..SlotSettings::default()
    };
    let mut gate = SlotGate::new(settings);
    gate.set_slots(at(0), slots);
    gate
}

/// Returns a gate of one slot with one running request, and an estimated hold time of 10 ms.
fn busy_gate() -> SlotGate {
    let mut gate = gate(1);
    for id in 100..200 {
        gate.arrive(at(0), arrival(id, 0, 1_000, 5_000));
        gate.finished(at(10), id, true);
    }
    assert_that!(
        gate.arrive(at(10), arrival(1, 0, 1_000, 5_000)),
        eq(SlotDecision::Admitted)
    );
    gate
}

#[test]
fn no_more_run_than_there_are_slots() {
    let mut gate = gate(2);
    let decisions: Vec<_> = (1..=3)
        .map(|id| gate.arrive(at(0), arrival(id, 0, 1_000, 5_000)))
        .collect();
    let expected = [
        SlotDecision::Admitted,
        SlotDecision::Admitted,
        SlotDecision::Queued,
    ];
    assert_that!(decisions, eq(&expected.to_vec()));
    gate.finished(at(5), 1, true);
    assert_that!(gate.poll(at(5)), eq(&vec![SlotEvent::Admitted(3)]));
}

#[test]
fn more_urgent_requests_get_the_next_slot() {
    let mut gate = busy_gate();
    gate.arrive(at(10), arrival(2, 2, 1_000, 5_000));
    gate.arrive(at(11), arrival(3, 0, 1_000, 5_000));
    gate.finished(at(20), 1, true);
    assert_that!(gate.poll(at(20)), eq(&vec![SlotEvent::Admitted(3)]));
}

#[test]
fn among_equals_the_first_objective_goes_first() {
    let mut gate = busy_gate();
    gate.arrive(at(10), arrival(2, 0, 900, 5_000));
    gate.arrive(at(11), arrival(3, 0, 400, 5_000));
    gate.finished(at(20), 1, true);
    assert_that!(gate.poll(at(20)), eq(&vec![SlotEvent::Admitted(3)]));
}

/// Under a burst, requests that would miss their objective anyway must not wait.
#[test]
fn request_that_would_wait_too_long_is_refused_at_once() {
    let mut gate = busy_gate();
    gate.arrive(at(10), arrival(2, 0, 1_000, 5_000));
    gate.arrive(at(10), arrival(3, 0, 1_000, 5_000));
    let decision = gate.arrive(at(10), arrival(4, 0, 30, 5_000));
    assert_that!(decision, pat!(SlotDecision::Refused(anything())));
    let SlotDecision::Refused(refusal) = decision else {
        return;
    };
    assert_that!(refusal.kind, eq(ErrorKind::Overloaded));
    assert_that!(refusal.retry_after, some(ge(Duration::from_millis(10))));
}

/// A request that can no longer meet its objective goes after those that can, but is not dropped.
#[test]
fn late_request_waits_behind_those_in_time() {
    let mut gate = busy_gate();
    gate.arrive(at(10), arrival(2, 0, 50, 5_000));
    assert_that!(gate.poll(at(60)), eq(&vec![]));
    gate.arrive(at(61), arrival(3, 2, 1_000, 5_000));
    gate.finished(at(70), 1, true);
    assert_that!(gate.poll(at(70)), eq(&vec![SlotEvent::Admitted(3)]));
    gate.finished(at(80), 3, true);
    assert_that!(gate.poll(at(80)), eq(&vec![SlotEvent::Admitted(2)]));
}

#[test]
fn request_whose_deadline_cannot_be_met_is_refused() {
    let mut gate = busy_gate();
    gate.arrive(at(10), arrival(2, 0, 50, 100));
    gate.poll(at(60));
    let events = gate.poll(at(100));
    assert_that!(
        events,
        elements_are![pat!(SlotEvent::Refused(eq(&2), anything()))]
    );
}

#[test]
fn cancelled_requests_leave_queue_and_slot() {
    let mut gate = busy_gate();
    gate.arrive(at(10), arrival(2, 0, 1_000, 5_000));
    gate.arrive(at(10), arrival(3, 0, 1_000, 5_000));
    gate.cancelled(at(11), 2);
    gate.cancelled(at(12), 1);
    assert_that!(gate.poll(at(12)), eq(&vec![SlotEvent::Admitted(3)]));
}

fn new_request(id: u64, now: u64) -> SlotArrival {
    SlotArrival {
        is_call: false,
        ..arrival(id, 2, now + 1_000, now + 5_000)
    }
}

/// Offers `per_second` requests a second that each hold a slot for `hold` milliseconds, and returns
/// the maximum number open at a time and the number admitted in the last second of five.
fn offer(gate: &mut SlotGate, per_second: u64, hold: u64) -> (u32, usize) {
    let mut ends = std::collections::VecDeque::new();
    let mut most = 0;
    let mut last_second = 0;
    for n in 0..5 * per_second {
        let now = n * 1_000 / per_second;
        while ends.front().is_some_and(|(end, _)| *end <= now) {
            if let Some((end, id)) = ends.pop_front() {
                gate.finished(at(end), id, true);
            }
        }
        if gate.arrive(at(now), new_request(n, now)) == SlotDecision::Admitted {
            ends.push_back((now + hold, n));
            last_second += usize::from(now >= 4_000);
        }
        most = most.max(gate.load(at(0)).in_flight);
    }
    (most, last_second)
}

/// While all requests complete in time, all are admitted.
#[test]
fn requests_that_complete_in_time_are_admitted() {
    let (most, served) = offer(&mut gate(200), 200, 300);
    assert_that!(most, le(61));
    assert_that!(served, eq(200));
}

/// With the slots as the only limit, 1000 requests would be admitted, and the downstream services
/// would make all of them late.
#[test]
fn no_more_new_requests_are_open_than_complete_in_time() {
    let mut gate = gate(400);
    let mut running = std::collections::VecDeque::new();
    let mut completed_late = 0;
    // The downstream service completes 100 requests a second, in the order of their arrival.
    for n in 0..2_000u64 {
        let now = n * 5;
        if gate.arrive(at(now), new_request(n, now)) == SlotDecision::Admitted {
            running.push_back((n, now));
        }
        if n % 2 == 0
            && let Some((id, since)) = running.pop_front()
        {
            completed_late += usize::from(now >= 5_000 && now - since > 1_000);
            gate.finished(at(now), id, true);
        }
    }
    assert_that!(gate.load(at(0)).in_flight, all![ge(50), le(100)]);
    assert_that!(completed_late, eq(0));
}

/// Returns the requests served in time in the last five of fifteen seconds. 60 a second are offered
/// to a gate of 129 slots. Each makes five calls, one after the other, to a service that completes
/// 60 calls a second in the order of their arrival and refuses those that waited for 700 ms. A
/// refused call fails its request.
fn served_above_a_slow_service() -> usize {
    let mut gate = gate(129);
    let mut calls = std::collections::VecDeque::new();
    let mut served = 0;
    for now in 0..15_000u64 {
        while let Some((id, since, _)) = calls.front().copied()
            && now - since >= 700
        {
            calls.pop_front();
            gate.finished(at(now), id, false);
        }
        let has_capacity = now * 60 / 1_000 != (now + 1) * 60 / 1_000;
        if has_capacity && let Some((id, _, left)) = calls.pop_front() {
            if left > 1 {
                calls.push_back((id, now, left - 1));
            } else {
                gate.finished(at(now), id, true);
                // The identifier is the time of arrival.
                served += usize::from(now >= 10_000 && now - id <= 1_000);
            }
        }
        if has_capacity && gate.arrive(at(now), new_request(now, now)) == SlotDecision::Admitted {
            calls.push_back((now, now, 5));
        }
    }
    served
}

/// An optimal gate, given all arrivals in advance, would serve 12 a second, 60 in five seconds.
#[test]
fn no_slots_are_filled_with_requests_that_the_downstream_service_must_refuse() {
    assert_that!(served_above_a_slow_service(), ge(54));
}

/// Returns the requests admitted in the last of five seconds, out of 200. Most fail within 60 ms
/// because their calls are refused; the others take 200 ms.
fn admitted_while_calls_are_refused() -> usize {
    let mut gate = gate(129);
    let mut open = std::collections::BTreeSet::new();
    let mut admitted = 0;
    for n in 0..1_000u64 {
        let now = 5 * n;
        while let Some((end, id)) = open.first().copied()
            && end <= now
        {
            open.pop_first();
            gate.finished(at(end), id, id < 200 || id % 10 == 0);
        }
        if gate.arrive(at(now), new_request(n, now)) == SlotDecision::Admitted {
            admitted += usize::from(now >= 4_000);
            let fails = n >= 200 && n % 10 != 0;
            open.insert((now + if fails { 60 } else { 200 }, n));
        }
    }
    admitted
}

/// Quick failures are no sign of a downstream delay.
#[test]
fn quick_failures_do_not_lower_the_open_limit() {
    assert_that!(admitted_while_calls_are_refused(), eq(200));
}

/// Requests without calls wait only for slots, so a burst of them may be queued.
#[test]
fn a_burst_of_requests_without_calls_is_exempt_from_the_open_limit() {
    let mut gate = gate(27);
    let request = |id: u64, now: u64| SlotArrival {
        makes_calls: false,
        ..SlotArrival {
            objective: at(now + 150),
            ..new_request(id, now)
        }
    };
    // One at a time, each of 20 ms, for two seconds.
    for n in 0..40 {
        gate.arrive(at(50 * n), request(n, 50 * n));
        gate.finished(at(50 * n + 20), n, true);
    }
    let decisions = (100..130).map(|id| gate.arrive(at(2_000), request(id, 2_000)));
    let refused = decisions.filter(|d| matches!(d, SlotDecision::Refused(_)));
    assert_that!(refused.count(), eq(0));
}

/// After a few slow answers, no request of a kind is expected to meet its objective. All of them
/// are then queued last and get no slot on a busy target, so no new sample corrects the estimate.
#[test]
fn a_kind_that_was_briefly_slow_is_served_again() {
    let mut gate = gate(4);
    let urgent = |id: u64, now: u64| SlotArrival {
        rank: 1,
        kind: KindKey(1),
        makes_calls: false,
        ..SlotArrival {
            objective: at(now + 150),
            deadline: at(now + 600),
            ..new_request(id, now)
        }
    };
    for id in 0..20 {
        gate.arrive(at(0), urgent(id, 0));
        gate.finished(at(180), id, true);
    }
    let mut running = std::collections::VecDeque::new();
    let mut served = 0;
    for now in 200..5_200u64 {
        // Less urgent calls keep all slots busy; each request holds one for 20 ms.
        if now % 4 == 0 {
            let call = arrival(2 * now, 2, now + 1_000, now + 2_000);
            if gate.arrive(at(now), call) == SlotDecision::Admitted {
                running.push_back((2 * now, now));
            }
        }
        if now % 25 == 0 && gate.arrive(at(now), urgent(2 * now + 1, now)) == SlotDecision::Admitted
        {
            running.push_back((2 * now + 1, now));
        }
        while let Some((id, since)) = running.front().copied()
            && now - since >= 20
        {
            running.pop_front();
            gate.finished(at(now), id, true);
            served += usize::from(id % 2 == 1 && now >= 3_200);
        }
        for event in gate.poll(at(now)) {
            if let SlotEvent::Admitted(id) = event {
                running.push_back((id, now));
            }
        }
    }
    // Out of 80 that arrive in the last two seconds.
    assert_that!(served, ge(76));
}

/// A service that has just started must not count as one that completes nothing.
#[test]
fn first_requests_are_admitted_while_the_completion_rate_is_unknown() {
    let mut gate = gate(100);
    let decisions = (0..100).map(|id| gate.arrive(at(id), new_request(id, id)));
    let admitted = decisions.filter(|d| *d == SlotDecision::Admitted).count();
    assert_that!(admitted, eq(100));
}

/// Calls of running requests are admitted regardless of the completion rate.
#[test]
fn calls_are_exempt_from_the_open_limit() {
    let mut gate = gate(100);
    let decisions = (0..100).map(|id| gate.arrive(at(0), arrival(id, 2, 1_000, 5_000)));
    let admitted = decisions.filter(|d| *d == SlotDecision::Admitted).count();
    assert_that!(admitted, eq(100));
}

#[test]
fn lowered_deadline_refuses_what_cannot_start_in_time() {
    let mut gate = busy_gate();
    for id in 2..=4 {
        gate.arrive(at(10), arrival(id, 0, 1_000, 5_000));
    }
    // The running request ends at 20; each of the others holds the slot for 10 ms.
    for id in [2, 3, 4] {
        gate.limit_deadline(at(12), id, at(55));
    }
    let refused: Vec<u64> = gate
        .poll(at(12))
        .into_iter()
        .filter_map(|event| match event {
            SlotEvent::Refused(id, _) => Some(id),
            SlotEvent::Admitted(_) => None,
        })
        .collect();
    assert_that!(refused, eq(&vec![4]));
    gate.finished(at(20), 1, true);
    assert_that!(gate.poll(at(20)), eq(&vec![SlotEvent::Admitted(2)]));
    // A request whose time is over is refused, not run.
    let events = gate.poll(at(60));
    assert_that!(
        events,
        elements_are![matches_pattern!(SlotEvent::Refused(eq(&3), _))]
    );
}

#[test]
fn lowered_deadline_does_not_affect_running_requests() {
    let mut gate = busy_gate();
    gate.limit_deadline(at(12), 1, at(13));
    assert_that!(gate.poll(at(20)), eq(&vec![]));
    // A later deadline changes nothing either.
    gate.arrive(at(20), arrival(2, 0, 1_000, 5_000));
    gate.limit_deadline(at(21), 2, at(6_000));
    gate.finished(at(22), 1, true);
    assert_that!(gate.poll(at(22)), eq(&vec![SlotEvent::Admitted(2)]));
}
