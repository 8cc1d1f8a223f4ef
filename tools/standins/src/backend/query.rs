//! What a request asks of the backend server in its path and query.

use std::time::Duration;

use error_stack::Report;
use http::{StatusCode, Uri};

use crate::answer::DEFAULT_ANSWER_BYTES;
use crate::error::StandinError;

/// Greatest length of an answer body.
const MAX_ANSWER_BYTES: u64 = 1 << 30;

/// Checked path and query of a work request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkQuery {
    /// Path without the query.
    pub path: String,
    /// Length of the answer body.
    pub bytes: u64,
    /// Service time, or the time over which an archive is sent.
    pub time: Option<Duration>,
    /// Status of the answer.
    pub status: StatusCode,
    /// Whether the body is sent in chunks, without its length.
    pub chunked: bool,
    /// Number of bytes of the body after which the connection is broken off.
    pub cut: Option<u64>,
    /// Number of bytes after which the body ends as if it were whole, to show that a caller notices.
    pub short: Option<u64>,
    /// Whether the answer says after the work that there was none, to show that a test notices.
    pub false_not_run: bool,
}

impl WorkQuery {
    /// Whether the body is streamed slowly.
    pub fn is_archive(&self) -> bool {
        self.path.starts_with("/archive")
    }

    /// Whether the body is sent bit by bit.
    pub fn is_streamed(&self) -> bool {
        self.chunked || self.cut.is_some()
    }
}

impl TryFrom<&Uri> for WorkQuery {
    type Error = Report<StandinError>;

    fn try_from(uri: &Uri) -> Result<Self, Self::Error> {
        let mut query = Self {
            path: uri.path().to_owned(),
            bytes: DEFAULT_ANSWER_BYTES,
            time: None,
            status: StatusCode::OK,
            chunked: false,
            cut: None,
            short: None,
            false_not_run: false,
        };
        for pair in uri.query().unwrap_or("").split('&') {
            match pair.split_once('=') {
                Some(("bytes", raw)) => query.bytes = number(pair, raw)?,
                Some(("status", raw)) => query.status = status(pair, raw)?,
                Some(("chunked", _)) => query.chunked = true,
                Some(("cut", raw)) => query.cut = Some(number(pair, raw)?),
                Some(("short", raw)) => query.short = Some(number(pair, raw)?),
                Some(("false_not_run", _)) => query.false_not_run = true,
                Some(("ms", raw)) => query.time = Some(Duration::from_millis(number(pair, raw)?)),
                _ => {}
            }
        }
        if query.bytes > MAX_ANSWER_BYTES {
            return Err(Report::new(StandinError::Settings)
                .attach(format!("bytes: must be at most {MAX_ANSWER_BYTES}")));
        }
        Ok(query)
    }
}

fn number(pair: &str, raw: &str) -> Result<u64, Report<StandinError>> {
    raw.parse().map_err(|_| {
        Report::new(StandinError::Settings).attach(format!("`{pair}`: must be a number"))
    })
}

fn status(pair: &str, raw: &str) -> Result<StatusCode, Report<StandinError>> {
    raw.parse().map_err(|_| {
        Report::new(StandinError::Settings).attach(format!("`{pair}`: must be a status code"))
    })
}
