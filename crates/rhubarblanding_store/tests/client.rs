//! Client against the embedded stand-in service: writes, outages, lost answers, watches, leases.

#![expect(clippy::expect_used, reason = "a test panics where its set-up fails")]

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use googletest::prelude::*;
use rhubarblanding_standins::store::{Faults, OutageMode, StoreServer};
use rhubarblanding_store::prelude::*;
use rhubarblanding_store::value::VALUE_MAX_BYTES;

const CALL_TIMEOUT: Duration = Duration::from_millis(200);
const LEASE_TTL: Duration = Duration::from_millis(80);

async fn start() -> (StoreServer, StoreClient) {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = StoreServer::start(any_port).await.expect("a free port");
    let client = client_of(server.addr());
    (server, client)
}

fn client_of(addr: SocketAddr) -> StoreClient {
    StoreClient::new(StoreSettings {
        addr,
        call_timeout: CALL_TIMEOUT,
        ..StoreSettings::default()
    })
}

fn key() -> Key {
    Key::from_static("a/key")
}

async fn create(client: &StoreClient, value: &'static str) -> Revision {
    match client
        .compare_and_swap(&key(), Revision::ABSENT, value.into())
        .await
    {
        Ok(CasOutcome::Stored(revision)) => revision,
        other => panic!("not created: {other:?}"),
    }
}

fn error_of<T: std::fmt::Debug>(
    result: std::result::Result<T, error_stack::Report<StoreError>>,
) -> StoreError {
    *result.expect_err("a failure").current_context()
}

#[tokio::test]
async fn one_of_two_writers_wins() {
    let (_server, client) = start().await;
    let first = create(&client, "one").await;
    let second = client
        .compare_and_swap(&key(), first, "two".into())
        .await
        .expect("an answer");
    let CasOutcome::Stored(second) = second else {
        panic!("{second:?}");
    };
    assert_that!(second, gt(first));
    assert_that!(
        client.compare_and_swap(&key(), first, "three".into()).await,
        ok(eq(&CasOutcome::Conflict(second)))
    );
    let found = client.get(&key()).await.expect("an answer").expect("some");
    assert_that!(found.value.as_ref(), eq(b"two".as_slice()));
    assert_that!(found.revision, eq(second));
}

#[tokio::test]
async fn absent_key_reads_as_none_and_lists_as_nothing() {
    let (_server, client) = start().await;
    assert_that!(client.get(&key()).await, ok(none()));
    let prefix = Key::from_static("a/");
    assert_that!(client.list(&prefix).await, ok(is_empty()));
    create(&client, "one").await;
    assert_that!(client.list(&prefix).await, ok(len(eq(1))));
    let other = Key::from_static("b/");
    assert_that!(client.list(&other).await, ok(is_empty()));
}

#[tokio::test]
async fn values_have_a_greatest_size() {
    let (server, client) = start().await;
    let largest = vec![b'x'; VALUE_MAX_BYTES];
    let stored = client
        .compare_and_swap(&key(), Revision::ABSENT, largest.into())
        .await;
    assert_that!(stored, ok(matches_pattern!(CasOutcome::Stored(_))));
    let too_large = vec![b'x'; VALUE_MAX_BYTES + 1];
    let refused = client
        .compare_and_swap(&key(), Revision::new(Era(0), 1), too_large.into())
        .await;
    assert_that!(error_of(refused), eq(StoreError::ValueTooLarge));
    assert_that!(server.calls().put, eq(1));
}

async fn assert_outage_errors(mode: OutageMode, read: StoreError, write: StoreError) {
    let (server, client) = start().await;
    create(&client, "one").await;
    server.set_faults(Faults {
        outage: true,
        outage_mode: mode,
        ..Faults::default()
    });
    assert_that!(error_of(client.get(&key()).await), eq(read));
    let put = client
        .compare_and_swap(&key(), Revision::new(Era(0), 1), "two".into())
        .await;
    assert_that!(error_of(put), eq(write));
    server.set_faults(Faults::default());
    let found = client.get(&key()).await.expect("an answer").expect("some");
    assert_that!(found.value.as_ref(), eq(b"one".as_slice()));
}

#[tokio::test]
async fn refused_write_is_known_not_to_be_applied() {
    assert_outage_errors(
        OutageMode::Refuse,
        StoreError::Unavailable,
        StoreError::Unavailable,
    )
    .await;
}

#[tokio::test]
async fn dropped_write_may_be_applied() {
    assert_outage_errors(
        OutageMode::Drop,
        StoreError::Unavailable,
        StoreError::AnswerLost,
    )
    .await;
}

#[tokio::test]
async fn hanging_call_ends_after_its_limit() {
    let began = Instant::now();
    assert_outage_errors(
        OutageMode::Hang,
        StoreError::Unavailable,
        StoreError::AnswerLost,
    )
    .await;
    assert_that!(began.elapsed(), lt(CALL_TIMEOUT * 5));
}

