//! Request bodies read whole, and answer bodies passed on as a stream.

use std::io;
use std::pin::{Pin, pin};
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use http_body::{Body as HttpBody, Frame, SizeHint};
use http_body_util::BodyExt;

use crate::connection::Body;

/// Why a request body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// The body is longer than allowed.
    TooLarge,
    /// The sender broke off before the end.
    Cut,
}

/// Reads a request body of at most `limit_bytes`. Its parts are copied, as each keeps all of the memory
/// into which it was read, however short it is.
///
/// # Errors
///
/// See [`ReadError`].
pub async fn read_whole<B>(body: B, limit_bytes: usize) -> Result<Bytes, ReadError>
where
    B: HttpBody<Data = Bytes>,
{
    let mut body = pin!(body);
    let mut buf = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| ReadError::Cut)?.into_data() else {
            continue;
        };
        if buf.len() + data.len() > limit_bytes {
            return Err(ReadError::TooLarge);
        }
        if buf.is_empty() && body.is_end_stream() {
            return Ok(data);
        }
        buf.extend_from_slice(&data);
    }
    Ok(buf.freeze())
}

/// Something that must learn how an answer ended.
pub trait EndGuard: Send + 'static {
    /// Called once: `whole` tells whether the body came to its proper end.
    fn ended(&mut self, whole: bool);
}

/// Passes a body on frame by frame and tells its guard how it ended.
///
/// A body that breaks off ends as an error, never as a clean end.
struct GuardedBody<B, G: EndGuard> {
    inner: B,
    guard: Option<G>,
}

impl<B, G: EndGuard> GuardedBody<B, G> {
    fn end(&mut self, whole: bool) {
        if let Some(mut guard) = self.guard.take() {
            guard.ended(whole);
        }
    }
}

impl<B, G: EndGuard> Drop for GuardedBody<B, G> {
    fn drop(&mut self) {
        self.end(false);
    }
}

impl<B, G> HttpBody for GuardedBody<B, G>
where
    B: HttpBody<Data = Bytes, Error = hyper::Error> + Unpin,
    G: EndGuard + Unpin,
{
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let polled = Pin::new(&mut self.inner).poll_frame(cx);
        match &polled {
            Poll::Ready(None) => self.end(true),
            Poll::Ready(Some(Err(_))) => self.end(false),
            Poll::Ready(Some(Ok(_))) if self.inner.is_end_stream() => self.end(true),
            _ => {}
        }
        polled.map(|frame| frame.map(|frame| frame.map_err(io::Error::other)))
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

/// Body that passes `inner` on and tells `guard` how it ended.
pub fn guarded<B, G>(inner: B, mut guard: G) -> Body
where
    B: HttpBody<Data = Bytes, Error = hyper::Error> + Send + Unpin + 'static,
    G: EndGuard + Unpin,
{
    // An empty body is never polled, so its end is told here.
    if inner.is_end_stream() {
        guard.ended(true);
        return Body::new(inner.map_err(io::Error::other));
    }
    Body::new(GuardedBody {
        inner,
        guard: Some(guard),
    })
}
