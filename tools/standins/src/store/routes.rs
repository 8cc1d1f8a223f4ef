//! The HTTP face of the service.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};

use super::faults::{Faults, OutageMode};
use super::kv::{Put, Snapshot};
use super::server::Shared;

/// Greatest size of a value in bytes.
const VALUE_MAX_BYTES: usize = 1_000_000;

/// Longest time that a watch waits.
const WAIT_MAX: Duration = Duration::from_secs(60);

/// The connection is to be closed without an answer.
#[derive(Debug)]
pub(super) struct Dropped;

impl std::fmt::Display for Dropped {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("connection closed by a fault switch")
    }
}

impl std::error::Error for Dropped {}

type Answered = Result<Response<Full<Bytes>>, Dropped>;

#[derive(Serialize)]
struct RevisionBody {
    revision: u64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct LeaseBody {
    lease: Option<u64>,
    ttl_ms: u64,
}

#[derive(Serialize)]
struct GrantBody {
    lease: u64,
    ttl_ms: u64,
}

#[derive(Serialize)]
struct ListEntry {
    key: String,
    revision: u64,
}

#[derive(Serialize)]
struct ListBody {
    entries: Vec<ListEntry>,
}

/// Answers one request; the answer reports the era in which it was made.
pub(super) async fn handle(shared: Arc<Shared>, req: Request<Incoming>) -> Answered {
    let mut res = answer(&shared, req).await?;
    res.headers_mut().insert("x-era", shared.era().into());
    Ok(res)
}

async fn answer(shared: &Arc<Shared>, req: Request<Incoming>) -> Answered {
    let (head, body) = req.into_parts();
    let body = match Limited::new(body, VALUE_MAX_BYTES).collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => return Ok(status(StatusCode::PAYLOAD_TOO_LARGE)),
    };
    let query = head.uri.query().unwrap_or_default();
    let path = head.uri.path();
    match (&head.method, path) {
        (&Method::POST, "/v1/faults") => return Ok(set_faults(shared, &body)),
        (&Method::POST, "/v1/silence") => {
            shared.silence_connections();
            return Ok(status(StatusCode::NO_CONTENT));
        }
        (&Method::GET, "/v1/faults") => return Ok(json(StatusCode::OK, &shared.faults())),
        (&Method::GET, "/v1/calls") => return Ok(json(StatusCode::OK, &shared.calls())),
        _ => {}
    }
    if let Some(key) = path.strip_prefix("/v1/kv/") {
        return match head.method {
            Method::GET => get(shared, key).await,
            Method::PUT => put(shared, key, query, body).await,
            _ => Ok(status(StatusCode::METHOD_NOT_ALLOWED)),
        };
    }
    if let Some(key) = path.strip_prefix("/v1/watch/") {
        return watch(shared, key, query).await;
    }
    match path {
        "/v1/lease" => lease(shared, &body).await,
        "/v1/list" => list(shared, query).await,
        _ => Ok(status(StatusCode::NOT_FOUND)),
    }
}

fn set_faults(shared: &Shared, body: &Bytes) -> Response<Full<Bytes>> {
    match serde_json::from_slice::<Faults>(body) {
        Ok(faults) => {
            shared.set_faults(faults);
            status(StatusCode::NO_CONTENT)
        }
        Err(e) => text(StatusCode::BAD_REQUEST, e.to_string()),
    }
}

async fn get(shared: &Shared, key: &str) -> Answered {
    shared.count(|calls| calls.get += 1);
    if let Some(answer) = fail(shared).await? {
        return Ok(answer);
    }
    let stale = shared.faults().stale_reads;
    let snapshot = shared.with_kv(|kv| match stale {
        true => kv.previous(key),
        false => kv.newest(key),
    });
    Ok(snapshot_answer(snapshot))
}

async fn put(shared: &Shared, key: &str, query: &str, value: Bytes) -> Answered {
    shared.count(|calls| calls.put += 1);
    if let Some(answer) = fail(shared).await? {
        return Ok(answer);
    }
    let Some(expected) = number(query, "expected") else {
        return Ok(text(StatusCode::BAD_REQUEST, "expected: missing".into()));
    };
    let lease = number(query, "lease");
    shared.lose_request()?;
    let outcome = shared.change_kv(|kv| kv.put(key, expected, value, lease));
    shared.lose_answer()?;
    Ok(match outcome {
        Put::Stored(revision) => json(StatusCode::OK, &RevisionBody { revision }),
        Put::Conflict(revision) => json(StatusCode::CONFLICT, &RevisionBody { revision }),
        Put::LeaseLapsed => status(StatusCode::GONE),
    })
}

