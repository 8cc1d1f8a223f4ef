//! Load on a service of which some backend servers reject requests at once, and so look idle, or fail
//! them.

#![expect(clippy::unwrap_used, reason = "a test panics where its set-up fails")]

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::ops::Range;

use googletest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rhubarblanding_core::prelude::*;
use rhubarblanding_routing::prelude::*;

const SEED: u64 = 20_261_204;
const SLOTS: u32 = 29;
/// Time that a request holds a slot, in milliseconds.
const HOLD: u64 = 37;
/// Time after which a rejection is known, in milliseconds.
const REJECTION: u64 = 1;
/// Requests that a target's node lets wait.
const QUEUE: u32 = SLOTS;
/// Retries for each hundred requests.
const RETRIES_PERCENT: u64 = 20;

/// What a bad backend server does with a part of the requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// It rejects them at once; they may be sent again.
    Rejects,
    /// It runs and fails them; they may not be sent again.
    Fails,
}

/// A target.
struct Server {
    info: TargetInfo,
    is_bad: bool,
    busy: u32,
    queue: Vec<Sent>,
}

/// An attempt of a request.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Sent {
    server: usize,
    is_retry: bool,
}

/// What becomes known at a time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Answered(Sent),
    Rejected(Sent),
    Failed(Sent),
}

/// Requests offered and served, attempts that were rejected or failed, and retries.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    offered: u64,
    served: u64,
    rejected: u64,
    failed: u64,
    retries: u64,
}

struct World {
    router: Router,
    rng: SmallRng,
    servers: Vec<Server>,
    due: BinaryHeap<Reverse<(u64, Event)>>,
    fault: Fault,
    /// Share of its requests that a bad backend server rejects or fails.
    fault_percent: u32,
    counts: Counts,
}

fn server(index: usize, bad: usize) -> Server {
    Server {
        info: TargetInfo {
            host: HostId(([127, 0, 0, 1], 7_000 + index as u16).into()),
            incarnation: Incarnation(1),
            service: ServiceName::try_from("egresos").unwrap(),
            zone: ZoneName::try_from("ros").unwrap(),
            slots: SLOTS,
            state: TargetState::Serving,
        },
        is_bad: index < bad,
        busy: 0,
        queue: Vec::new(),
    }
}

impl World {
    fn new(servers: usize, bad: usize, fault: Fault, fault_percent: u32) -> Self {
        let mut router = Router::new(RouterSettings::default());
        let servers: Vec<Server> = (0..servers).map(|index| server(index, bad)).collect();
        for server in &servers {
            router.upsert(MonoTime::ZERO, server.info.clone());
        }
        Self {
            router,
            rng: SmallRng::seed_from_u64(SEED),
            servers,
            due: BinaryHeap::new(),
            fault,
            fault_percent,
            counts: Counts::default(),
        }
    }

    /// Offers `per_second` requests a second during `time`, in milliseconds. No target is cold from
    /// second 2 on.
    fn run(&mut self, time: Range<u64>, per_second: f64) -> Counts {
        self.counts = Counts::default();
        for now in time {
            while let Some(Reverse((at, event))) = self.due.peek().copied()
                && at <= now
            {
                self.due.pop();
                self.on_event(now, event);
            }
            let arrivals = per_second / 1_000.0;
            let extra = self.rng.random_bool(arrivals.fract());
            for _ in 0..arrivals as u32 + u32::from(extra) {
                self.counts.offered += 1;
                self.send(now, &[], false);
            }
        }
        self.counts
    }

    fn send(&mut self, now: u64, exclude: &[HostId], is_retry: bool) {
        let req = PickRequest {
            zone: None,
            exclude,
        };
        let time = MonoTime::from_millis(now);
        let Some(id) = self.router.pick(time, &mut self.rng, req) else {
            return;
        };
        let server = usize::from(id.host.0.port() - 7_000);
        self.router.started(time, id);
        let sent = Sent { server, is_retry };
        if self.servers[server].busy < SLOTS {
            self.start(now, sent);
        } else if self.servers[server].queue.len() < QUEUE as usize {
            self.servers[server].queue.push(sent);
        } else {
            self.finish(now, sent, TargetOutcome::Refused);
        }
    }

    fn start(&mut self, now: u64, sent: Sent) {
        let server = &mut self.servers[sent.server];
        server.busy += 1;
        let is_hit = server.is_bad && self.rng.random_range(0..100) < self.fault_percent;
        let (after, event) = match (is_hit, self.fault) {
            (true, Fault::Rejects) => (REJECTION, Event::Rejected(sent)),
            (true, Fault::Fails) => (HOLD, Event::Failed(sent)),
            (false, _) => (HOLD, Event::Answered(sent)),
        };
        self.due.push(Reverse((now + after, event)));
    }

