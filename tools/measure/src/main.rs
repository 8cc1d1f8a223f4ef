//! The `rhubarblanding_measure` program.

use std::process::ExitCode;

fn main() -> ExitCode {
    rhubarblanding_measure::command::main()
}
