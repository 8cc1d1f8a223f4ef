//! Answers of the system itself.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use rhubarblanding_core::prelude::*;
use serde::Serialize;

use super::headers;
use crate::connection::Body;

/// Time after which a caller may come back if the refusal names none.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// JSON body of a refusal.
#[derive(Debug, Serialize)]
struct RefusalBody<'a> {
    error: ErrorKind,
    run_state: RunState,
    advice: RetryAdvice,
    message: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    detail: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

/// Body that holds `bytes` whole.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    Body::new(Full::new(bytes.into()).map_err(|never| match never {}))
}

/// Answer for a refusal, with `detail` naming the field and the reason where there is one.
pub fn refusal(refusal: Refusal, detail: Option<&str>) -> Response<Body> {
    let answer = refusal.kind.answer();
    let retry_after = match answer.advice {
        RetryAdvice::Never => None,
        _ => Some(refusal.retry_after.unwrap_or(DEFAULT_RETRY_AFTER)),
    };
    let body = RefusalBody {
        error: refusal.kind,
        run_state: answer.run_state,
        advice: answer.advice,
        message: answer.message,
        detail,
        retry_after_ms: retry_after.map(|d| d.as_millis() as u64),
    };
    let mut resp = json(status(answer.status), &body);
    let out = resp.headers_mut();
    out.insert(headers::ERROR, headers::value(refusal.kind));
    out.insert(headers::RUN_STATE, headers::value(answer.run_state));
    if let Some(after) = retry_after {
        let seconds = after.as_millis().div_ceil(1_000);
        out.insert(header::RETRY_AFTER, headers::value(seconds));
        out.insert(headers::RETRY_AFTER_MS, headers::value(after.as_millis()));
    }
    resp
}

/// Reads the refusal that another node answered with, if it is one.
pub fn read_refusal(headers: &HeaderMap) -> Option<Refusal> {
    let name = headers.get(&headers::ERROR)?;
    let kind = headers::parse(headers, &headers::ERROR);
    let kind = kind.unwrap_or_else(|| {
        // A node of a later version may know more kinds.
        log::warn!(kind:? = name; "refusal_kind_unknown");
        unnamed_kind(headers)
    });
    let retry_after = headers::parse(headers, &headers::RETRY_AFTER_MS).map(Duration::from_millis);
    Some(Refusal { kind, retry_after }.from_other_node())
}

/// Returns the kind that stands for one that this version does not know, by the run state beside it.
fn unnamed_kind(headers: &HeaderMap) -> ErrorKind {
    match headers::parse(headers, &headers::RUN_STATE) {
        Some(RunState::NotRun) => ErrorKind::RefusedByNode,
        Some(RunState::Unknown | RunState::Ran) | None => ErrorKind::ConnectionLost,
    }
}

/// JSON answer with `status`.
pub fn json(status: StatusCode, body: &impl Serialize) -> Response<Body> {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    let mut resp = Response::new(full_body(bytes));
    *resp.status_mut() = status;
    let json = header::HeaderValue::from_static("application/json");
    resp.headers_mut().insert(header::CONTENT_TYPE, json);
    resp
}

fn status(code: u16) -> StatusCode {
    StatusCode::from_u16(code).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}
