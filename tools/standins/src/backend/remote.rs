//! Client of a backend server that runs in another process.

use std::net::SocketAddr;

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use http::Method;

use super::{Control, ControlChange, CounterValues, Run};
use crate::error::StandinError;
use crate::http::{HttpClient, client, get_json, send_json};

/// Client of a backend server that runs in another process.
#[derive(Clone, Debug)]
pub struct RemoteBackend {
    address: SocketAddr,
    client: HttpClient,
}

impl RemoteBackend {
    /// Client of the backend server at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            client: client(),
        }
    }

    /// Address of the backend server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// All requests so far with their runs.
    ///
    /// # Errors
    ///
    /// Fails if the backend server does not answer.
    pub async fn runs(&self) -> Result<Vec<Run>, Report<StandinError>> {
        get_json(&self.client, self.address, "/runs").await
    }

    /// Counts so far.
    ///
    /// # Errors
    ///
    /// Fails if the backend server does not answer.
    pub async fn counters(&self) -> Result<CounterValues, Report<StandinError>> {
        get_json(&self.client, self.address, "/counters").await
    }

    /// Changes its behaviour.
    ///
    /// # Errors
    ///
    /// Fails if the backend server does not answer.
    pub async fn change(&self, change: ControlChange) -> Result<Control, Report<StandinError>> {
        let (status, body): (_, Bytes) = send_json(
            &self.client,
            Method::POST,
            self.address,
            "/control",
            &change,
        )
        .await?;
        if !status.is_success() {
            return Err(Report::new(StandinError::Answer).attach(format!("status {status}")));
        }
        serde_json::from_slice(&body).change_context(StandinError::Answer)
    }
}
