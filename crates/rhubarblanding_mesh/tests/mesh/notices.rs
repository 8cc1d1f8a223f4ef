//! What a target says of itself in its answers: a rate limit, and that it is leaving.

use std::sync::Arc;
use std::time::{Duration, Instant};

use googletest::prelude::*;
use tokio::task::JoinSet;

use super::ROUTES;
use super::fleet::Fleet;
use super::target::Behaviour;

/// Window of the users' bound on requests to a target that names a limit.
const WINDOW: Duration = Duration::from_secs(4);
/// Time after its first answer with a notice from which a target is observed.
const TOLD: Duration = Duration::from_millis(500);

/// Two entry hosts of unequal load and one target, so that its requests cannot go elsewhere.
async fn fleet_of_one_target() -> Arc<Fleet> {
    Arc::new(Fleet::start(&["egresos", "egresos", "turnos"], ROUTES).await)
}

/// Sends requests for `time`, every 20 ms to host 0 and every 80 ms to host 1; returns the statuses
/// of the answers.
async fn load(fleet: &Arc<Fleet>, path: &'static str, time: Duration) -> Vec<u16> {
    let began = Instant::now();
    let mut open = JoinSet::new();
    for i in 0u32.. {
        if began.elapsed() >= time {
            break;
        }
        let host = usize::from(i % 5 == 4);
        let fleet = Arc::clone(fleet);
        let id = format!("r{}-{i}", began.elapsed().as_nanos());
        open.spawn(async move { fleet.request(host, path, &id).await });
        tokio::time::sleep_until((began + Duration::from_millis(16) * (i + 1)).into()).await;
    }
    let answers = open.join_all().await;
    answers
        .into_iter()
        .flatten()
        .map(|a| a.0.as_u16())
        .collect()
}

/// A target that names `limit` gets in a window of four seconds no more than one and a half times
/// what that allows, and five.
async fn limit_is_kept(limit: &str, behaviour: Behaviour, path: &'static str) {
    let fleet = fleet_of_one_target().await;
    let target = &fleet.hosts[2].target;
    target.set(behaviour);
    target.give_notice(&format!("t-rate: {limit}"));
    fleet.request(0, path, "first").await;
    fleet.request(1, path, "second").await;
    let from = Instant::now() + TOLD;
    let statuses = load(&fleet, path, TOLD + WINDOW).await;
    let per_second: f64 = limit.parse().expect("a rate");
    let allowed = 1.5 * per_second * WINDOW.as_secs_f64() + 5.0;
    let got = target.arrived_between(from, from + WINDOW);
    assert_that!(got as f64, le(allowed));
    // The target is used as far as it allows.
    assert_that!(got as f64, ge(0.7 * per_second * WINDOW.as_secs_f64()));
    // What does not fit is refused truthfully, and not left waiting until the client gives up.
    assert_that!(statuses, each(any![eq(&200), eq(&500), eq(&503)]));
    assert_that!(statuses, contains(eq(&503)));
}

macro_rules! limit_cases {
    ($($name:ident: ($($arg:expr),*);)+) => {
        $(#[tokio::test] async fn $name() { limit_is_kept($($arg),*).await; })+
    };
}

limit_cases! {
    target_gets_no_more_than_its_limit: ("10", Behaviour::Answer, "/once/x");
    target_gets_no_more_than_a_fractional_limit: ("2.5", Behaviour::Answer, "/safe/x");
    target_gets_no_more_than_a_limit_of_zero: ("0", Behaviour::Answer, "/safe/x");
    target_that_fails_gets_no_more_than_its_limit: ("10", Behaviour::Fail, "/safe/x");
    target_that_rejects_gets_no_more_than_its_limit: ("10", Behaviour::Shed, "/once/x");
}

#[tokio::test]
async fn limit_follows_its_changes_and_ends() {
    let fleet = fleet_of_one_target().await;
    let target = &fleet.hosts[2].target;
    let arrived = async |lines: &str| {
        target.give_notice(lines);
        fleet.request(0, "/once/x", lines).await;
        let from = Instant::now() + TOLD;
        load(&fleet, "/once/x", TOLD + Duration::from_secs(2)).await;
        target.arrived_between(from, from + Duration::from_secs(2))
    };
    assert_that!(arrived("t-rate: 5").await, le(20));
    assert_that!(arrived("t-rate: 20").await, all![ge(28), le(65)]);
    // A value that is not a rate leaves the one before in force.
    assert_that!(arrived("t-rate: few").await, all![ge(28), le(65)]);
    // Without the header the target takes all 62 a second.
    assert_that!(arrived("").await, ge(100));
}

/// A target that says that it is leaving gets no request of either entry host, while another serves.
#[tokio::test]
async fn leaving_target_gets_no_more_requests() {
    let fleet = Fleet::start(&["egresos", "egresos", "turnos", "turnos"], ROUTES).await;
    let leaving = &fleet.hosts[2].target;
    leaving.give_notice("t-leaving: 1");
    for i in 0..40 {
        fleet.request(0, "/once/x", &format!("a{i}")).await;
    }
    let before = leaving.arrived();
    assert_that!(before, le(1));
    for i in 0..40 {
        let host = i % 2;
        let answer = fleet.request(host, "/once/x", &format!("b{i}")).await;
        assert_that!(answer.map(|a| a.0.as_u16()), some(eq(200)));
    }
    // Reports of the same instance that it is ready change nothing.
    fleet.report(2, 7, "ready").await;
    fleet.request(0, "/once/x", "late").await;
    assert_that!(leaving.arrived(), eq(before));
}

/// The departure outlasts the node: it is recorded in the key-value service.
#[tokio::test]
async fn departure_that_an_answer_tells_is_recorded() {
    let fleet = Fleet::start(&["egresos", "turnos"], ROUTES).await;
    fleet.hosts[1].target.give_notice("t-leaving: 1");
    fleet.request(0, "/once/x", "r1").await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_that!(fleet.stored("mesh/departed/").await, eq(1));
}