    fn on_event(&mut self, now: u64, event: Event) {
        let (sent, outcome) = match event {
            Event::Answered(sent) => (sent, TargetOutcome::Answered),
            Event::Rejected(sent) => (sent, TargetOutcome::Rejected),
            Event::Failed(sent) => (sent, TargetOutcome::Failed),
        };
        self.servers[sent.server].busy -= 1;
        if !self.servers[sent.server].queue.is_empty() {
            let next = self.servers[sent.server].queue.remove(0);
            self.start(now, next);
        }
        self.finish(now, sent, outcome);
    }

    fn finish(&mut self, now: u64, sent: Sent, outcome: TargetOutcome) {
        let time = MonoTime::from_millis(now);
        let server = &self.servers[sent.server];
        let id = TargetId {
            host: server.info.host,
            incarnation: server.info.incarnation,
        };
        self.router.finished(time, id, outcome);
        let report = LoadReport {
            in_flight: server.busy,
            queued: server.queue.len() as u32,
            limit: SLOTS,
            ..LoadReport::default()
        };
        self.router.observe(time, id, report);
        match outcome {
            TargetOutcome::Answered => self.counts.served += 1,
            TargetOutcome::Failed => self.counts.failed += 1,
            TargetOutcome::Rejected => {
                self.counts.rejected += 1;
                let may_retry = self.counts.retries * 100 < self.counts.offered * RETRIES_PERCENT;
                if !sent.is_retry && may_retry {
                    self.counts.retries += 1;
                    self.send(now, &[id.host], true);
                }
            }
            _ => {}
        }
    }
}

/// Whoever knew the bad targets would send what the others can hold to those alone, so that every
/// request would be served.
fn requests_go_where_they_are_served(servers: usize, bad: usize, fault: Fault, percent: u32) {
    let capacity = (servers - bad) as f64 * f64::from(SLOTS) * 1_000.0 / HOLD as f64;
    let counts = World::new(servers, bad, fault, percent).run(3_000..8_000, 0.85 * capacity);
    println!("{counts:?}");
    assert_that!(counts.offered, gt(1_000));
    assert_that!(counts.served * 100, ge(counts.offered * 90));
}

use Fault::{Fails, Rejects};

rhubarblanding_core::cases! {
    requests_go_where_they_are_served;
    all_are_good: (3, 0, Rejects, 0);
    one_of_two_rejects: (2, 1, Rejects, 60);
    three_of_four_reject_most: (4, 3, Rejects, 60);
    three_of_four_reject_nearly_all: (4, 3, Rejects, 95);
    six_of_eight_reject_most: (8, 6, Rejects, 60);
    one_of_two_fails_a_third: (2, 1, Fails, 33);
    two_of_four_fail_most: (4, 2, Fails, 60);
    six_of_eight_fail_half: (8, 6, Fails, 50);
}

/// A target that is right again gets its share back.
#[test]
fn what_no_longer_rejects_is_used() {
    let capacity = f64::from(SLOTS) * 1_000.0 / HOLD as f64;
    let mut world = World::new(2, 1, Rejects, 95);
    let before = world.run(3_000..5_000, 0.85 * capacity);
    assert_that!(before.rejected, gt(0));
    world.fault_percent = 0;
    let after = world.run(5_000..10_000, 0.85 * 2.0 * capacity);
    println!("{after:?}");
    assert_that!(after.served * 100, ge(after.offered * 90));
}

/// Each change of what is thought of a target is told once.
#[test]
fn judgements_are_told_when_they_change() {
    let mut router = Router::new(RouterSettings::default());
    let info = server(0, 0).info;
    let id = TargetId {
        host: info.host,
        incarnation: info.incarnation,
    };
    router.upsert(MonoTime::ZERO, info);
    let outcomes = [
        (TargetOutcome::Rejected, 5),
        (TargetOutcome::Answered, 60),
        (TargetOutcome::Rejected, 1),
        (TargetOutcome::ConnectFailed, 5),
        (TargetOutcome::Answered, 60),
    ];
    let mut judgements = Vec::new();
    for (outcome, times) in outcomes {
        for _ in 0..times {
            let now = MonoTime::from_millis(3_000);
            router.started(now, id);
            judgements.extend(router.finished(now, id, outcome));
        }
    }
    let expected = [
        HealthStatus::Unreliable,
        HealthStatus::Reliable,
        HealthStatus::Failing,
        HealthStatus::Recovered,
    ];
    assert_that!(judgements, eq(&expected.to_vec()));
}
