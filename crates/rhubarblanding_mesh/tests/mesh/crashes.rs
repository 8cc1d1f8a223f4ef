//! Requests that crash the targets that run them, and others that run beside them.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use googletest::prelude::*;
use rhubarblanding_request::suspect::{Fingerprint, RequestContent};
use tokio::task::JoinHandle;

use super::ROUTES;
use super::fleet::Fleet;
use super::target::{Behaviour, DOWN, header};

/// Time after the third crash from which the users' bound counts.
const STABLE: Duration = Duration::from_secs(3);

/// Two entry hosts and three targets. Each new process of a target reports itself.
async fn fleet() -> (Arc<Fleet>, JoinHandle<()>) {
    let services = ["egresos", "egresos", "turnos", "turnos", "turnos"];
    let fleet = Arc::new(Fleet::start(&services, ROUTES).await);
    let reporting = Arc::clone(&fleet);
    let reports = tokio::spawn(async move {
        for sequence in 2u64.. {
            tokio::time::sleep(Duration::from_millis(100)).await;
            for (i, host) in reporting.hosts.iter().enumerate() {
                let process = host.target.process();
                let service = host.service;
                let report = format!("report {service} i{i} {process} {sequence} ready 8");
                reporting.control(i, report).await;
            }
        }
    });
    (fleet, reports)
}

fn crashes(fleet: &Fleet) -> u64 {
    fleet
        .hosts
        .iter()
        .map(|host| host.target.process() - 1)
        .sum()
}

/// Runs of requests with `part` in their request line.
fn runs_of_path(fleet: &Fleet, part: &str) -> usize {
    let ran = fleet.hosts.iter().flat_map(|host| host.target.ran());
    ran.filter(|head| head.lines().next().is_some_and(|line| line.contains(part)))
        .count()
}

/// A request crashes each target that runs it, and comes again every 400 ms at one of two nodes, each
/// time with another identifier, while other requests of its route come.
async fn cause_is_refused(path: &'static str, other: &'static str) {
    let (fleet, reports) = fleet().await;
    for host in &fleet.hosts {
        host.target.crash_on("cause");
    }
    let served = Arc::new(AtomicUsize::new(0));
    let began = Instant::now();
    let mut third_at = None;
    let mut before_bound = None;
    let mut refused = 0;
    for i in 0.. {
        if began.elapsed() > Duration::from_secs(12) {
            break;
        }
        let (id, host) = (format!("cause{i}"), i % 2);
        let resp = fleet.request(host, path, &id).await;
        let status = resp.map(|resp| resp.0.as_u16());
        let runs = fleet.runs_of(&id);
        // A refusal is true, and a run is not denied.
        assert_that!(status == Some(503), eq(runs == 0));
        refused += usize::from(status == Some(503));
        if crashes(&fleet) >= 3 {
            third_at.get_or_insert_with(Instant::now);
        }
        if third_at.is_some_and(|at: Instant| at.elapsed() > STABLE) {
            before_bound.get_or_insert_with(|| runs_of_path(&fleet, "cause"));
        }
        let others = Arc::clone(&fleet);
        let served = Arc::clone(&served);
        let is_late = before_bound.is_some();
        tokio::spawn(async move {
            for j in 0..8 {
                let id = format!("other{i}-{j}");
                let resp = others.request((i + j) % 2, other, &id).await;
                let is_served = resp.is_some_and(|resp| resp.0.as_u16() == 200);
                served.fetch_add(usize::from(is_served && is_late), Ordering::Relaxed);
            }
        });
        tokio::time::sleep(Duration::from_millis(400)).await;
    }
    reports.abort();
    let after = runs_of_path(&fleet, "cause") - before_bound.expect("three crashes");
    assert_that!(after, le(3));
    assert_that!(refused, ge(8));
    // Others are served again: the last of them came after all targets were back.
    assert_that!(served.load(Ordering::Relaxed), ge(80));
}

#[tokio::test]
async fn request_that_crashes_targets_is_refused_after_the_third() {
    cause_is_refused("/safe/cause", "/safe/other").await;
}

#[tokio::test]
async fn request_that_may_run_once_and_crashes_targets_is_refused_after_the_third() {
    cause_is_refused("/once/cause", "/once/other").await;
}

