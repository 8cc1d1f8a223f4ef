//! Validated names of services, availability zones and kinds of requests.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Maximum length of a name in bytes.
pub const NAME_MAX_BYTES: usize = 63;

/// Reason for which a text is not a valid name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InvalidName {
    /// The text is empty.
    Empty,
    /// The text is longer than [`NAME_MAX_BYTES`].
    TooLong,
    /// The text contains a character other than `a-z`, `0-9` and `-`, or begins or ends with `-`.
    Character,
}

impl fmt::Display for InvalidName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => f.write_str("must not be empty"),
            Self::TooLong => write!(f, "must have at most {NAME_MAX_BYTES} bytes"),
            Self::Character => {
                f.write_str("may hold a-z, 0-9 and -, and must begin and end with a-z or 0-9")
            }
        }
    }
}

impl std::error::Error for InvalidName {}

fn validate_name(raw: &str) -> Result<(), InvalidName> {
    if raw.is_empty() {
        return Err(InvalidName::Empty);
    }
    if raw.len() > NAME_MAX_BYTES {
        return Err(InvalidName::TooLong);
    }
    let is_allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    let has_outer_dash = raw.starts_with('-') || raw.ends_with('-');
    if has_outer_dash || !raw.bytes().all(is_allowed) {
        return Err(InvalidName::Character);
    }
    Ok(())
}

macro_rules! validated_name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<&str> for $name {
            type Error = InvalidName;

            fn try_from(raw: &str) -> Result<Self, Self::Error> {
                validate_name(raw).map(|()| Self(raw.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = InvalidName;

            fn try_from(raw: String) -> Result<Self, Self::Error> {
                Self::try_from(raw.as_str())
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

validated_name! {
    /// Name of a service.
    ServiceName
}

validated_name! {
    /// Name of an availability zone.
    ZoneName
}

validated_name! {
    /// Name of a kind of request within its service.
    KindName
}
