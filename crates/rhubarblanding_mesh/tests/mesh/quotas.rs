//! Quotas of client accounts over all nodes.

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use rhubarblanding_accounts::quota::{Quota, QuotaBound};
use rhubarblanding_mesh::settings::AccountBounds;
use tokio::task::JoinSet;

use super::fleet::Fleet;

const BOUND: QuotaBound = QuotaBound {
    window: Duration::from_secs(5),
    tolerance: 0.1,
    slack: 20.0,
};
/// The limit of `hot`, as in [`CONFIGURATION`].
const QUOTA: Quota = Quota {
    rate_per_s: 30.0,
    burst: 30.0,
};
const CONFIGURATION: &str = "1\n/once/ turnos false\naccount hot//30 k1\naccount calm//30 k2";
/// Requests a second of the hot account, ten times its rate.
const HOT_PER_S: u32 = 300;
/// Requests a second of the account within its quota.
const CALM_PER_S: u32 = 10;

async fn fleet(bound: Option<QuotaBound>) -> Arc<Fleet> {
    let bounds = AccountBounds {
        withdrawal: None,
        adoption: Duration::from_secs(2),
        quota: bound,
    };
    let services = ["egresos", "egresos", "egresos", "turnos", "turnos"];
    let fleet = Fleet::with_accounts(&services, bounds, CONFIGURATION).await;
    // Within six seconds of a change of the members, buckets begin nearly empty, and an empty one is
    // no reason to say that the account is beyond its quota.
    tokio::time::sleep(Duration::from_secs(8)).await;
    Arc::new(fleet)
}

#[derive(Default)]
struct Answers {
    ran: usize,
    exceeded: usize,
    others: Vec<u16>,
    without_retry: usize,
}

/// Sends with `key` to all nodes in turn, evenly over `time`.
async fn send(fleet: &Arc<Fleet>, key: &str, per_s: u32, time: Duration) -> Answers {
    let began = tokio::time::Instant::now();
    let count = (f64::from(per_s) * time.as_secs_f64()) as u32;
    let mut requests = JoinSet::new();
    for i in 0..count {
        let (fleet, key) = (Arc::clone(fleet), key.to_owned());
        requests.spawn(async move {
            tokio::time::sleep_until(began + Duration::from_secs(1) * i / per_s).await;
            let id = format!("{key}-{i}");
            let node = i as usize % fleet.hosts.len();
            let headers = [("t-key", &*key)];
            fleet.request_with(node, "/once/x", &id, &headers).await
        });
    }
    let mut answers = Answers::default();
    for answer in requests.join_all().await {
        let (status, headers, _) = answer.expect("an answer");
        match status.as_u16() {
            200 => answers.ran += 1,
            429 => answers.exceeded += 1,
            other => answers.others.push(other),
        }
        let is_refused = status.as_u16() != 200;
        answers.without_retry += usize::from(is_refused && !headers.contains_key("retry-after"));
    }
    answers
}

#[tokio::test]
async fn hot_account_runs_at_its_quota_and_another_is_not_refused() {
    let fleet = fleet(Some(BOUND)).await;
    let time = BOUND.window;
    let (hot, calm) = tokio::join!(
        send(&fleet, "k1", HOT_PER_S, time),
        send(&fleet, "k2", CALM_PER_S, time)
    );
    assert_that!(hot.ran as f64, le(BOUND.max_in_window(QUOTA)));
    assert_that!(
        hot.ran as f64,
        ge(QUOTA.rate_per_s * time.as_secs_f64() * 0.9)
    );
    assert_that!(hot.others, len(eq(0)));
    assert_that!(hot.exceeded, gt(0));
    assert_that!(hot.without_retry, eq(0));
    assert_that!(calm.exceeded, eq(0));
    assert_that!(calm.others, len(eq(0)));
    let metrics = fleet.get(fleet.hosts[0].metrics, "/metrics").await;
    let metrics = metrics.expect("an answer").2;
    let line = "rhubarblanding_refusals_total{reason=\"quota_exceeded\"}";
    assert_that!(metrics.as_str(), contains_substring(line));
    let line = "rhubarblanding_account_requests_per_second{account=\"hot\"}";
    assert_that!(metrics.as_str(), contains_substring(line));
}

#[tokio::test]
async fn quotas_are_kept_only_where_the_settings_bound_them() {
    let fleet = fleet(None).await;
    let hot = send(&fleet, "k1", HOT_PER_S, Duration::from_secs(1)).await;
    assert_that!(hot.exceeded, eq(0));
    assert_that!(hot.ran as f64, gt(QUOTA.rate_per_s + QUOTA.burst));
    let asked = fleet.tell(0, "/quota", "{\"q\":[]}".to_owned()).await;
    assert_that!(asked.map(|status| status.as_u16()), some(eq(200)));
}

/// Largest number of requests that arrived at targets in a window of the bound.
fn most_in_window(fleet: &Fleet) -> usize {
    let hosts = fleet.hosts.iter();
    let mut arrivals: Vec<_> = hosts.flat_map(|host| host.target.arrivals()).collect();
    arrivals.sort_unstable();
    let in_window = arrivals.iter().enumerate().map(|(i, first)| {
        let end = *first + BOUND.window;
        arrivals[i..].partition_point(|at| *at < end)
    });
    in_window.max().unwrap_or_default()
}

/// A node that had just started admitted requests without a charge, as it was not yet in the group
/// that keeps quotas (QUOTA).
#[tokio::test]
async fn node_that_has_just_started_keeps_quotas() {
    let fleet = fleet(Some(BOUND)).await;
    fleet.kill(0).await;
    let at_started = async {
        tokio::time::sleep(BOUND.window / 2).await;
        fleet.start_again(0).await;
        let mut requests = JoinSet::new();
        for i in 0..HOT_PER_S {
            let fleet = Arc::clone(&fleet);
            requests.spawn(async move {
                let headers = [("t-key", "k1")];
                let id = format!("start-{i}");
                fleet.request_with(0, "/once/x", &id, &headers).await
            });
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        requests.join_all().await
    };
    let at_others = async {
        for i in 0..HOT_PER_S {
            let headers = [("t-key", "k1")];
            let node = 1 + i as usize % (fleet.hosts.len() - 1);
            let id = format!("other-{i}");
            let answer = fleet.request_with(node, "/once/x", &id, &headers).await;
            assert_that!(answer, some(anything()));
            tokio::time::sleep(BOUND.window / HOT_PER_S).await;
        }
    };
    tokio::join!(at_started, at_others);
    let most = most_in_window(&fleet) as f64;
    assert_that!(most, all![gt(0.0), le(BOUND.max_in_window(QUOTA))]);
}
