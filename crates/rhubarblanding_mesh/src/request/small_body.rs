//! Reading of bodies into memory, with a limit on their size.

use std::collections::VecDeque;

use bytes::Bytes;
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use rhubarblanding_store::metered::Meter;
use strum::Display;

use crate::connection::{Buffer, BufferPool};

/// Size up to which an answer is buffered until it is complete, in bytes. If it breaks off, the
/// client then gets a failure instead of a truncated answer.
const BUFFER_MAX_BYTES: usize = 256 * 1024;

/// Reason for which a body is not held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub(super) enum HoldError {
    /// It is longer than allowed.
    TooLarge,
    /// The sender broke off before the end.
    Cut,
    /// The pool is used up.
    NoMemory,
}

/// Body after [`read`].
pub(super) enum SmallBody {
    /// The complete body.
    Complete(Bytes),
    /// The first chunks, and the rest that is not read yet.
    Partial(VecDeque<Bytes>, Incoming),
}

/// Reads a body until its end, or until it is too large to be buffered in `pool`. What is received is
/// recorded in `meter`.
pub(super) async fn read(
    mut body: Incoming,
    pool: &BufferPool,
    meter: Option<&Meter>,
) -> Result<SmallBody, hyper::Error> {
    let mut buffer = pool.buffer();
    while buffer.len() <= BUFFER_MAX_BYTES {
        let Some(frame) = body.frame().await else {
            return Ok(SmallBody::Complete(buffer.freeze()));
        };
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        if let Some(meter) = meter {
            meter.received(data.len());
        }
        if buffer.is_empty() && body.is_end_stream() {
            return Ok(SmallBody::Complete(data));
        }
        if !buffer.append(&data) {
            return Ok(partial(buffer, Some(data), body));
        }
    }
    Ok(partial(buffer, None, body))
}

fn partial(buffer: Buffer, last: Option<Bytes>, rest: Incoming) -> SmallBody {
    let first = (!buffer.is_empty()).then(|| buffer.freeze());
    SmallBody::Partial(first.into_iter().chain(last).collect(), rest)
}

/// Reads a body of at most `limit` bytes into memory of `pool`; logs `event` with the reason on failure.
pub(crate) async fn read_logged<B>(
    body: B,
    limit: usize,
    pool: &BufferPool,
    event: &str,
) -> Option<Bytes>
where
    B: Body<Data = Bytes, Error = hyper::Error> + Unpin,
{
    match read_held(body, limit, pool).await {
        Ok(body) => Some(body),
        Err(e) => {
            log::info!(reason:% = e; "{event}");
            None
        }
    }
}

/// Reads a body of at most `limit` bytes into memory of `pool`.
///
/// # Errors
///
/// See [`HoldError`].
pub(super) async fn read_held<B>(
    mut body: B,
    limit: usize,
    pool: &BufferPool,
) -> Result<Bytes, HoldError>
where
    B: Body<Data = Bytes, Error = hyper::Error> + Unpin,
{
    let mut buffer = pool.buffer();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| HoldError::Cut)?.into_data() else {
            continue;
        };
        if buffer.len() + data.len() > limit {
            return Err(HoldError::TooLarge);
        }
        if buffer.is_empty() && body.is_end_stream() {
            return Ok(data);
        }
        if !buffer.append(&data) {
            return Err(HoldError::NoMemory);
        }
    }
    Ok(buffer.freeze())
}