/// Targets that are killed are no reason to refuse the requests that ran there.
#[tokio::test]
async fn requests_of_killed_targets_are_not_refused() {
    let (fleet, reports) = fleet().await;
    for round in 0..4 {
        for host in &fleet.hosts[2..] {
            host.target.set(Behaviour::Work);
        }
        let asked = fleet.request(0, "/once/same", "r");
        let _ = tokio::time::timeout(Duration::from_millis(200), async {
            tokio::join!(asked, async {
                tokio::time::sleep(Duration::from_millis(100)).await;
                for host in &fleet.hosts[2..] {
                    host.target.crash();
                }
            })
        })
        .await;
        for host in &fleet.hosts[2..] {
            host.target.set(Behaviour::Answer);
        }
        tokio::time::sleep(DOWN + Duration::from_millis(500)).await;
        let id = format!("again{round}");
        let resp = fleet.request(1, "/once/same", &id).await;
        assert_that!(resp.map(|resp| resp.0.as_u16()), some(eq(200)));
    }
    reports.abort();
}

/// A target that loses answers, and runs on, has not crashed.
#[tokio::test]
async fn requests_whose_answers_are_lost_are_not_refused() {
    let (fleet, reports) = fleet().await;
    for host in &fleet.hosts[2..] {
        host.target.set(Behaviour::Lose);
    }
    for i in 0..12 {
        let resp = fleet.request(i % 2, "/safe/same", &format!("r{i}")).await;
        assert_that!(resp.map(|resp| resp.0.as_u16()), some(eq(502)));
    }
    for host in &fleet.hosts[2..] {
        host.target.set(Behaviour::Answer);
    }
    let resp = fleet.request(0, "/safe/same", "last").await;
    assert_that!(resp.map(|resp| resp.0.as_u16()), some(eq(200)));
    reports.abort();
    let ran = fleet.hosts.iter().flat_map(|host| host.target.ran());
    let last = ran
        .filter(|head| header(head, "t-id") == Some("last"))
        .count();
    assert_that!(last, eq(1));
}

/// Many requests of a route may have the same content. They run at each target, also when all of them
/// are killed at once, and are no reason for it.
#[tokio::test]
async fn usual_requests_are_served_after_all_targets_were_killed() {
    let (fleet, reports) = fleet().await;
    for i in 0..30 {
        let resp = fleet.request(i % 2, "/safe/usual", &format!("a{i}")).await;
        assert_that!(resp.map(|resp| resp.0.as_u16()), some(eq(200)));
    }
    let targets = &fleet.hosts[2..];
    for host in targets {
        host.target.set(Behaviour::Work);
    }
    let mut running = tokio::task::JoinSet::new();
    for i in 0..24 {
        let fleet = Arc::clone(&fleet);
        let id = format!("b{i}");
        running.spawn(async move { fleet.request(i % 2, "/safe/usual", &id).await });
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    for host in targets {
        host.target.set(Behaviour::Answer);
        host.target.crash();
    }
    running.join_all().await;
    tokio::time::sleep(DOWN + Duration::from_millis(800)).await;
    for i in 0..20 {
        let resp = fleet.request(i % 2, "/safe/usual", &format!("c{i}")).await;
        assert_that!(resp.map(|resp| resp.0.as_u16()), some(eq(200)));
    }
    reports.abort();
}

/// A request that waits for a slot when other nodes tell that it crashes targets does not run.
#[tokio::test]
async fn waiting_request_is_refused_when_it_is_known_to_crash_targets() {
    let fleet = Arc::new(Fleet::start(&["egresos", "turnos"], ROUTES).await);
    fleet
        .control(1, "report turnos i1 1 2 ready 1".to_owned())
        .await;
    let target = &fleet.hosts[1].target;
    target.set(Behaviour::Work);
    let ask = |path: &'static str| {
        let fleet = Arc::clone(&fleet);
        tokio::spawn(async move { fleet.request(0, path, path).await })
    };
    let running = ask("/once/running");
    tokio::time::sleep(Duration::from_millis(150)).await;
    let waiting = ask("/once/cause");
    tokio::time::sleep(Duration::from_millis(150)).await;
    let fingerprint = Fingerprint::from(RequestContent {
        method: "POST",
        host: "mesh.example",
        path: "/once/cause",
        caller: b"egresos",
        body: b"question",
    });
    let crash = |id: u64| format!(r#"{{"id":{id},"age_ms":10,"cleared":false}}"#);
    let crashes: Vec<String> = (1..=3).map(crash).collect();
    let record = format!(
        r#"[{{"fingerprint":{},"crashes":[{}]}}]"#,
        fingerprint.0,
        crashes.join(",")
    );
    let told = fleet.tell(1, "/suspects", record).await;
    assert_that!(told.map(|status| status.as_u16()), some(eq(200)));
    target.set(Behaviour::Answer);
    running.abort();
    let answer = waiting.await.expect("an end");
    assert_that!(answer.map(|resp| resp.0.as_u16()), some(eq(503)));
    assert_that!(fleet.runs_of("/once/cause"), eq(0));
}
