//! Client of a node's operator face.

use std::net::SocketAddr;

use error_stack::{Report, ResultExt};
use http::{Method, StatusCode};
use rhubarblanding_core::collections::HashMap;
use serde::Serialize;
use serde_json::Value;

use super::ticket::Submission;
use crate::error::StandinError;
use crate::http::{HttpClient, client, get_json, send_json};

/// Answer to a submitted ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TicketAnswer {
    /// HTTP status code.
    pub status: StatusCode,
    /// Text of the answer.
    pub text: String,
}

/// Request to drain, which has no content.
#[derive(Clone, Copy, Debug, Serialize)]
struct DrainRequest {}

/// Client of a node's operator face.
#[derive(Clone, Debug)]
pub struct Operator {
    address: SocketAddr,
    client: HttpClient,
}

impl Operator {
    /// Client of the operator face at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            client: client(),
        }
    }

    /// Status of the node as JSON.
    ///
    /// # Errors
    ///
    /// Fails if the node does not answer.
    pub async fn status(&self) -> Result<Value, Report<StandinError>> {
        get_json(&self.client, self.address, "/v1/status").await
    }

    /// Counters of the node by name.
    ///
    /// # Errors
    ///
    /// Fails if the node does not answer.
    pub async fn counters(&self) -> Result<HashMap<String, u64>, Report<StandinError>> {
        get_json(&self.client, self.address, "/v1/counters").await
    }

    /// Submits a ticket.
    ///
    /// # Errors
    ///
    /// Fails if the node does not answer; a refused ticket is an answer.
    pub async fn submit(
        &self,
        submission: &Submission,
    ) -> Result<TicketAnswer, Report<StandinError>> {
        self.post("/v1/tickets", submission).await
    }

    /// Asks the node to drain.
    ///
    /// # Errors
    ///
    /// Fails if the node does not answer.
    pub async fn drain(&self) -> Result<TicketAnswer, Report<StandinError>> {
        self.post("/v1/drain", &DrainRequest {}).await
    }

    async fn post(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<TicketAnswer, Report<StandinError>> {
        let sent = send_json(&self.client, Method::POST, self.address, path, body);
        let (status, body) = sent.await.attach_with(|| path.to_owned())?;
        let text = String::from_utf8_lossy(&body).into_owned();
        Ok(TicketAnswer { status, text })
    }
}
