//! Free ports on the loopback interface.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::ops::Range;

use error_stack::Report;
use rand::Rng;

use crate::error::StandinError;

/// Ports to choose from. They lie below those that the system gives to outgoing connections,
/// which could take a port between its choice and its use.
const PORTS: Range<u16> = 10_000..32_000;
/// Number of ports tried for each address wanted.
const TRIES_PER_ADDRESS: usize = 50;

/// `count` loopback addresses whose ports are free at present, all different.
///
/// # Errors
///
/// [`StandinError::Listen`] if there are not as many free ports.
pub fn free_addresses(count: usize) -> Result<Vec<SocketAddr>, Report<StandinError>> {
    let mut rng = rand::rng();
    // All listeners are held until the last one is open, so that no port is given twice.
    let listeners: Vec<TcpListener> = (0..count * TRIES_PER_ADDRESS)
        .filter_map(|_| TcpListener::bind((Ipv4Addr::LOCALHOST, rng.random_range(PORTS))).ok())
        .take(count)
        .collect();
    let addresses: Vec<SocketAddr> = listeners
        .iter()
        .filter_map(|listener| listener.local_addr().ok())
        .collect();
    if addresses.len() < count {
        return Err(Report::new(StandinError::Listen).attach("too few free ports"));
    }
    Ok(addresses)
}
