//! What a node tells another one about the freshness of its knowledge.

use std::fmt;
use std::time::Duration;

use rhubarblanding_core::prelude::*;

/// Statement that no version newer than `version` was in force `age` ago.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Word {
    /// Active version of the node that gives its word.
    pub version: DocVersion,
    /// Age of the statement when the word was given.
    pub age: Duration,
}

impl fmt::Display for Word {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // Rounded up: knowledge must not become younger on its way.
        let age = self.age.as_micros().div_ceil(1_000);
        write!(f, "{:x};{age}", self.version.0)
    }
}

/// Error for text that is not a [`Word`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidWord;

impl TryFrom<&str> for Word {
    type Error = InvalidWord;

    fn try_from(raw: &str) -> Result<Self, InvalidWord> {
        let (version, age) = raw.split_once(';').ok_or(InvalidWord)?;
        let version = u64::from_str_radix(version, 16).map_err(|_| InvalidWord)?;
        let age = age.parse().map_err(|_| InvalidWord)?;
        Ok(Self {
            version: DocVersion(version),
            age: Duration::from_millis(age),
        })
    }
}
