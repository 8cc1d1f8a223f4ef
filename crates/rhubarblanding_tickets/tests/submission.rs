//! Submission and adoption with the embedded key-value service under injected faults.

#![expect(clippy::expect_used, reason = "a test panics where its set-up fails")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use googletest::prelude::*;
use rhubarblanding_core::prelude::*;
use rhubarblanding_standins::store::{Faults, OutageMode, StoreServer};
use rhubarblanding_store::prelude::*;
use rhubarblanding_tickets::prelude::*;
use serde_json::json;

const LIMIT: Duration = Duration::from_secs(4);
const SHORT_LIMIT: Duration = Duration::from_millis(300);
/// Time within which an accepted ticket must be active at a node.
const ADOPTION_LIMIT: Duration = Duration::from_secs(6);

async fn start() -> (StoreServer, StoreClient) {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = StoreServer::start(any_port).await.expect("a free port");
    let store = StoreClient::new(StoreSettings {
        addr: server.addr(),
        call_timeout: Duration::from_millis(150),
        ..StoreSettings::default()
    });
    (server, store)
}

fn submitter(number: u64, service: &str, id: u128) -> Submitter {
    let services: serde_json::Map<_, _> = [(service.to_owned(), json!({"kinds": []}))]
        .into_iter()
        .collect();
    let raw = json!({"ticket": number, "services": services});
    let ticket = Ticket::from_json(raw.to_string().as_bytes()).expect("valid");
    Submitter::new(SubmissionId(uuid::Uuid::from_u128(id)), Arc::new(ticket))
}

fn accepted(version: u64) -> Verdict {
    Verdict::Accepted {
        version: DocVersion(version),
    }
}

#[tokio::test]
async fn one_of_two_concurrent_submissions_gets_the_number() {
    let (_server, store) = start().await;
    let client = DocumentClient::new(store);
    let (mut one, mut two) = (submitter(5, "a", 1), submitter(5, "a", 2));
    let verdicts: [Verdict; 2] = tokio::join!(
        client.submit(&mut one, LIMIT, 1),
        client.submit(&mut two, LIMIT, 2)
    )
    .into();
    let wins = verdicts.iter().filter(|v| **v == accepted(1)).count();
    let refusals = verdicts
        .iter()
        .filter(|v| matches!(v, Verdict::Refused { .. }));
    assert_that!(wins, eq(1));
    assert_that!(refusals.count(), eq(1));
}

#[tokio::test]
async fn concurrent_submissions_with_different_numbers_are_all_accepted() {
    let (_server, store) = start().await;
    let client = DocumentClient::new(store);
    let mut tasks = tokio::task::JoinSet::new();
    for number in 1..=8 {
        let client = client.clone();
        tasks.spawn(async move {
            let mut one = submitter(number, &format!("s{number}"), number.into());
            client.submit(&mut one, LIMIT, number).await
        });
    }
    let verdicts = tasks.join_all().await;
    let wins = verdicts
        .iter()
        .filter(|v| matches!(v, Verdict::Accepted { .. }));
    assert_that!(wins.count(), eq(8));
    let stored = client.read().await.expect("a document");
    assert_that!(stored.document.services().count(), eq(8));
}

async fn accepted_under(faults: Faults) {
    let (server, store) = start().await;
    server.set_faults(faults);
    let client = DocumentClient::new(store);
    let mut one = submitter(5, "a", 1);
    assert_that!(client.submit(&mut one, LIMIT, 1).await, eq(&accepted(1)));
    server.set_faults(Faults::default());
    let stored = client.read().await.expect("a document");
    assert_that!(stored.document.version(), eq(DocVersion(1)));
}

#[tokio::test]
async fn write_whose_answer_is_lost_is_found_by_reading() {
    accepted_under(Faults {
        lose_answer_after_apply: 2,
        ..Faults::default()
    })
    .await;
}

#[tokio::test]
async fn requests_lost_before_effect_are_retried() {
    accepted_under(Faults {
        lose_request_before_apply: 2,
        ..Faults::default()
    })
    .await;
}

