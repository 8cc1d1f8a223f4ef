//! Token that identifies a request to its backend server.

use std::fmt;

use rand::Rng;

/// Opaque identifier of a running request.
///
/// The backend server echoes it on its downstream calls. It is 128 random bits, so that a backend
/// server cannot guess the token of another request.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct Token(u128);

impl Token {
    /// Number of hexadecimal digits of the text form.
    pub const TEXT_LEN: usize = 32;

    /// Generates a random token.
    pub fn random(rng: &mut impl Rng) -> Self {
        Self(rng.random())
    }
}

/// Error for a text that is not a [`Token`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidToken;

impl fmt::Display for InvalidToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "token: must be {} hexadecimal digits", Token::TEXT_LEN)
    }
}

impl std::error::Error for InvalidToken {}

impl TryFrom<&str> for Token {
    type Error = InvalidToken;

    fn try_from(raw: &str) -> Result<Self, Self::Error> {
        let digits = raw.bytes().all(|b| b.is_ascii_hexdigit());
        if raw.len() != Self::TEXT_LEN || !digits {
            return Err(InvalidToken);
        }
        u128::from_str_radix(raw, 16)
            .map(Self)
            .map_err(|_| InvalidToken)
    }
}

impl fmt::Display for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl fmt::Debug for Token {
    /// Omits the value to keep it out of the log.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Token(..)")
    }
}
