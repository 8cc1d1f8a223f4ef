//! HTTP client of a node's operator listener.

use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use rhubarblanding_tickets::operator::OperatorError;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::task::JoinSet;

use super::exit::Exit;
use super::output;

/// Maximum size of an answer in bytes.
const ANSWER_MAX_BYTES: usize = 16 << 20;

/// Reason that a call gave no answer of the expected form.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum CallError {
    /// The node was not reached; it did not receive the call.
    NotReached,
    /// The connection broke or timed out; the node may have received the call.
    AnswerLost,
    /// The node rejected the request as invalid or could not serve it.
    Rejected(OperatorError),
    /// The answer has neither the expected form nor that of a node's error.
    UnexpectedAnswer(StatusCode),
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotReached => f.write_str("cannot be reached"),
            Self::AnswerLost => f.write_str("gave no answer in time"),
            Self::Rejected(e) => {
                f.write_str(&e.error)?;
                e.fields
                    .iter()
                    .try_for_each(|field| write!(f, "\n  {field}"))
            }
            Self::UnexpectedAnswer(status) => {
                write!(f, "gave an unexpected answer with status {status}")
            }
        }
    }
}

impl std::error::Error for CallError {}

/// Result of a call to a node.
pub type CallResult<T> = Result<T, Report<CallError>>;

/// Client of one node.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    http: Client<HttpConnector, Full<Bytes>>,
    addr: SocketAddr,
    timeout: Duration,
}

impl OperatorClient {
    /// Creates a client of the operator listener at `addr`.
    pub fn new(addr: SocketAddr, timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(timeout));
        Self {
            http: Client::builder(TokioExecutor::new()).build(connector),
            addr,
            timeout,
        }
    }

    /// Returns the address of the operator listener.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Gets the resource at `path`.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> CallResult<T> {
        self.call(Method::GET, path, Bytes::new()).await
    }

    /// Sends `body` to `path`.
    pub async fn send<B: Serialize, T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: &B,
    ) -> CallResult<T> {
        let body = serde_json::to_vec(body).change_context(CallError::NotReached)?;
        self.call(method, path, body.into()).await
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> CallResult<T> {
        let req = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.addr))
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .change_context(CallError::NotReached)?;
        tokio::time::timeout(self.timeout, self.exchange(req))
            .await
            .change_context(CallError::AnswerLost)?
    }

    async fn exchange<T: DeserializeOwned>(&self, req: Request<Full<Bytes>>) -> CallResult<T> {
        let res = self.http.request(req).await.map_err(|e| {
            let error = match e.is_connect() {
                true => CallError::NotReached,
                false => CallError::AnswerLost,
            };
            Report::new(e).change_context(error)
        })?;
        let status = res.status();
        let body = Limited::new(res.into_body(), ANSWER_MAX_BYTES)
            .collect()
            .await
            .map_err(|e| Report::new(CallError::AnswerLost).attach(e.to_string()))?
            .to_bytes();
        serde_json::from_slice(&body).map_err(|_| Report::new(unexpected_answer(status, &body)))
    }
}

fn unexpected_answer(status: StatusCode, body: &Bytes) -> CallError {
    match serde_json::from_slice(body) {
        Ok(error) => CallError::Rejected(error),
        Err(_) => CallError::UnexpectedAnswer(status),
    }
}

/// Answer of one node among several.
#[derive(Debug)]
pub struct NodeAnswer<T> {
    /// Address of the node's operator listener.
    pub operator: SocketAddr,
    /// Result of the call.
    pub result: CallResult<T>,
}

/// Gets `path` from every node concurrently; the answers are in the order of `clients`.
pub async fn get_all<T>(clients: &[OperatorClient], path: &str) -> Vec<NodeAnswer<T>>
where
    T: DeserializeOwned + Send + 'static,
{
    let mut calls = JoinSet::new();
    for (index, client) in clients.iter().cloned().enumerate() {
        let path = path.to_owned();
        calls.spawn(async move {
            let operator = client.addr();
            let result = client.get(&path).await;
            (index, NodeAnswer { operator, result })
        });
    }
    let mut answers = calls.join_all().await;
    answers.sort_by_key(|(index, _)| *index);
    answers.into_iter().map(|(_, answer)| answer).collect()
}

/// Prints the reason that a call failed and returns the exit code for it.
pub fn report_failure(operator: SocketAddr, report: &Report<CallError>) -> Exit {
    let error = report.current_context();
    output::error_line(format!("{operator}: {error}"));
    match error {
        CallError::Rejected(_) => Exit::BadInput,
        _ => Exit::Unreachable,
    }
}

/// Runs a subcommand that calls nodes.
pub fn block_on(run: impl Future<Output = Exit>) -> Exit {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    match runtime {
        Ok(runtime) => runtime.block_on(run),
        Err(e) => {
            output::error_line(format!("the runtime cannot be started: {e}"));
            Exit::Unreachable
        }
    }
}
