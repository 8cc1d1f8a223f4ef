//! HTTP helpers shared by the stand-ins.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use http::{HeaderMap, Method, Request, Response, StatusCode, header};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::StandinError;

/// Body of an answer; an error breaks the connection off.
pub type AnswerBody = BoxBody<Bytes, io::Error>;

/// HTTP/1.1 client with a connection pool.
pub type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// New client with its own pool.
pub fn client() -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .retry_canceled_requests(false)
        .build(connector)
}

/// Answer with `status` and `bytes`.
pub fn bytes_answer(status: StatusCode, bytes: impl Into<Bytes>) -> Response<AnswerBody> {
    let body = Full::new(bytes.into()).map_err(|never| match never {});
    let mut answer = Response::new(body.boxed());
    *answer.status_mut() = status;
    answer
}

/// Answer with `value` as JSON.
pub fn json_answer(status: StatusCode, value: &impl Serialize) -> Response<AnswerBody> {
    let Ok(bytes) = serde_json::to_vec(value) else {
        return bytes_answer(StatusCode::INTERNAL_SERVER_ERROR, "cannot be encoded");
    };
    let mut answer = bytes_answer(status, bytes);
    let json = header::HeaderValue::from_static("application/json");
    answer.headers_mut().insert(header::CONTENT_TYPE, json);
    answer
}

/// Text of the header field `name`, if it is present and readable.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Number in the header field `name`, if it is present and readable.
pub fn header_number(headers: &HeaderMap, name: &str) -> Option<u64> {
    header_text(headers, name).and_then(|text| text.parse().ok())
}

/// Sends `value` as JSON and returns status and body.
pub async fn send_json(
    client: &HttpClient,
    method: Method,
    address: SocketAddr,
    path: &str,
    value: &impl Serialize,
) -> Result<(StatusCode, Bytes), Report<StandinError>> {
    let body = serde_json::to_vec(value).change_context(StandinError::Request)?;
    let req = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(body.into()))
        .change_context(StandinError::Request)?;
    let answer = client
        .request(req)
        .await
        .change_context(StandinError::Request)?;
    let status = answer.status();
    let body = answer
        .into_body()
        .collect()
        .await
        .change_context(StandinError::Answer)?;
    Ok((status, body.to_bytes()))
}

/// Reads JSON from `path`.
pub async fn get_json<T: DeserializeOwned>(
    client: &HttpClient,
    address: SocketAddr,
    path: &str,
) -> Result<T, Report<StandinError>> {
    let (status, body) = send_json(client, Method::GET, address, path, &()).await?;
    if !status.is_success() {
        return Err(Report::new(StandinError::Answer).attach(format!("status {status}")));
    }
    serde_json::from_slice(&body).change_context(StandinError::Answer)
}