async fn watch(shared: &Shared, key: &str, query: &str) -> Answered {
    shared.count(|calls| calls.watch += 1);
    let after = number(query, "after").unwrap_or(0);
    let wait = Duration::from_millis(number(query, "wait_ms").unwrap_or(0)).min(WAIT_MAX);
    let deadline = tokio::time::Instant::now() + wait;
    let mut changes = shared.subscribe();
    loop {
        if let Some(answer) = fail(shared).await? {
            return Ok(answer);
        }
        let snapshot = shared.with_kv(|kv| kv.newest(key));
        if snapshot.revision > after {
            return Ok(snapshot_answer(snapshot));
        }
        let changed = tokio::time::timeout_at(deadline, changes.changed()).await;
        if !matches!(changed, Ok(Ok(()))) {
            return Ok(status(StatusCode::NO_CONTENT));
        }
    }
}

async fn lease(shared: &Shared, body: &Bytes) -> Answered {
    shared.count(|calls| calls.lease += 1);
    if let Some(answer) = fail(shared).await? {
        return Ok(answer);
    }
    let Ok(LeaseBody { lease, ttl_ms }) = serde_json::from_slice(body) else {
        return Ok(text(StatusCode::BAD_REQUEST, "not a lease body".into()));
    };
    shared.lose_request()?;
    let (now, ttl) = (Instant::now(), Duration::from_millis(ttl_ms));
    let held = shared.change_kv(|kv| match lease {
        Some(id) => kv.renew(id, now, Some(ttl)).map(|_| id),
        None => Some(kv.grant(now, ttl)),
    });
    shared.lose_answer()?;
    Ok(match held {
        Some(lease) => json(StatusCode::OK, &GrantBody { lease, ttl_ms }),
        None => status(StatusCode::GONE),
    })
}

async fn list(shared: &Shared, query: &str) -> Answered {
    shared.count(|calls| calls.list += 1);
    if let Some(answer) = fail(shared).await? {
        return Ok(answer);
    }
    let prefix = parameter(query, "prefix").unwrap_or_default();
    let entries = shared
        .with_kv(|kv| kv.list(prefix))
        .into_iter()
        .map(|(key, revision)| ListEntry { key, revision })
        .collect();
    Ok(json(StatusCode::OK, &ListBody { entries }))
}

/// Delays the call and fails it during an outage.
async fn fail(shared: &Shared) -> Result<Option<Response<Full<Bytes>>>, Dropped> {
    let delay = shared.faults().delay_ms;
    if delay > 0 {
        tokio::time::sleep(Duration::from_millis(delay)).await;
    }
    let faults = shared.faults();
    if !faults.outage {
        return Ok(None);
    }
    match faults.outage_mode {
        OutageMode::Drop => Err(Dropped),
        OutageMode::Refuse => Ok(Some(status(StatusCode::SERVICE_UNAVAILABLE))),
        OutageMode::Hang => std::future::pending().await,
    }
}

fn snapshot_answer(snapshot: Snapshot) -> Response<Full<Bytes>> {
    let (code, body) = match snapshot.value {
        Some(value) => (StatusCode::OK, value),
        None => (StatusCode::NOT_FOUND, Bytes::new()),
    };
    let mut res = Response::new(Full::new(body));
    *res.status_mut() = code;
    res.headers_mut()
        .insert("x-revision", snapshot.revision.into());
    res
}

fn json<T: Serialize>(code: StatusCode, body: &T) -> Response<Full<Bytes>> {
    text(code, serde_json::to_string(body).unwrap_or_default())
}

fn text(code: StatusCode, body: String) -> Response<Full<Bytes>> {
    let mut res = Response::new(Full::new(Bytes::from(body)));
    *res.status_mut() = code;
    res
}

fn status(code: StatusCode) -> Response<Full<Bytes>> {
    text(code, String::new())
}

fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

fn number(query: &str, name: &str) -> Option<u64> {
    parameter(query, name)?.parse().ok()
}
