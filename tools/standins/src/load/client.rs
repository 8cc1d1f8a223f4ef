//! One caller: sends a request, checks the answer and repeats it as told.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;

use super::report::{Attempt, Ending, Refused};
use super::settings::{LoadKind, LoadSettings, RetryMode, Route};
use crate::answer::{DEFAULT_ANSWER_BYTES, Pattern};
use crate::headers;
use crate::http::{HttpClient, client, header_number, header_text};

/// Time to wait when an answer asks to come back and gives no time.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Identity of one request, the same in every attempt.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Identifier of the request.
    pub request_id: String,
    /// Idempotency key, if the request has one.
    pub idempotency_key: Option<String>,
}

/// Callers that share connections.
#[derive(Debug)]
pub struct Caller {
    client: HttpClient,
    next: AtomicUsize,
}

struct Received {
    ending: Ending,
    retry_after: Option<Duration>,
}

impl From<Ending> for Received {
    fn from(ending: Ending) -> Self {
        Self {
            ending,
            retry_after: None,
        }
    }
}

impl Caller {
    /// Caller without connections.
    pub fn new() -> Self {
        Self {
            client: client(),
            next: AtomicUsize::new(0),
        }
    }

    /// Sends a request until it is completed or the tries are used up.
    pub async fn call(
        &self,
        cfg: &LoadSettings,
        kind: &LoadKind,
        identity: &Identity,
    ) -> Vec<Attempt> {
        let started = Instant::now();
        let limit = kind.deadline.unwrap_or(cfg.timeout * cfg.tries);
        let mut attempts = Vec::new();
        loop {
            let sent = Instant::now();
            let left = limit.saturating_sub(started.elapsed());
            let patience = left.min(cfg.timeout);
            let received = tokio::time::timeout(patience, self.attempt(cfg, kind, identity, left))
                .await
                .unwrap_or_else(|_| Ending::Timeout.into());
            let done = received.ending == Ending::Completed;
            attempts.push(Attempt {
                ending: received.ending,
                latency: sent.elapsed(),
            });
            if done || attempts.len() >= cfg.tries as usize {
                return attempts;
            }
            let pause = match cfg.retry {
                RetryMode::AtOnce => Duration::ZERO,
                RetryMode::AfterAdvice => received.retry_after.unwrap_or(DEFAULT_RETRY_AFTER),
            };
            if started.elapsed() + pause >= limit {
                return attempts;
            }
            tokio::time::sleep(pause).await;
        }
    }

    async fn attempt(
        &self,
        cfg: &LoadSettings,
        kind: &LoadKind,
        identity: &Identity,
        left: Duration,
    ) -> Received {
        let Some(address) = self.address(&cfg.route) else {
            return Ending::Connection.into();
        };
        let Ok(req) = request(&cfg.route, address, kind, identity, left) else {
            return Ending::Connection.into();
        };
        match self.client.request(req).await {
            Ok(answer) => receive(answer, kind, identity).await,
            Err(_) => Ending::Connection.into(),
        }
    }

    fn address(&self, route: &Route) -> Option<SocketAddr> {
        let addresses = route.addresses();
        let index = self.next.fetch_add(1, Ordering::Relaxed);
        addresses.get(index % addresses.len().max(1)).copied()
    }
}

impl Default for Caller {
    fn default() -> Self {
        Self::new()
    }
}

fn request(
    route: &Route,
    address: SocketAddr,
    kind: &LoadKind,
    identity: &Identity,
    left: Duration,
) -> Result<Request<Full<Bytes>>, http::Error> {
    let uri = match route {
        Route::Nodes(_) => format!("http://{address}/{}{}", kind.service, kind.path),
        Route::Direct(_) => format!("http://{address}{}", kind.path),
    };
    let mut builder = Request::builder()
        .method(kind.method.clone())
        .uri(uri)
        .header(headers::REQUEST_ID, &identity.request_id);
    if let Some(key) = &identity.idempotency_key {
        builder = builder.header(headers::IDEMPOTENCY_KEY, key);
    }
    if kind.deadline.is_some() {
        builder = builder.header(headers::DEADLINE_MS, left.as_millis() as u64);
    }
    builder.body(Full::default())
}

async fn receive(answer: Response<Incoming>, kind: &LoadKind, identity: &Identity) -> Received {
    if answer.status() != StatusCode::OK {
        return refusal(answer).await;
    }
    check_body(answer.into_body(), kind, identity).await.into()
}

async fn refusal(answer: Response<Incoming>) -> Received {
    let refused = Refused {
        status: answer.status().as_u16(),
        error: header_text(answer.headers(), headers::ERROR)
            .unwrap_or_default()
            .to_owned(),
        run_state: header_text(answer.headers(), headers::RUN_STATE)
            .and_then(|text| text.parse().ok()),
    };
    let retry_after = retry_after(answer.headers());
    // The rest of the body is read only so that the connection can be used again.
    let _ = answer.into_body().collect().await;
    Received {
        ending: Ending::Refused(refused),
        retry_after,
    }
}

fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let ms = header_number(headers, headers::RETRY_AFTER_MS).map(Duration::from_millis);
    ms.or_else(|| header_number(headers, headers::RETRY_AFTER).map(Duration::from_secs))
}

async fn check_body(mut body: Incoming, kind: &LoadKind, identity: &Identity) -> Ending {
    let expected = Expected::new(kind);
    let mut pattern = Pattern::new(&identity.request_id, &expected.path);
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return Ending::Connection;
        };
        let Some(data) = frame.data_ref() else {
            continue;
        };
        if !pattern.matches(data) {
            return Ending::WrongAnswer;
        }
    }
    if pattern.position() == expected.bytes {
        Ending::Completed
    } else {
        Ending::WrongAnswer
    }
}

/// What the answer to a kind is made from.
struct Expected {
    path: String,
    bytes: u64,
}

impl Expected {
    fn new(kind: &LoadKind) -> Self {
        let uri: Uri = kind.path.parse().unwrap_or_default();
        let query = uri.query().unwrap_or("");
        let bytes = query
            .split('&')
            .find_map(|pair| pair.strip_prefix("bytes="));
        Self {
            path: uri.path().to_owned(),
            bytes: bytes
                .and_then(|raw| raw.parse().ok())
                .unwrap_or(DEFAULT_ANSWER_BYTES),
        }
    }
}
