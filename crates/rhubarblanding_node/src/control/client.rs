//! Control calls to other nodes: JSON-RPC requests over the peer connection.

use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Uri, header};
use http_body_util::{BodyExt, Full, Limited};
use jsonrpsee::types::{Id, Response, ResponsePayload};
use rhubarblanding_core::prelude::*;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::connection::PeerClient;

/// Path of the control face on the peer listener.
pub const CONTROL_PATH: &str = "/rhubarblanding/control";
/// Longest time that a control call may take.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Greatest size of an answer in bytes: the document with room for its envelope.
const ANSWER_MAX_BYTES: usize = 4 * 1024 * 1024;

/// Why a control call brought no result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlError {
    /// The peer cannot be reached or did not answer in time.
    Unreachable,
    /// The peer answered with an error or with something malformed.
    Rejected,
}

/// One JSON-RPC request with its parameters as an array.
#[derive(Serialize)]
struct Call<'a, P> {
    jsonrpc: &'static str,
    id: u64,
    method: &'a str,
    params: P,
}

/// Sends control calls.
#[derive(Clone, Debug)]
pub struct ControlClient {
    peers: PeerClient,
}

impl ControlClient {
    /// Client that shares the connections of `peers`.
    pub fn new(peers: PeerClient) -> Self {
        Self { peers }
    }

    /// Calls `method` of `host` with `params`, a tuple.
    ///
    /// # Errors
    ///
    /// See [`ControlError`].
    pub async fn call<P, R>(&self, host: HostId, method: &str, params: P) -> Result<R, ControlError>
    where
        P: Serialize,
        R: DeserializeOwned + Clone,
    {
        let call = Call {
            jsonrpc: "2.0",
            id: 0,
            method,
            params,
        };
        let body = serde_json::to_vec(&call).map_err(|_| ControlError::Rejected)?;
        let answer = tokio::time::timeout(CALL_TIMEOUT, self.exchange(host, body))
            .await
            .map_err(|_| ControlError::Unreachable)??;
        let answer: Response<'_, R> =
            serde_json::from_slice(&answer).map_err(|_| ControlError::Rejected)?;
        match (answer.payload, answer.id) {
            (ResponsePayload::Success(result), Id::Number(0)) => Ok(result.into_owned()),
            _ => Err(ControlError::Rejected),
        }
    }

    async fn exchange(&self, host: HostId, body: Vec<u8>) -> Result<Bytes, ControlError> {
        let uri = Uri::builder()
            .scheme("http")
            .authority(host.to_string())
            .path_and_query(CONTROL_PATH)
            .build()
            .map_err(|_| ControlError::Rejected)?;
        let req = Request::builder()
            .method(Method::POST)
            .uri(uri)
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|_| ControlError::Rejected)?;
        let resp = self
            .peers
            .send(req)
            .await
            .map_err(|_| ControlError::Unreachable)?;
        let body = Limited::new(resp.into_body(), ANSWER_MAX_BYTES);
        let collected = body
            .collect()
            .await
            .map_err(|_| ControlError::Unreachable)?;
        Ok(collected.to_bytes())
    }
}
