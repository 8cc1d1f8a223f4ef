//! Bodies of answers, buffered or streamed.

use std::collections::VecDeque;
use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use rhubarblanding_node::request::body::EndGuard;
use tokio::time::{Instant, Sleep};

/// Body of an answer.
pub enum Payload {
    /// Complete body; `None` if it is empty or was read.
    Buffered(Option<Bytes>),
    /// Body that is forwarded chunk by chunk.
    Stream(Box<PrefixedStream>),
}

/// Streamed body whose first chunks were already read.
pub struct PrefixedStream {
    first: VecDeque<Bytes>,
    rest: Incoming,
    /// Ends the stream if its source does not.
    limit: Pin<Box<Sleep>>,
    guards: Vec<Box<dyn EndGuard>>,
}

/// Reason for which a streamed body breaks off.
#[derive(Debug)]
pub enum PayloadError {
    /// The source broke off.
    Source(hyper::Error),
    /// The source did not end in time.
    Overdue,
}

impl fmt::Display for PayloadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Source(e) => e.fmt(f),
            Self::Overdue => f.write_str("the body did not end in time"),
        }
    }
}

impl std::error::Error for PayloadError {}

impl Payload {
    /// Creates a body without content.
    pub fn empty() -> Self {
        Self::Buffered(None)
    }

    /// Creates a body from its complete content.
    pub fn buffered(bytes: Bytes) -> Self {
        Self::Buffered((!bytes.is_empty()).then_some(bytes))
    }

    /// Returns `true` if the whole body was received.
    pub fn is_complete(&self) -> bool {
        matches!(self, Self::Buffered(_))
    }

    /// Creates a body of `first` followed by `rest`, which breaks off at `limit`.
    pub fn stream(first: VecDeque<Bytes>, rest: Incoming, limit: Instant) -> Self {
        Self::Stream(Box::new(PrefixedStream {
            first,
            rest,
            limit: Box::pin(tokio::time::sleep_until(limit)),
            guards: Vec::new(),
        }))
    }

    /// Notifies `guard` when a streamed body ends. A buffered body has ended for its source.
    #[must_use]
    pub fn guarded(mut self, guard: Box<dyn EndGuard>) -> Self {
        if let Self::Stream(stream) = &mut self {
            stream.guards.push(guard);
        }
        self
    }
}

impl PrefixedStream {
    fn end(&mut self, complete: bool) {
        for mut guard in self.guards.drain(..) {
            guard.ended(complete);
        }
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, PayloadError>>> {
        if self.limit.as_mut().poll(cx).is_ready() {
            self.end(false);
            return Poll::Ready(Some(Err(PayloadError::Overdue)));
        }
        if let Some(chunk) = self.first.pop_front() {
            return Poll::Ready(Some(Ok(Frame::data(chunk))));
        }
        let frame = ready!(Pin::new(&mut self.rest).poll_frame(cx));
        match &frame {
            None => self.end(true),
            Some(Err(_)) => self.end(false),
            Some(Ok(_)) if self.rest.is_end_stream() => self.end(true),
            Some(Ok(_)) => {}
        }
        Poll::Ready(frame.map(|frame| frame.map_err(PayloadError::Source)))
    }
}

impl Drop for PrefixedStream {
    fn drop(&mut self) {
        self.end(false);
    }
}

impl Body for Payload {
    type Data = Bytes;
    type Error = PayloadError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, PayloadError>>> {
        match self.get_mut() {
            Self::Buffered(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Stream(stream) => stream.poll(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(bytes) => bytes.is_none(),
            Self::Stream(stream) => stream.first.is_empty() && stream.rest.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            Self::Stream(stream) => stream.size_hint(),
        }
    }
}

impl PrefixedStream {
    fn size_hint(&self) -> SizeHint {
        let first: u64 = self.first.iter().map(|chunk| chunk.len() as u64).sum();
        let rest = self.rest.size_hint();
        let mut hint = SizeHint::new();
        hint.set_lower(first + rest.lower());
        if let Some(upper) = rest.upper() {
            hint.set_upper(first + upper);
        }
        hint
    }
}
