//! Options of sockets.

use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Idle time after which the kernel probes a connection, so that one that went silent is found.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Time between two probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes after which a connection counts as lost.
const KEEPALIVE_RETRIES: u32 = 2;

/// Prepares a connection: small writes leave at once, and silence is noticed.
pub(super) fn prepare(stream: &TcpStream) {
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    let result = stream
        .set_nodelay(true)
        .and_then(|()| SockRef::from(stream).set_tcp_keepalive(&keepalive));
    if let Err(e) = result {
        // The connection is already broken; its first use will show that.
        log::debug!(reason:% = e; "socket_options_failed");
    }
}
