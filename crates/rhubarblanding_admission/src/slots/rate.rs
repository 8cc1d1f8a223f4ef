//! Rate of requests that a backend server takes.

use std::fmt;

/// Rate of requests, in requests per second; finite and not negative.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct RequestRate(f64);

/// Error for text or a number that is not a rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidRate;

impl RequestRate {
    /// Returns the requests per second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for RequestRate {
    type Error = InvalidRate;

    fn try_from(per_second: f64) -> Result<Self, InvalidRate> {
        match per_second.is_finite() && per_second >= 0.0 {
            true => Ok(Self(per_second)),
            false => Err(InvalidRate),
        }
    }
}

impl TryFrom<&str> for RequestRate {
    type Error = InvalidRate;

    /// Reads a decimal number. Signs, exponents and names such as `inf` are rejected.
    fn try_from(raw: &str) -> Result<Self, InvalidRate> {
        if raw.bytes().any(|b| !b.is_ascii_digit() && b != b'.') {
            return Err(InvalidRate);
        }
        let per_second: f64 = raw.parse().map_err(|_| InvalidRate)?;
        Self::try_from(per_second)
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
