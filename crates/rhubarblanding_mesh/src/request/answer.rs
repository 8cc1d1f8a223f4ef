//! Answers that the system itself gives.

use http::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use http::{Response, StatusCode};
use rhubarblanding_core::prelude::*;

use crate::connection::Payload;

/// Answer that belongs to a refusal. The time to come back is given in seconds with fractions.
pub fn refusal(refusal: Refusal) -> Response<Payload> {
    refusal_with_message(refusal, refusal.kind.answer().message)
}

/// Answer that belongs to a refusal, with another text for the caller.
pub fn refusal_with_message(refusal: Refusal, note: &str) -> Response<Payload> {
    let answer = refusal.kind.answer();
    let mut resp = Response::new(Payload::buffered(note.to_owned().into()));
    *resp.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = resp.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    if let Some(after) = refusal.retry_after {
        let seconds = format!("{:.3}", after.as_secs_f64());
        if let Ok(value) = HeaderValue::try_from(seconds) {
            headers.insert(RETRY_AFTER, value);
        }
    }
    resp
}
