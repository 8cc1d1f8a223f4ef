//! Free ports on the loopback interface.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};

use error_stack::{Report, ResultExt};

use crate::error::StandinError;

/// `count` loopback addresses whose ports are free at present, all different.
///
/// # Errors
///
/// [`StandinError::Listen`] if there are not as many free ports.
pub fn free_addresses(count: usize) -> Result<Vec<SocketAddr>, Report<StandinError>> {
    // All listeners are held until the last one is open, so that no port is given twice.
    let listeners = (0..count)
        .map(|_| TcpListener::bind((Ipv4Addr::LOCALHOST, 0)))
        .collect::<Result<Vec<_>, _>>()
        .change_context(StandinError::Listen)?;
    listeners
        .iter()
        .map(TcpListener::local_addr)
        .collect::<Result<Vec<_>, _>>()
        .change_context(StandinError::Listen)
}
