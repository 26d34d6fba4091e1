//! The `olivegate` command.

use std::process::ExitCode;

fn main() -> ExitCode {
    olivegate::run(std::env::args_os().skip(1).collect())
}
