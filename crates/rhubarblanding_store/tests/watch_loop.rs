//! Watch loop during outages, and its back-off.

#![expect(clippy::expect_used, reason = "a test panics where its set-up fails")]

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use googletest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rhubarblanding_standins::store::{Faults, StoreServer};
use rhubarblanding_store::backoff::{Backoff, BackoffSettings};
use rhubarblanding_store::prelude::*;
use rhubarblanding_store::watch::WatchEvent;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const BACKOFF: BackoffSettings = BackoffSettings {
    first: Duration::from_millis(10),
    max: Duration::from_millis(40),
};

#[test]
fn backoff_doubles_with_jitter_and_starts_again() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut backoff = Backoff::new(BACKOFF);
    for ceiling in [10, 20, 40, 40] {
        let delay = backoff.next_delay(&mut rng);
        let ceiling = Duration::from_millis(ceiling);
        assert_that!(delay, all![ge(ceiling / 2), le(ceiling)]);
    }
    backoff.reset();
    assert_that!(backoff.next_delay(&mut rng), le(BACKOFF.first));
}

async fn start_watch(settings: WatchSettings) -> (StoreServer, StoreClient, WatchLoop) {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = StoreServer::start(any_port).await.expect("a free port");
    let client = StoreClient::new(StoreSettings {
        addr: server.addr(),
        ..StoreSettings::default()
    });
    let watch = WatchLoop::new(client.clone(), key(), settings, 1);
    (server, client, watch)
}

fn key() -> Key {
    Key::from_static("followed")
}

async fn store(client: &StoreClient, expected: u64, value: &'static str) {
    let key = key();
    let put = client.compare_and_swap(&key, Revision::new(Era(0), expected), value.into());
    assert_that!(put.await, ok(matches_pattern!(CasOutcome::Stored(_))));
}

fn value_of(event: WatchEvent) -> String {
    match event {
        WatchEvent::Changed(new) => String::from_utf8_lossy(&new.value).into_owned(),
        WatchEvent::Removed(_) => String::new(),
    }
}

#[tokio::test]
async fn loop_survives_an_outage_and_misses_no_newest_value() {
    let (server, client, mut watch) = start_watch(WatchSettings {
        wait: Duration::from_millis(500),
        backoff: BACKOFF,
    })
    .await;
    store(&client, 0, "one").await;
    assert_that!(value_of(watch.next().await).as_str(), eq("one"));

    server.set_faults(Faults {
        outage: true,
        ..Faults::default()
    });
    let waited = tokio::time::timeout(Duration::from_millis(150), watch.next()).await;
    assert_that!(waited, err(anything()));
    assert_that!(watch.is_reachable(), eq(false));
    assert_that!(server.calls().watch, le(20));

    server.set_faults(Faults::default());
    store(&client, 1, "two").await;
    assert_that!(value_of(watch.next().await).as_str(), eq("two"));
    assert_that!(watch.is_reachable(), eq(true));
}

/// With the default settings, the loop receives a change within the time in which an accepted
/// ticket must take effect, even if its waiting connection is silent: nothing arrives on it any
/// more.
#[tokio::test]
async fn loop_notices_a_silent_connection_in_time() {
    let (server, client, mut watch) = start_watch(WatchSettings::default()).await;
    store(&client, 0, "one").await;
    assert_that!(value_of(watch.next().await).as_str(), eq("one"));
    let waiting = tokio::spawn(async move { value_of(watch.next().await) });
    tokio::time::sleep(Duration::from_millis(50)).await;
    server.silence_connections();
    let began = Instant::now();
    let fresh = StoreClient::new(StoreSettings {
        addr: server.addr(),
        ..StoreSettings::default()
    });
    store(&fresh, 1, "two").await;
    assert_that!(waiting.await.expect("no panic").as_str(), eq("two"));
    assert_that!(began.elapsed(), lt(Duration::from_secs(4)));
}

