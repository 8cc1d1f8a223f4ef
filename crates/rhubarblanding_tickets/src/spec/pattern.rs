//! Patterns for methods and paths.

use std::fmt;
use std::sync::Arc;

/// Maximum length of a path pattern in bytes.
const PATTERN_MAX_BYTES: usize = 512;

/// Maximum length of a method in bytes.
const METHOD_MAX_BYTES: usize = 20;

/// Pattern that matches every method, and path segment that matches any one segment.
const ANY: &str = "*";

/// Last segment that matches the whole rest of a path.
const REST: &str = "**";

/// Reason why a text is not a pattern.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InvalidPattern {
    /// A method is not upper-case letters or `*`.
    Method,
    /// A path does not begin with `/`.
    NotAbsolute,
    /// A path is longer than the limit.
    TooLong,
    /// A segment is empty, `.` or `..`, or contains `%`, `?`, `#`, `\` or anything other than
    /// visible ASCII.
    Segment,
    /// `*` is only a part of a segment.
    Wildcard,
    /// `**` is not the last segment.
    RestNotLast,
}

impl fmt::Display for InvalidPattern {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Method => write!(
                f,
                "must be * or 1 to {METHOD_MAX_BYTES} upper-case letters, such as GET"
            ),
            Self::NotAbsolute => f.write_str("must begin with /"),
            Self::TooLong => write!(f, "must have at most {PATTERN_MAX_BYTES} bytes"),
            Self::Segment => f.write_str(
                "segments must be visible ASCII without % ? # \\, and not empty, . or ..",
            ),
            Self::Wildcard => f.write_str("* and ** must be whole segments"),
            Self::RestNotLast => f.write_str("** must be the last segment"),
        }
    }
}

impl std::error::Error for InvalidPattern {}

/// Pattern for a request's method.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MethodPattern {
    /// Any method.
    Any,
    /// One method.
    Exactly(Arc<str>),
}

impl MethodPattern {
    /// Returns `true` if `method` matches the pattern.
    pub fn matches(&self, method: &str) -> bool {
        match self {
            Self::Any => true,
            Self::Exactly(exact) => exact.as_ref() == method,
        }
    }
}

impl TryFrom<&str> for MethodPattern {
    type Error = InvalidPattern;

    fn try_from(raw: &str) -> Result<Self, Self::Error> {
        if raw == ANY {
            return Ok(Self::Any);
        }
        let length = 1..=METHOD_MAX_BYTES;
        if !length.contains(&raw.len()) || !raw.bytes().all(|b| b.is_ascii_uppercase()) {
            return Err(InvalidPattern::Method);
        }
        Ok(Self::Exactly(raw.into()))
    }
}

impl fmt::Display for MethodPattern {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Any => ANY,
            Self::Exactly(exact) => exact,
        })
    }
}

/// Pattern for a request's path: literal segments, `*` for any one segment, and `**` at the end
/// for all the rest.
///
/// A wildcard matches no segment that a backend server might resolve to another path: empty, `.`,
/// `..`, or with an escaped dot or slash.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PathPattern(Arc<str>);

impl PathPattern {
    /// Returns the pattern that matches every path.
    pub(super) fn any() -> Self {
        Self("/**".into())
    }

    /// Returns `true` if `path`, given without its query, matches the pattern.
    pub fn matches(&self, path: &str) -> bool {
        let (Some(pattern), Some(path)) = (self.0.strip_prefix('/'), path.strip_prefix('/')) else {
            return false;
        };
        let mut segments = path.split('/');
        for expected in pattern.split('/') {
            if expected == REST {
                return rest_is_plain(segments);
            }
            let Some(segment) = segments.next() else {
                return false;
            };
            let matches = match expected {
                ANY => is_plain(segment),
                literal => literal == segment,
            };
            if !matches {
                return false;
            }
        }
        segments.next().is_none()
    }
}

/// Returns `true` if every segment is plain; the last may be empty.
fn rest_is_plain(mut segments: std::str::Split<'_, char>) -> bool {
    while let Some(segment) = segments.next() {
        let trailing_slash = segment.is_empty() && segments.clone().next().is_none();
        if !trailing_slash && !is_plain(segment) {
            return false;
        }
    }
    true
}

/// Returns `true` if no backend server can resolve the segment to something else.
fn is_plain(segment: &str) -> bool {
    if segment.is_empty() || segment == "." || segment == ".." || segment.contains('\\') {
        return false;
    }
    !segment.contains('%') || !has_escaped_separator(segment)
}

fn has_escaped_separator(segment: &str) -> bool {
    segment.as_bytes().windows(3).any(|window| {
        let lower = [
            window[1].to_ascii_lowercase(),
            window[2].to_ascii_lowercase(),
        ];
        window[0] == b'%' && matches!(&lower, b"2e" | b"2f" | b"5c")
    })
}

fn check_segment(segment: &str) -> Result<(), InvalidPattern> {
    let allowed = |b: u8| b.is_ascii_graphic() && !b"%?#\\".contains(&b);
    if segment.is_empty() || segment == "." || segment == ".." || !segment.bytes().all(allowed) {
        return Err(InvalidPattern::Segment);
    }
    match segment {
        ANY => Ok(()),
        REST => Err(InvalidPattern::RestNotLast),
        _ if segment.contains('*') => Err(InvalidPattern::Wildcard),
        _ => Ok(()),
    }
}

impl TryFrom<&str> for PathPattern {
    type Error = InvalidPattern;

    fn try_from(raw: &str) -> Result<Self, Self::Error> {
        if raw.len() > PATTERN_MAX_BYTES {
            return Err(InvalidPattern::TooLong);
        }
        let path = raw.strip_prefix('/').ok_or(InvalidPattern::NotAbsolute)?;
        let checked = match path.strip_suffix(REST) {
            Some("") => return Ok(Self(raw.into())),
            Some(head) => head.strip_suffix('/').ok_or(InvalidPattern::Wildcard)?,
            None => path,
        };
        // Only the root path consists of one empty segment.
        if !path.is_empty() {
            checked.split('/').try_for_each(check_segment)?;
        }
        Ok(Self(raw.into()))
    }
}

impl fmt::Display for PathPattern {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
