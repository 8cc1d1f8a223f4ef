//! Recorded answers and request fingerprints.

use bytes::Bytes;
use rhubarblanding_core::collections::stable_hash;
use serde::{Deserialize, Serialize};

/// Hash of the parts of a request that must be equal in each repeat of its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Hashes the parts of a request in order, for example method, path and body.
    pub fn of(parts: &[&[u8]]) -> Self {
        let hash = parts.iter().fold(0, |seed, part| stable_hash(seed, part));
        Self(hash)
    }
}

/// One header field of a recorded answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Field name in lower case.
    pub name: String,
    /// Field value.
    #[serde(with = "byte_string")]
    pub value: Vec<u8>,
}

/// Complete answer of a backend server, kept so that a repeat gets the same bytes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Header fields in the order in which the backend server sent them.
    pub headers: Vec<Header>,
    /// Body.
    #[serde(with = "byte_string")]
    pub body: Bytes,
}

impl RecordedAnswer {
    /// Size of head and body in bytes.
    pub fn size_bytes(&self) -> usize {
        let field = |header: &Header| header.name.len() + header.value.len();
        self.body.len() + self.headers.iter().map(field).sum::<usize>()
    }
}

/// Serializes byte buffers as byte strings instead of sequences of numbers.
mod byte_string {
    use std::fmt;
    use std::marker::PhantomData;

    use serde::de::{Deserializer, Error, SeqAccess, Visitor};
    use serde::ser::Serializer;

    /// Maximum capacity in bytes that is reserved by the length that the sender declares.
    const RESERVE_MAX_BYTES: usize = 4096;

    struct BytesVisitor<B>(PhantomData<B>);

    impl<'de, B: From<Vec<u8>>> Visitor<'de> for BytesVisitor<B> {
        type Value = B;

        fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
            f.write_str("a byte string")
        }

        fn visit_bytes<E: Error>(self, raw: &[u8]) -> Result<B, E> {
            Ok(raw.to_vec().into())
        }

        fn visit_byte_buf<E: Error>(self, raw: Vec<u8>) -> Result<B, E> {
            Ok(raw.into())
        }

        fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<B, A::Error> {
            let reserve = seq.size_hint().unwrap_or(0).min(RESERVE_MAX_BYTES);
            let mut buf = Vec::with_capacity(reserve);
            while let Some(byte) = seq.next_element()? {
                buf.push(byte);
            }
            Ok(buf.into())
        }
    }

    pub fn serialize<B, S>(value: &B, serializer: S) -> Result<S::Ok, S::Error>
    where
        B: AsRef<[u8]>,
        S: Serializer,
    {
        serializer.serialize_bytes(value.as_ref())
    }

    pub fn deserialize<'de, B, D>(deserializer: D) -> Result<B, D::Error>
    where
        B: From<Vec<u8>>,
        D: Deserializer<'de>,
    {
        deserializer.deserialize_byte_buf(BytesVisitor(PhantomData))
    }
}
