//! Bodies of answers, buffered or streamed.

use std::collections::VecDeque;
use std::fmt;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use rhubarblanding_node::process::parking::{Mutex, lock};
use rhubarblanding_node::request::body::EndGuard;
use rhubarblanding_store::metered::Meter;
use tokio::task::AbortHandle;
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
    /// `None` once it has overrun its limit.
    source: SharedSource,
    /// Wakes who waits for the source.
    limit: Pin<Box<Sleep>>,
    /// Ends the source at the limit also if nobody reads: who waits for room to pass bytes on does not
    /// ask for more.
    watchdog: AbortHandle,
}

type SharedSource = Arc<Mutex<Option<Source>>>;

struct Source {
    first: VecDeque<Bytes>,
    rest: Incoming,
    /// Meter of the connection that it comes from.
    meter: Option<Arc<Meter>>,
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
        let source = Source {
            first,
            rest,
            meter: None,
            guards: Vec::new(),
        };
        let source: SharedSource = Arc::new(Mutex::new(Some(source)));
        let ended = Arc::clone(&source);
        let watchdog = tokio::spawn(async move {
            tokio::time::sleep_until(limit).await;
            drop(lock(&ended).take());
        });
        Self::Stream(Box::new(PrefixedStream {
            source,
            limit: Box::pin(tokio::time::sleep_until(limit)),
            watchdog: watchdog.abort_handle(),
        }))
    }

    /// Records what is received of a streamed body in `meter`.
    #[must_use]
    pub fn metered(self, meter: Arc<Meter>) -> Self {
        self.with_source(|source| source.meter = Some(meter))
    }

    /// Notifies `guard` when a streamed body ends. A buffered body has ended for its source.
    #[must_use]
    pub fn guarded(self, guard: Box<dyn EndGuard>) -> Self {
        self.with_source(|source| source.guards.push(guard))
    }

    fn with_source(self, change: impl FnOnce(&mut Source)) -> Self {
        if let Self::Stream(stream) = &self
            && let Some(source) = &mut *lock(&stream.source)
        {
            change(source);
        }
        self
    }
}

impl Source {
    fn end(&mut self, complete: bool) {
        for mut guard in self.guards.drain(..) {
            guard.ended(complete);
        }
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, PayloadError>>> {
        if let Some(chunk) = self.first.pop_front() {
            return Poll::Ready(Some(Ok(Frame::data(chunk))));
        }
        let frame = ready!(Pin::new(&mut self.rest).poll_frame(cx));
        if let (Some(meter), Some(Ok(frame))) = (&self.meter, &frame) {
            meter.received(frame.data_ref().map_or(0, Bytes::len));
        }
        match &frame {
            None => self.end(true),
            Some(Err(_)) => self.end(false),
            Some(Ok(_)) if self.rest.is_end_stream() => self.end(true),
            Some(Ok(_)) => {}
        }
        Poll::Ready(frame.map(|frame| frame.map_err(PayloadError::Source)))
    }

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

impl Drop for Source {
    fn drop(&mut self) {
        self.end(false);
    }
}

impl PrefixedStream {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, PayloadError>>> {
        let is_over = self.limit.as_mut().poll(cx).is_ready();
        let mut source = lock(&self.source);
        if is_over {
            drop(source.take());
        }
        match &mut *source {
            Some(source) => source.poll(cx),
            None => Poll::Ready(Some(Err(PayloadError::Overdue))),
        }
    }
}

impl Drop for PrefixedStream {
    fn drop(&mut self) {
        self.watchdog.abort();
        // The watchdog holds it until the runtime drops its task.
        drop(lock(&self.source).take());
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
            Self::Stream(stream) => lock(&stream.source)
                .as_ref()
                .is_some_and(|source| source.first.is_empty() && source.rest.is_end_stream()),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            Self::Stream(stream) => lock(&stream.source)
                .as_ref()
                .map_or_else(SizeHint::new, Source::size_hint),
        }
    }
}
