//! Answers to requests that the mesh refuses.

use http::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use http::{Response, StatusCode};
use rhubarblanding_core::prelude::*;

use crate::connection::Payload;

/// Returns the answer for a refusal. `Retry-After` is in seconds, with fractions.
pub fn refusal(refusal: Refusal) -> Response<Payload> {
    refusal_with_message(refusal, refusal.kind.answer().message)
}

/// Returns the answer for a refusal, with another message for the caller.
pub fn refusal_with_message(refusal: Refusal, message: &str) -> Response<Payload> {
    let answer = refusal.kind.answer();
    let mut resp = Response::new(Payload::buffered(message.to_owned().into()));
    *resp.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = resp.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    if let Some(delay) = refusal.retry_after {
        let seconds = format!("{:.3}", delay.as_secs_f64());
        if let Ok(value) = HeaderValue::try_from(seconds) {
            headers.insert(RETRY_AFTER, value);
        }
    }
    resp
}
