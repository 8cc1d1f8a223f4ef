//! Log output: text or JSON lines on standard error, with a level that can be changed at run time.

use flexi_logger::{FlexiLoggerError, LogSpecification, Logger, LoggerHandle};

use crate::settings::LogFormat;

/// Starts the logger of this process.
///
/// # Errors
///
/// Fails if a logger was started before.
pub fn start(level: log::LevelFilter, format: LogFormat) -> Result<LoggerHandle, FlexiLoggerError> {
    let logger = Logger::with(specification(level)).log_to_stderr();
    match format {
        LogFormat::Text => logger.format(flexi_logger::detailed_format),
        LogFormat::Json => logger.format(flexi_logger::json_format),
    }
    .start()
}

/// Changes the level of a running logger.
pub fn set_level(logger: &LoggerHandle, level: log::LevelFilter) {
    logger.set_new_spec(specification(level));
}

/// The own crates log at `level`, libraries only their warnings.
fn specification(level: log::LevelFilter) -> LogSpecification {
    LogSpecification::builder()
        .default(level.min(log::LevelFilter::Warn))
        .module("rhubarblanding", level)
        .module("rhubarblanding_node", level)
        .module("rhubarblanding_store", level)
        .build()
}
