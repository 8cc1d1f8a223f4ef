//! Bodies of requests and answers of a client connection.

use std::fmt;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;

use super::Ahead;
use crate::connection::{Payload, PayloadError};

/// Body of a client's request.
#[derive(Default)]
pub struct RequestBody {
    incoming: Option<Incoming>,
    ahead: Option<Arc<Ahead>>,
}

impl fmt::Debug for RequestBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.incoming.fmt(f)
    }
}

impl RequestBody {
    /// Creates a body whose end is reported to `ahead`.
    pub(super) fn new(incoming: Incoming, ahead: Arc<Ahead>) -> Self {
        Self {
            incoming: Some(incoming),
            ahead: Some(ahead),
        }
    }
}

impl From<Incoming> for RequestBody {
    fn from(incoming: Incoming) -> Self {
        Self {
            incoming: Some(incoming),
            ahead: None,
        }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let Some(incoming) = &mut self.incoming else {
            return Poll::Ready(None);
        };
        let polled = Pin::new(&mut *incoming).poll_frame(cx);
        let is_read = match &polled {
            Poll::Ready(None) => true,
            Poll::Ready(Some(Ok(_))) => incoming.is_end_stream(),
            _ => false,
        };
        if is_read && let Some(ahead) = self.ahead.take() {
            ahead.with_input(super::input::Input::body_read);
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.as_ref().is_none_or(Incoming::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        let hint = self.incoming.as_ref().map(Incoming::size_hint);
        hint.unwrap_or_else(|| SizeHint::with_exact(0))
    }
}

/// Body of an answer, which the HTTP library drops as soon as it is written.
pub(super) struct AnswerBody {
    pub(super) payload: Payload,
    pub(super) ahead: Arc<Ahead>,
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        self.ahead.answered();
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = PayloadError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, PayloadError>>> {
        Pin::new(&mut self.payload).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.payload.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.payload.size_hint()
    }
}
