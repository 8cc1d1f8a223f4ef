//! What a request asks of the backend server in its path and query.

use std::time::Duration;

use error_stack::Report;
use http::Uri;

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
}

impl WorkQuery {
    /// Whether the body is streamed slowly.
    pub fn is_archive(&self) -> bool {
        self.path.starts_with("/archive")
    }
}

impl TryFrom<&Uri> for WorkQuery {
    type Error = Report<StandinError>;

    fn try_from(uri: &Uri) -> Result<Self, Self::Error> {
        let mut query = Self {
            path: uri.path().to_owned(),
            bytes: DEFAULT_ANSWER_BYTES,
            time: None,
        };
        for pair in uri.query().unwrap_or("").split('&') {
            match pair.split_once('=') {
                Some(("bytes", raw)) => query.bytes = number(pair, raw)?,
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
