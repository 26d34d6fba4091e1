//! The `olivegate-bench` command.

use std::process::ExitCode;

fn main() -> ExitCode {
    olivegate_bench::run(std::env::args_os().skip(1).collect())
}
