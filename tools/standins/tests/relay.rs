//! TCP relay.

#![expect(clippy::unwrap_used, reason = "a failed step ends the test")]

use std::time::Duration;

use googletest::prelude::*;
use rhubarblanding_standins::relay::{Direction, Relay, RelayChange, RelaySettings};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Time in which an open connection answers.
const ANSWER_TIME: Duration = Duration::from_millis(500);

async fn echo_through_relay() -> Relay {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let target = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            tokio::spawn(async move {
                let (mut rx, mut tx) = stream.split();
                let _ = tokio::io::copy(&mut rx, &mut tx).await;
            });
        }
    });
    let cfg = RelaySettings {
        target,
        ..RelaySettings::default()
    };
    Relay::start(cfg).await.unwrap()
}

async fn connect(relay: &Relay) -> TcpStream {
    TcpStream::connect(relay.address()).await.unwrap()
}

/// Bytes read back, or nothing if no byte came in time.
async fn echoed(stream: &mut TcpStream) -> Option<usize> {
    stream.write_all(b"ping").await.unwrap();
    let mut buf = [0; 4];
    let read = tokio::time::timeout(ANSWER_TIME, stream.read(&mut buf)).await;
    read.ok().map(|count| count.unwrap_or(0))
}

#[tokio::test]
async fn frozen_connections_are_silent_while_new_ones_work() {
    let relay = echo_through_relay().await;
    let mut old = connect(&relay).await;
    assert_that!(echoed(&mut old).await, some(eq(4)));
    assert_that!(relay.freeze(), eq(1));
    assert_that!(echoed(&mut old).await, none());
    let mut new = connect(&relay).await;
    assert_that!(echoed(&mut new).await, some(eq(4)));
}

#[tokio::test]
async fn cut_connections_end() {
    let relay = echo_through_relay().await;
    let mut conn = connect(&relay).await;
    assert_that!(echoed(&mut conn).await, some(eq(4)));
    relay.change(RelayChange {
        cut: true,
        ..RelayChange::default()
    });
    assert_that!(echoed(&mut conn).await, some(eq(0)));
}

#[tokio::test]
async fn delayed_bytes_come_late() {
    let relay = echo_through_relay().await;
    relay.change(RelayChange {
        delay_ms: Some(100),
        ..RelayChange::default()
    });
    let mut conn = connect(&relay).await;
    let started = std::time::Instant::now();
    assert_that!(echoed(&mut conn).await, some(eq(4)));
    assert_that!(started.elapsed(), ge(Duration::from_millis(200)));
}

/// Bytes pass again on a connection that was silent, those held back included.
async fn silent_connection_thaws(direction: Direction) {
    let relay = echo_through_relay().await;
    let mut conn = connect(&relay).await;
    assert_that!(echoed(&mut conn).await, some(eq(4)));
    relay.change(RelayChange {
        freeze_one_way: Some(direction),
        ..RelayChange::default()
    });
    assert_that!(echoed(&mut conn).await, none());
    relay.change(RelayChange {
        thaw: true,
        ..RelayChange::default()
    });
    assert_that!(echoed(&mut conn).await, some(eq(4)));
}

#[tokio::test]
async fn connection_that_is_silent_towards_the_target_thaws() {
    silent_connection_thaws(Direction::Up).await;
}

#[tokio::test]
async fn connection_that_is_silent_towards_the_caller_thaws() {
    silent_connection_thaws(Direction::Down).await;
}

#[tokio::test]
async fn new_connections_can_be_silent_while_old_ones_work() {
    let relay = echo_through_relay().await;
    let mut old = connect(&relay).await;
    assert_that!(echoed(&mut old).await, some(eq(4)));
    relay.change(RelayChange {
        freeze_new: Some(true),
        ..RelayChange::default()
    });
    let mut new = connect(&relay).await;
    assert_that!(echoed(&mut new).await, none());
    assert_that!(echoed(&mut old).await, some(eq(4)));
}
