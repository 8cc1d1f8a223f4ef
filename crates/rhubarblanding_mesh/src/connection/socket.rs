//! Socket options.

use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Idle time after which the kernel probes a connection, so that a dead one is detected.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Interval between two probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes after which a connection counts as lost.
const KEEPALIVE_RETRIES: u32 = 2;

/// Sets the options of a connection: small writes are sent at once, and a dead peer is detected.
pub(super) fn set_options(stream: &TcpStream) {
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    let result = stream
        .set_nodelay(true)
        .and_then(|()| SockRef::from(stream).set_tcp_keepalive(&keepalive));
    if let Err(e) = result {
        // The connection is already broken; its first use will fail.
        log::debug!(reason:% = e; "socket_options_failed");
    }
}
