//! HTTP client of a node's operator face.

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

/// Greatest size of an answer in bytes.
const ANSWER_MAX_BYTES: usize = 16 << 20;

/// Why a call gave no answer of the expected form.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallError {
    /// The node was not reached; it saw nothing of the call.
    NotReached,
    /// The connection broke or timed out; the node may have seen the call.
    AnswerLost,
    /// The node called the request faulty or could not serve it.
    Rejected(OperatorError),
    /// The answer is not that of a node.
    NotUnderstood(StatusCode),
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
            Self::NotUnderstood(status) => {
                write!(
                    f,
                    "gave an answer with status {status} that is not understood"
                )
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
    /// Creates a client of the operator face at `addr`.
    pub fn new(addr: SocketAddr, timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(timeout));
        Self {
            http: Client::builder(TokioExecutor::new()).build(connector),
            addr,
            timeout,
        }
    }

    /// Address of the operator face.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Reads what lies at `path`.
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
            let lost = match e.is_connect() {
                true => CallError::NotReached,
                false => CallError::AnswerLost,
            };
            Report::new(e).change_context(lost)
        })?;
        let status = res.status();
        let body = Limited::new(res.into_body(), ANSWER_MAX_BYTES)
            .collect()
            .await
            .map_err(|e| Report::new(CallError::AnswerLost).attach(e.to_string()))?
            .to_bytes();
        serde_json::from_slice(&body).map_err(|_| Report::new(not_expected(status, &body)))
    }
}

fn not_expected(status: StatusCode, body: &Bytes) -> CallError {
    match serde_json::from_slice(body) {
        Ok(error) => CallError::Rejected(error),
        Err(_) => CallError::NotUnderstood(status),
    }
}

/// Answer of one node among several.
#[derive(Debug)]
pub struct NodeAnswer<T> {
    /// Address of its operator face.
    pub operator: SocketAddr,
    /// What came of the call.
    pub result: CallResult<T>,
}

/// Reads what lies at `path` from every node at the same time, in the order of `clients`.
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

/// Prints why a call failed and gives the exit code for it.
pub fn complain(operator: SocketAddr, report: &Report<CallError>) -> Exit {
    let error = report.current_context();
    output::complain(format!("{operator}: {error}"));
    match error {
        CallError::Rejected(_) => Exit::BadInput,
        _ => Exit::Unreachable,
    }
}

/// Runs a subcommand that talks to nodes.
pub fn block_on(run: impl Future<Output = Exit>) -> Exit {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    match runtime {
        Ok(runtime) => runtime.block_on(run),
        Err(e) => {
            output::complain(format!("the runtime cannot be started: {e}"));
            Exit::Unreachable
        }
    }
}