#[tokio::test]
async fn unreachable_service_is_unavailable() {
    let (server, _) = start().await;
    let addr = server.addr();
    drop(server);
    tokio::time::sleep(Duration::from_millis(20)).await;
    let put = client_of(addr)
        .compare_and_swap(&key(), Revision::ABSENT, "one".into())
        .await;
    assert_that!(error_of(put), eq(StoreError::Unavailable));
}

#[tokio::test]
async fn lost_answer_is_reported_and_read_back() {
    let (server, client) = start().await;
    server.set_faults(Faults {
        lose_answer_after_apply: 1,
        ..Faults::default()
    });
    let put = client
        .compare_and_swap(&key(), Revision::ABSENT, "one".into())
        .await;
    assert_that!(error_of(put), eq(StoreError::AnswerLost));
    let found = client.get(&key()).await.expect("an answer");
    assert_that!(found, some(anything()));
}

#[tokio::test]
async fn lost_request_is_not_applied() {
    let (server, client) = start().await;
    server.set_faults(Faults {
        lose_request_before_apply: 1,
        ..Faults::default()
    });
    let put = client
        .compare_and_swap(&key(), Revision::ABSENT, "one".into())
        .await;
    assert_that!(error_of(put), eq(StoreError::AnswerLost));
    assert_that!(client.get(&key()).await, ok(none()));
}

#[tokio::test]
async fn slow_write_is_applied_after_its_caller_gave_up() {
    let (server, client) = start().await;
    server.set_faults(Faults {
        delay_ms: 300,
        ..Faults::default()
    });
    let put = client
        .compare_and_swap(&key(), Revision::ABSENT, "one".into())
        .await;
    assert_that!(error_of(put), eq(StoreError::AnswerLost));
    server.set_faults(Faults::default());
    assert_that!(client.get(&key()).await, ok(none()));
    tokio::time::sleep(Duration::from_millis(250)).await;
    assert_that!(client.get(&key()).await, ok(some(anything())));
}

#[tokio::test]
async fn stale_read_shows_the_state_before() {
    let (server, client) = start().await;
    let first = create(&client, "one").await;
    let put = client.compare_and_swap(&key(), first, "two".into()).await;
    assert_that!(put, ok(anything()));
    server.set_faults(Faults {
        stale_reads: true,
        ..Faults::default()
    });
    let found = client.get(&key()).await.expect("an answer").expect("some");
    assert_that!(found.revision, eq(first));
}

#[tokio::test]
async fn waiting_watch_counts_once_and_sees_the_change() {
    let (server, client) = start().await;
    let first = create(&client, "one").await;
    let waiting = {
        let client = client.clone();
        tokio::spawn(async move { client.watch(&key(), first, Duration::from_secs(5)).await })
    };
    tokio::time::sleep(Duration::from_millis(30)).await;
    let put = client.compare_and_swap(&key(), first, "two".into()).await;
    assert_that!(put, ok(anything()));
    let watched = waiting.await.expect("no panic").expect("an answer");
    assert_that!(watched, matches_pattern!(WatchOutcome::Changed(_)));
    assert_that!(server.calls().watch, eq(1));
    let wait = Duration::from_millis(20);
    let quiet = client.watch(&key(), Revision::new(Era(0), 2), wait).await;
    assert_that!(quiet, ok(eq(&WatchOutcome::Unchanged(Revision::ABSENT))));
}

#[tokio::test]
async fn lapsed_lease_removes_its_value_and_cannot_be_used() {
    let (_server, client) = start().await;
    let lease = client.grant_lease(LEASE_TTL).await.expect("a lease");
    let put = client
        .compare_and_swap_leased(&key(), Revision::ABSENT, "one".into(), lease.id)
        .await;
    let Ok(CasOutcome::Stored(revision)) = put else {
        panic!("{put:?}");
    };
    assert_that!(
        client.renew_lease(lease.id, LEASE_TTL).await,
        ok(eq(&lease))
    );
    let gone = client
        .watch(&key(), revision, Duration::from_secs(2))
        .await
        .expect("an answer");
    assert_that!(gone, matches_pattern!(WatchOutcome::Removed(gt(&revision))));
    assert_that!(client.get(&key()).await, ok(none()));
    let renewed = client.renew_lease(lease.id, LEASE_TTL).await;
    assert_that!(error_of(renewed), eq(StoreError::LeaseLapsed));
    let put = client
        .compare_and_swap_leased(&key(), Revision::ABSENT, "two".into(), lease.id)
        .await;
    assert_that!(error_of(put), eq(StoreError::LeaseLapsed));
}

#[tokio::test]
async fn silent_connections_cost_one_call() {
    let (server, client) = start().await;
    create(&client, "one").await;
    let key = key();
    let reads = tokio::join!(client.get(&key), client.get(&key), client.get(&key));
    assert_that!(reads, (ok(anything()), ok(anything()), ok(anything())));
    server.silence_connections();
    assert_that!(
        error_of(client.get(&key).await),
        eq(StoreError::Unavailable)
    );
    assert_that!(client.get(&key).await, ok(some(anything())));
}
