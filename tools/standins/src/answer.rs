//! Answer bodies that follow from the request, so that a caller can check every byte.

use rhubarblanding_core::collections::stable_hash;

/// Length of an answer body when the request does not ask for another.
pub const DEFAULT_ANSWER_BYTES: u64 = 256;

/// Number of bytes that one hash yields.
const BLOCK_BYTES: u64 = 8;

/// Generator and checker of the body that belongs to one request.
#[derive(Clone, Debug)]
pub struct Pattern {
    seed: u64,
    position: u64,
}

impl Pattern {
    /// Pattern of the answer to `request_id` at `path`, without the query.
    pub fn new(request_id: &str, path: &str) -> Self {
        let id_hash = stable_hash(1, request_id.as_bytes());
        Self {
            seed: stable_hash(id_hash, path.as_bytes()),
            position: 0,
        }
    }

    /// Number of bytes made or checked so far.
    pub fn position(&self) -> u64 {
        self.position
    }

    /// Next `len` bytes of the body.
    pub fn take(&mut self, len: usize) -> Vec<u8> {
        let mut buf = Vec::with_capacity(len);
        while buf.len() < len {
            let block = self.block();
            let offset = (self.position % BLOCK_BYTES) as usize;
            let count = (block.len() - offset).min(len - buf.len());
            buf.extend_from_slice(&block[offset..offset + count]);
            self.position += count as u64;
        }
        buf
    }

    /// Whether `bytes` are the next bytes of the body.
    pub fn matches(&mut self, bytes: &[u8]) -> bool {
        self.take(bytes.len()) == bytes
    }

    fn block(&self) -> [u8; BLOCK_BYTES as usize] {
        let index = self.position / BLOCK_BYTES;
        stable_hash(self.seed, &index.to_le_bytes()).to_le_bytes()
    }
}

/// Whole body of `len` bytes for `request_id` at `path`.
pub fn whole(request_id: &str, path: &str, len: u64) -> Vec<u8> {
    Pattern::new(request_id, path).take(len as usize)
}
