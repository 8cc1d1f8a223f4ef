//! Connections: servers, the pool to the local target, and links to other nodes.

mod ahead;
mod backend;
mod buffers;
mod payload;
mod peer;
mod server;
mod socket;

pub use ahead::{AheadCounters, Arrival, RequestBody, Turn};
pub use backend::{BackendConn, BackendPool, ConnectError, ExchangeError, is_final_status};
pub use buffers::{Buffer, BufferPool};
pub use payload::{Payload, PayloadError};
pub use peer::{PeerError, PeerPool};
pub use server::{
    ClientHandler, ClientServer, Connections, Handler, PeerServer, ResponseFuture, bind,
};
