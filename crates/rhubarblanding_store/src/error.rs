//! Failures of calls to the key-value service.

use std::fmt;

use error_stack::{AttachmentKind, FrameKind, Report};
use strum::{EnumIter, IntoStaticStr};

/// Reason for the failure of a call to the key-value service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum StoreError {
    /// The service did not apply the call and will not apply it later.
    Unavailable,
    /// The call may have been applied, or may still be applied.
    AnswerLost,
    /// The value is larger than [`VALUE_MAX_BYTES`](crate::value::VALUE_MAX_BYTES).
    ValueTooLarge,
    /// The lease has lapsed or never existed.
    LeaseLapsed,
    /// The changes since the revision given to a watch are no longer kept.
    HistoryGone,
    /// The service was restored from an older copy since the revision or lease of the call was
    /// obtained. A write was not applied, or was applied to the restored data; the key has to be
    /// read.
    EraChanged,
    /// The service rejected the request as malformed, or its answer to a read violates the
    /// protocol. Nothing was applied.
    InvalidAnswer,
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unavailable => "the key-value service is unavailable; nothing was applied",
            Self::AnswerLost => "the answer was lost; the call may have been applied",
            Self::ValueTooLarge => "the value is larger than the key-value service accepts",
            Self::LeaseLapsed => "the lease has lapsed",
            Self::HistoryGone => "the history after this revision is no longer kept",
            Self::EraChanged => "the key-value service was restored from an older copy",
            Self::InvalidAnswer => "the key-value service gave an invalid answer",
        })
    }
}

impl std::error::Error for StoreError {}

/// Returns what is known of the cause of a failed call besides its kind, empty if nothing is.
pub fn detail(report: &Report<StoreError>) -> String {
    let texts = report.frames().filter_map(|frame| match frame.kind() {
        FrameKind::Attachment(AttachmentKind::Printable(text)) => Some(text.to_string()),
        FrameKind::Context(cause) if !frame.is::<StoreError>() => Some(cause.to_string()),
        _ => None,
    });
    let texts: Vec<String> = texts.collect();
    texts.join("; ")
}
