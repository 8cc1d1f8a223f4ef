//! Announcements of the backend server to its node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::Method;
use rhubarblanding_core::target::TargetState;
use serde::{Deserialize, Serialize};

use super::Shared;
use crate::http::{HttpClient, send_json};

/// Time between two announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two announcements until the node has taken the first.
const FIRST_ANNOUNCE_INTERVAL: Duration = Duration::from_millis(50);
/// Time for the node to answer an announcement.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(1);

/// Announcement of a backend server to its node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Address of the backend server.
    pub address: SocketAddr,
    /// Requests that run at a time.
    pub slots: u32,
    /// Life cycle.
    pub state: TargetState,
}

/// Request to drain, which has no content.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
struct DrainRequest {}

/// Announces the backend server to `node` until the task is ended.
pub async fn announce_forever(shared: Arc<Shared>, node: SocketAddr, address: SocketAddr) {
    let client = crate::http::client();
    let mut taken = false;
    loop {
        if shared.control().announce {
            taken |= announce_once(&shared, &client, node, address).await;
        }
        let pause = if taken {
            ANNOUNCE_INTERVAL
        } else {
            FIRST_ANNOUNCE_INTERVAL
        };
        tokio::time::sleep(pause).await;
    }
}

async fn announce_once(
    shared: &Shared,
    client: &HttpClient,
    node: SocketAddr,
    address: SocketAddr,
) -> bool {
    let control = shared.control();
    let state = if control.drain {
        TargetState::Draining
    } else {
        TargetState::Serving
    };
    let announcement = Announcement {
        address,
        slots: control.announced_slots,
        state,
    };
    let sent = send_json(client, Method::POST, node, "/v1/announce", &announcement);
    let answer = tokio::time::timeout(ANNOUNCE_TIMEOUT, sent).await;
    matches!(answer, Ok(Ok((status, _))) if status.is_success())
}

/// Asks `node` to drain; returns whether the node took it.
pub async fn request_drain(node: SocketAddr) -> bool {
    let client = crate::http::client();
    let sent = send_json(&client, Method::POST, node, "/v1/drain", &DrainRequest {});
    let answer = tokio::time::timeout(ANNOUNCE_TIMEOUT, sent).await;
    matches!(answer, Ok(Ok((status, _))) if status.is_success())
}