/// A service that does not wait is not called in a tight loop.
#[tokio::test]
async fn loop_paces_itself_when_the_service_does_not_wait() {
    let (server, client, mut watch) = start_watch(WatchSettings {
        wait: Duration::ZERO,
        backoff: BACKOFF,
    })
    .await;
    store(&client, 0, "one").await;
    watch.next().await;
    let waited = tokio::time::timeout(Duration::from_millis(200), watch.next()).await;
    assert_that!(waited, err(anything()));
    assert_that!(server.calls().watch, le(20));
}

/// Service that drops its history. It answers one request per connection: reads return revision 1
/// until a watch was cut, then revision 2; a second watch is never answered.
async fn service_without_history() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let mut watches = 0;
        let mut held = Vec::new();
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buf = [0; 4096];
            let len = stream.read(&mut buf).await.unwrap_or(0);
            if buf[..len].starts_with(b"GET /v1/watch/") {
                watches += 1;
                if watches > 1 {
                    held.push(stream);
                }
                continue;
            }
            let revision = 1 + watches;
            let answer = format!(
                "HTTP/1.1 200 OK\r\nx-revision: {revision}\r\ncontent-length: 1\r\n\
                 connection: close\r\n\r\n{revision}"
            );
            let _ = stream.write_all(answer.as_bytes()).await;
        }
    });
    addr
}

/// A service may drop its history when it cuts the watches. A new watch with an earlier revision
/// then waits for the next change, so only reading the key shows the missed one.
#[tokio::test]
async fn loop_reads_the_key_after_a_watch_was_cut() {
    let client = StoreClient::new(StoreSettings {
        addr: service_without_history().await,
        ..StoreSettings::default()
    });
    let settings = WatchSettings {
        wait: Duration::from_secs(30),
        backoff: BACKOFF,
    };
    let mut watch = WatchLoop::new(client, key(), settings, 1);
    assert_that!(value_of(watch.next().await).as_str(), eq("1"));
    let next = tokio::time::timeout(Duration::from_secs(2), watch.next()).await;
    assert_that!(next.map(value_of), ok(eq("2")));
}

/// Waits of a watch that only another way than its own end can cut short.
const LONG: WatchSettings = WatchSettings {
    wait: Duration::from_secs(30),
    backoff: BACKOFF,
};

/// Starts a watch that waits on a connection on which nothing arrives any more, while a value is
/// stored. The key-value service waits for watches, and it answers on new connections.
async fn silent_watch() -> (StoreServer, StoreClient, WatchLoop) {
    let (server, client, mut watch) = start_watch(LONG).await;
    store(&client, 0, "one").await;
    assert_that!(value_of(watch.next().await).as_str(), eq("one"));
    let waited = tokio::time::timeout(Duration::from_millis(100), watch.next()).await;
    assert_that!(waited, err(anything()));
    (server, client, watch)
}

/// A call without an answer shows that the connection of a waiting watch may be dead too.
#[tokio::test]
async fn loop_reads_when_another_call_gets_no_answer() {
    let (server, client, mut watch) = silent_watch().await;
    let waiting = tokio::spawn(async move { value_of(watch.next().await) });
    tokio::time::sleep(Duration::from_millis(50)).await;
    // Leaves an idle connection for the next call.
    assert_that!(client.get(&key()).await.is_ok(), eq(true));
    server.silence_connections();
    let fresh = StoreClient::new(StoreSettings {
        addr: server.addr(),
        ..StoreSettings::default()
    });
    store(&fresh, 1, "two").await;
    let began = Instant::now();
    assert_that!(client.get(&key()).await.is_err(), eq(true));
    assert_that!(waiting.await.expect("no panic").as_str(), eq("two"));
    // The limit of the call, and a read.
    assert_that!(began.elapsed(), lt(Duration::from_millis(1_500)));
}

#[tokio::test]
async fn restarted_loop_reads_what_its_watch_missed() {
    let (server, _client, mut watch) = silent_watch().await;
    server.silence_connections();
    let fresh = StoreClient::new(StoreSettings {
        addr: server.addr(),
        ..StoreSettings::default()
    });
    store(&fresh, 1, "two").await;
    watch.restart();
    let next = tokio::time::timeout(Duration::from_millis(1_500), watch.next()).await;
    assert_that!(value_of(next.expect("in time")).as_str(), eq("two"));
}
