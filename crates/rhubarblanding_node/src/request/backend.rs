//! Sends a request to the local backend server and passes its answer on.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri, header, uri::PathAndQuery};
use http_body_util::Full;
use hyper::body::Incoming;
use rhubarblanding_admission::prelude::*;
use rhubarblanding_core::prelude::*;
use rhubarblanding_request::prelude::*;

use super::{GatePass, RequestRef, body, headers};
use crate::connection::SendError;
use crate::process::{Event, Shared};

/// A request as it goes to the backend server.
#[derive(Clone, Debug)]
pub struct BackendRequest {
    /// Method.
    pub method: Method,
    /// Path with its query.
    pub path: PathAndQuery,
    /// Headers of the caller.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// What the request inherits.
    pub cx: RequestContext,
    /// Number of the request's kind, for the gate.
    pub kind: KindId,
}

/// Answer of the backend server with what has to learn of its end.
pub struct BackendAnswer {
    /// Head and body.
    pub resp: Response<Incoming>,
    /// Learns how the body ends.
    pub running: Running,
}

/// Why the backend server gave no answer.
#[derive(Clone, Copy, Debug)]
pub enum BackendError {
    /// It was not run.
    NotRun(Refusal),
    /// It may have run.
    Unknown(Refusal),
}

impl BackendError {
    /// The refusal for the caller.
    pub fn refusal(self) -> Refusal {
        match self {
            Self::NotRun(refusal) | Self::Unknown(refusal) => refusal,
        }
    }
}

/// A request that runs at the backend server. Dropping it reports a cancellation.
pub struct Running {
    node: Arc<Shared>,
    pass: GatePass,
    finish: Option<Finish>,
}

impl Running {
    fn fail(&mut self, result: FinishResult) {
        self.pass.finish(Finish {
            latency: self.pass.elapsed(),
            downstream: std::time::Duration::ZERO,
            result,
        });
    }
}

impl body::EndGuard for Running {
    fn ended(&mut self, whole: bool) {
        if !whole {
            self.node.counters.event(Event::CutAnswer);
        }
        if let Some(finish) = self.finish.take() {
            self.pass.finish(finish);
        }
    }
}

/// Waits for admission; dropping the wait gives up the place in the queue.
///
/// # Errors
///
/// The refusal of the gate, or of a service that the request will call.
pub async fn admit(node: &Arc<Shared>, req: &BackendRequest) -> Result<GatePass, Refusal> {
    let now = node.clock.now();
    node.registry
        .check_downstream(now, req.kind, req.cx.priority)?;
    node.gate.admit(&req.cx, req.kind).await
}

/// Sends an admitted request once; its answer has to begin by `wait_until`.
///
/// # Errors
///
/// See [`BackendError`].
pub async fn send(
    node: &Arc<Shared>,
    req: &BackendRequest,
    running: RequestRef,
    pass: GatePass,
    wait_until: MonoTime,
) -> Result<BackendAnswer, BackendError> {
    let mut guard = Running {
        node: Arc::clone(node),
        pass,
        finish: None,
    };
    let Some(out) = outgoing(node, req, running) else {
        return Err(BackendError::NotRun(Refusal::new(
            ErrorKind::InvalidRequest,
        )));
    };
    node.counters.event(Event::BackendDispatch);
    let wait_until = node.clock.instant(wait_until);
    let sent = tokio::time::timeout_at(wait_until, node.backend.send(out)).await;
    let resp = match sent {
        Ok(Ok(resp)) => resp,
        Ok(Err(error)) => {
            guard.fail(FinishResult::Failed);
            return Err(lost(error));
        }
        Err(_) => {
            guard.fail(FinishResult::Completed);
            let refusal = Refusal::new(ErrorKind::DeadlineExceeded);
            return Err(BackendError::Unknown(refusal));
        }
    };
    if let Some(refusal) = shed(&resp) {
        guard.fail(FinishResult::Shed);
        return Err(BackendError::NotRun(refusal));
    }
    let now = node.clock.now();
    guard.finish = Some(Finish {
        latency: guard.pass.elapsed(),
        downstream: node.registry.downstream_time(now, running),
        result: FinishResult::Completed,
    });
    Ok(BackendAnswer {
        resp,
        running: guard,
    })
}

fn lost(error: SendError) -> BackendError {
    let refusal = Refusal::new(error.kind());
    match error {
        SendError::Connect => BackendError::NotRun(refusal),
        SendError::Lost => BackendError::Unknown(refusal),
    }
}

/// The refusal of a backend server that did not run the request.
fn shed(resp: &Response<Incoming>) -> Option<Refusal> {
    let state: Option<RunState> = headers::parse(resp.headers(), &headers::RUN_STATE);
    let refused = resp.status() == StatusCode::SERVICE_UNAVAILABLE;
    // A refusal of a downstream call that the backend server passes on names an error kind. It
    // says nothing of the request itself, which ran.
    let passed_on = resp.headers().contains_key(headers::ERROR);
    let shed = refused && !passed_on && state == Some(RunState::NotRun);
    shed.then(|| Refusal::new(ErrorKind::BackendShed))
}

fn outgoing(
    node: &Shared,
    req: &BackendRequest,
    running: RequestRef,
) -> Option<Request<Full<Bytes>>> {
    let uri = Uri::builder()
        .scheme("http")
        .authority(node.backend.addr().to_string())
        .path_and_query(req.path.clone())
        .build()
        .ok()?;
    let mut out = Request::new(Full::new(req.body.clone()));
    *out.method_mut() = req.method.clone();
    *out.uri_mut() = uri;
    let mut map = req.headers.clone();
    map.insert(header::HOST, headers::value(node.backend.addr()));
    if let Some(token) = node.registry.token(running) {
        map.insert(headers::TOKEN, headers::value(token));
    }
    let remaining = req.cx.remaining(node.clock.now()).as_millis();
    map.insert(headers::DEADLINE_MS, headers::value(remaining));
    map.insert(headers::IMPORTANCE, headers::value(req.cx.importance));
    *out.headers_mut() = map;
    Some(out)
}
