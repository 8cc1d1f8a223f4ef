//! Passes bytes between the two ends of a connection.

use std::sync::Arc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::watch;

use super::{ConnState, Direction, Shared};

/// Greatest number of bytes passed at a time.
const BUFFER_BYTES: usize = 16 * 1024;

/// Passes bytes both ways until both ends are closed or the connection is cut.
pub async fn both_ways(
    near: TcpStream,
    far: TcpStream,
    shared: Arc<Shared>,
    state: watch::Receiver<ConnState>,
) {
    // Without the option bytes are only slower.
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let (near_rx, near_tx) = near.into_split();
    let (far_rx, far_tx) = far.into_split();
    let up = one_way((near_rx, far_tx), Direction::Up, &shared, state.clone());
    let down = one_way((far_rx, near_tx), Direction::Down, &shared, state.clone());
    let mut cut = state.clone();
    tokio::select! {
        _ = async { tokio::join!(up, down) } => {}
        _ = cut.wait_for(|state| *state == ConnState::Cut) => {}
    }
}

async fn one_way(
    (mut rx, mut tx): (OwnedReadHalf, OwnedWriteHalf),
    direction: Direction,
    shared: &Shared,
    mut state: watch::Receiver<ConnState>,
) {
    let mut buf = vec![0; BUFFER_BYTES];
    loop {
        let count = rx.read(&mut buf).await.unwrap_or(0);
        tokio::time::sleep(shared.delay()).await;
        // A frozen connection keeps what it has read and is waited for until it is cut.
        if state
            .wait_for(|state| state.passes(direction))
            .await
            .is_err()
        {
            return;
        }
        if count == 0 || tx.write_all(&buf[..count]).await.is_err() {
            // The other end learns of the close through its own half.
            let _ = tx.shutdown().await;
            return;
        }
    }
}
