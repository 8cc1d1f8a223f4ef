//! Stand-in programs for tests.

use std::process::ExitCode;

use rhubarblanding_standins::command;

#[tokio::main]
async fn main() -> ExitCode {
    let matches = command::command().get_matches();
    match command::run(&matches).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
    }
}
