//! Memory for bodies that are held until they are complete, with a bound for the whole process.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Unit in which memory is counted, in bytes.
const UNIT_BYTES: usize = 4 * 1024;
/// Part of the process's memory for requests of clients, for answers and for messages of other nodes.
const REQUESTS_DIVISOR: u64 = 4;
const ANSWERS_DIVISOR: u64 = 4;
const MESSAGES_DIVISOR: u64 = 8;

/// Pool of memory for bodies; clones share it.
#[derive(Clone, Debug)]
pub struct BufferPool(Arc<Semaphore>);

impl BufferPool {
    /// Creates a pool of `bytes`.
    fn new(bytes: u64) -> Self {
        let units = usize::try_from(bytes).unwrap_or(usize::MAX) / UNIT_BYTES;
        Self(Arc::new(Semaphore::new(units.min(Semaphore::MAX_PERMITS))))
    }

    /// Creates a pool for the requests of clients to a process that may hold `memory` bytes.
    pub fn for_requests(memory: u64) -> Self {
        Self::new(memory / REQUESTS_DIVISOR)
    }

    /// Creates a pool for the answers in such a process.
    pub fn for_answers(memory: u64) -> Self {
        Self::new(memory / ANSWERS_DIVISOR)
    }

    /// Creates a pool for the messages of other nodes to such a process.
    pub fn for_messages(memory: u64) -> Self {
        Self::new(memory / MESSAGES_DIVISOR)
    }

    /// Creates an empty buffer.
    pub fn buffer(&self) -> Buffer {
        Buffer {
            pool: self.clone(),
            permit: None,
            buf: BytesMut::new(),
        }
    }
}

/// Bytes that were received one after the other. They are copied, as a chunk keeps all of the memory into
/// which it was read, however short it is.
#[derive(Debug)]
pub struct Buffer {
    pool: BufferPool,
    permit: Option<OwnedSemaphorePermit>,
    buf: BytesMut,
}

/// Memory of a pool, with the permit to use it.
struct Held {
    bytes: Bytes,
    _permit: OwnedSemaphorePermit,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Buffer {
    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.buf.len()
    }

    /// Returns `true` if there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.buf.is_empty()
    }

    /// Appends `data`; returns `false` and changes nothing if the pool has no room.
    pub fn append(&mut self, data: &[u8]) -> bool {
        let needed = self.buf.len() + data.len();
        if needed > self.buf.capacity() && !self.grow(needed) {
            return false;
        }
        self.buf.extend_from_slice(data);
        true
    }

    fn grow(&mut self, needed: usize) -> bool {
        let units = needed.max(2 * self.buf.capacity()).div_ceil(UNIT_BYTES);
        let held = self
            .permit
            .as_ref()
            .map_or(0, |permit| permit.num_permits());
        let Ok(more) = u32::try_from(units.saturating_sub(held)) else {
            return false;
        };
        let pool = Arc::clone(&self.pool.0);
        let Ok(permit) = pool.try_acquire_many_owned(more) else {
            return false;
        };
        match &mut self.permit {
            Some(held) => held.merge(permit),
            None => self.permit = Some(permit),
        }
        self.buf.reserve(units * UNIT_BYTES - self.buf.len());
        true
    }

    /// Returns the bytes. Their memory goes back to the pool when the last reference is dropped.
    pub fn freeze(self) -> Bytes {
        let bytes = self.buf.freeze();
        match self.permit {
            Some(permit) => Bytes::from_owner(Held {
                bytes,
                _permit: permit,
            }),
            None => bytes,
        }
    }
}
