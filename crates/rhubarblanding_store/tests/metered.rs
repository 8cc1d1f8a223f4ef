//! Connections that end when an answer takes more bytes than it may.

#![expect(clippy::expect_used, reason = "a test panics where its set-up fails")]

use googletest::prelude::*;
use rhubarblanding_store::metered::{MeteredStream, is_used_up};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Bytes that an answer may take before its first data.
const HEAD: usize = 1_000;

/// A metered connection, and its other end.
async fn pair() -> (MeteredStream, TcpStream) {
    let tcp = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = tcp.local_addr().expect("an address");
    let (near, far) = tokio::join!(TcpStream::connect(addr), tcp.accept());
    let near = near.expect("a connection");
    (
        MeteredStream::new(near, HEAD as u64),
        far.expect("a connection").0,
    )
}

/// Returns whether `len` bytes of the other end can be read.
async fn reads(near: &mut MeteredStream, far: &mut TcpStream, len: usize) -> bool {
    far.write_all(&vec![b'a'; len]).await.expect("room");
    match near.read_exact(&mut vec![0; len]).await {
        Ok(_) => true,
        Err(e) => {
            assert_that!(is_used_up(&e), eq(true), "{e}");
            false
        }
    }
}

#[tokio::test]
async fn answer_without_data_ends() {
    let (mut near, mut far) = pair().await;
    assert_that!(reads(&mut near, &mut far, HEAD).await, eq(true));
    assert_that!(reads(&mut near, &mut far, 1).await, eq(false));
}

#[tokio::test]
async fn request_begins_a_new_answer() {
    let (mut near, mut far) = pair().await;
    for _ in 0..5 {
        near.write_all(b"request").await.expect("room");
        assert_that!(reads(&mut near, &mut far, HEAD).await, eq(true));
    }
    assert_that!(reads(&mut near, &mut far, 1).await, eq(false));
}

/// The smallest chunk takes six bytes for one of data.
#[tokio::test]
async fn data_pays_for_its_framing() {
    let (mut near, mut far) = pair().await;
    let meter = near.meter();
    for _ in 0..10 * HEAD {
        assert_that!(reads(&mut near, &mut far, 6).await, eq(true));
        meter.received(1);
    }
}