#[tokio::test]
async fn ticket_is_accepted_by_a_slow_service() {
    accepted_under(Faults {
        delay_ms: 100,
        ..Faults::default()
    })
    .await;
}

async fn outage_is_not_yet_known_and_settled_later(mode: OutageMode) {
    let (server, store) = start().await;
    server.set_faults(Faults {
        outage: true,
        outage_mode: mode,
        ..Faults::default()
    });
    let client = DocumentClient::new(store);
    let mut one = submitter(5, "a", 1);
    let verdict = client.submit(&mut one, SHORT_LIMIT, 1).await;
    assert_that!(verdict, eq(&Verdict::NotYetKnown));
    server.set_faults(Faults::default());
    assert_that!(client.submit(&mut one, LIMIT, 2).await, eq(&accepted(1)));
    let mut again = submitter(5, "a", 1);
    assert_that!(client.submit(&mut again, LIMIT, 3).await, eq(&accepted(1)));
}

#[tokio::test]
async fn dropped_connections_are_not_yet_known() {
    outage_is_not_yet_known_and_settled_later(OutageMode::Drop).await;
}

#[tokio::test]
async fn silent_service_is_not_yet_known() {
    outage_is_not_yet_known_and_settled_later(OutageMode::Hang).await;
}

#[tokio::test]
async fn refusing_service_is_not_yet_known() {
    outage_is_not_yet_known_and_settled_later(OutageMode::Refuse).await;
}

/// A write may be delayed until after its submitter has given up. A repeat at another node must
/// then not take effect a second time.
#[tokio::test]
async fn late_write_is_found_by_a_repeat_elsewhere() {
    let (server, store) = start().await;
    let client = DocumentClient::new(store);
    server.set_faults(Faults {
        delay_ms: 400,
        ..Faults::default()
    });
    let read = client.read().await;
    assert_that!(read, err(anything()));
    let mut one = submitter(5, "a", 1);
    one.on_read(&Default::default());
    let verdict = client.submit(&mut one, SHORT_LIMIT, 1).await;
    assert_that!(verdict, eq(&Verdict::NotYetKnown));
    server.set_faults(Faults::default());
    let mut other = submitter(6, "b", 2);
    let first = client.submit(&mut other, LIMIT, 2).await;
    assert_that!(first, eq(&accepted(1)));
    tokio::time::sleep(Duration::from_millis(500)).await;
    let mut again = submitter(5, "a", 1);
    assert_that!(client.submit(&mut again, LIMIT, 3).await, eq(&accepted(2)));
}

#[tokio::test]
async fn invalid_document_is_not_overwritten() {
    let (_server, store) = start().await;
    let key = Key::from_static(DOCUMENT_KEY);
    let put = store.compare_and_swap(&key, Revision::ABSENT, "garbage".into());
    assert_that!(put.await, ok(anything()));
    let client = DocumentClient::new(store.clone());
    let mut one = submitter(5, "a", 1);
    let verdict = client.submit(&mut one, SHORT_LIMIT, 1).await;
    assert_that!(verdict, eq(&Verdict::NotYetKnown));
    let found = store.get(&key).await.expect("an answer").expect("some");
    assert_that!(found.value.as_ref(), eq(b"garbage".as_slice()));
}

#[tokio::test]
async fn node_started_in_an_outage_adopts_the_document_soon_after_it() {
    let (server, store) = start().await;
    let client = DocumentClient::new(store.clone());
    let mut one = submitter(5, "a", 1);
    assert_that!(client.submit(&mut one, LIMIT, 1).await, eq(&accepted(1)));
    server.set_faults(Faults {
        outage: true,
        ..Faults::default()
    });
    let mut adopter = Adopter::new();
    let mut watch = DocumentWatch::new(store, WatchSettings::default(), 1);
    let waited = tokio::time::timeout(SHORT_LIMIT, watch.next()).await;
    assert_that!(waited.is_err(), eq(true));
    server.set_faults(Faults::default());
    let began = Instant::now();
    adopter.offer(watch.next().await);
    assert_that!(adopter.version(), eq(DocVersion(1)));
    assert_that!(began.elapsed(), lt(ADOPTION_LIMIT));
}
