//! Answers that are recorded for an idempotency key.

use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use http::{HeaderName, HeaderValue, Response, StatusCode};
use http_body::{Body as HttpBody, Frame};
use http_body_util::BodyExt;
use rhubarblanding_once::answer::Header;
use rhubarblanding_once::prelude::RecordedAnswer;

use super::backend::BackendAnswer;
use super::body::EndGuard;
use super::{answer, body, headers};
use crate::connection::Body;

/// What became of an answer that was to be recorded.
pub enum Read {
    /// It is whole and small enough.
    Whole(RecordedAnswer),
    /// It is larger than the limit and goes to its caller only.
    TooLarge(Box<Response<Body>>),
    /// It broke off.
    Cut,
}

/// Reads an answer of at most `limit_bytes`; a larger one is passed on as a stream.
pub async fn read(answer: BackendAnswer, limit_bytes: usize) -> Read {
    let (mut parts, mut inner) = answer.resp.into_parts();
    headers::strip_hop_by_hop(&mut parts.headers);
    headers::strip_system(&mut parts.headers);
    let mut running = answer.running;
    let mut seen = VecDeque::new();
    let mut size = 0;
    loop {
        match inner.frame().await {
            None => break,
            Some(Err(_)) => {
                running.ended(false);
                return Read::Cut;
            }
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    size += data.len();
                    seen.push_back(data);
                }
            }
        }
        if size > limit_bytes {
            let rest = body::guarded(inner, running);
            let body = Body::new(Resumed { seen, rest });
            return Read::TooLarge(Box::new(Response::from_parts(parts, body)));
        }
    }
    running.ended(true);
    let mut whole = BytesMut::with_capacity(size);
    seen.iter().for_each(|data| whole.extend_from_slice(data));
    let headers = parts.headers.iter().map(|(name, value)| Header {
        name: name.as_str().to_owned(),
        value: value.as_bytes().to_vec(),
    });
    Read::Whole(RecordedAnswer {
        status: parts.status.as_u16(),
        headers: headers.collect(),
        body: whole.freeze(),
    })
}

/// The recorded answer as an HTTP answer.
pub fn to_response(recorded: &RecordedAnswer) -> Response<Body> {
    let mut resp = Response::new(answer::full_body(recorded.body.clone()));
    let status = StatusCode::from_u16(recorded.status);
    *resp.status_mut() = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    for header in &recorded.headers {
        let name = HeaderName::try_from(header.name.as_str());
        let value = HeaderValue::from_bytes(&header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            resp.headers_mut().append(name, value);
        }
    }
    resp
}

/// A body of which some data was read already.
struct Resumed {
    seen: VecDeque<Bytes>,
    rest: Body,
}

impl HttpBody for Resumed {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if let Some(data) = self.seen.pop_front() {
            return Poll::Ready(Some(Ok(Frame::data(data))));
        }
        Pin::new(&mut self.rest).poll_frame(cx)
    }
}
