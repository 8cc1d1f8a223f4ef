//! Validated keys of the key-value service.

use std::fmt;
use std::sync::Arc;

/// Maximum length of a key in bytes.
pub const KEY_MAX_BYTES: usize = 255;

/// Reason for rejecting a text as a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InvalidKey {
    /// The text is empty.
    Empty,
    /// The text is longer than [`KEY_MAX_BYTES`].
    TooLong,
    /// The text contains a character other than `a-z`, `0-9`, `-`, `_`, `.`, `:` and `/`.
    Character,
}

impl fmt::Display for InvalidKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => f.write_str("must not be empty"),
            Self::TooLong => write!(f, "must have at most {KEY_MAX_BYTES} bytes"),
            Self::Character => f.write_str("may hold a-z, 0-9, -, _, ., : and /"),
        }
    }
}

impl std::error::Error for InvalidKey {}

/// Name under which a value is stored, safe to use in a URL path.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(Arc<str>);

impl Key {
    /// Creates a key from a literal.
    ///
    /// # Panics
    ///
    /// Panics if the literal is not a valid key. Use [`TryFrom`] for text that is not a literal.
    pub fn from_static(raw: &'static str) -> Self {
        if let Err(e) = validate(raw) {
            panic!("key `{raw}` {e}");
        }
        Self(raw.into())
    }

    /// Returns the key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

fn validate(raw: &str) -> Result<(), InvalidKey> {
    if raw.is_empty() {
        return Err(InvalidKey::Empty);
    }
    if raw.len() > KEY_MAX_BYTES {
        return Err(InvalidKey::TooLong);
    }
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b"-_.:/".contains(&b);
    if !raw.bytes().all(allowed) {
        return Err(InvalidKey::Character);
    }
    Ok(())
}

impl TryFrom<&str> for Key {
    type Error = InvalidKey;

    fn try_from(raw: &str) -> Result<Self, Self::Error> {
        validate(raw).map(|()| Self(raw.into()))
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
