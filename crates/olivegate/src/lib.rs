//! The `olivegate` command as a library, so that other programs can run its commands in their process.
//!
//! - [`command`]: parsing of the command line; usage errors.
//! - [`node_command`]: `node` and `settings check`.
//! - [`sidecar_command`]: `sidecar` and `sidecar check`.
//! - [`logs_command`]: `logs explain` and `logs summary`.
//! - [`log_output`]: non-blocking output of log lines.
//! - [`bundle_command`]: `bundle check`, `sign`, `diff` and `key`.
//! - [`operator_command`]: `status` and `explain`.

pub mod bundle_command;
pub mod command;
pub mod error;
pub mod log_output;
pub mod logs_command;
pub mod node_command;
pub mod operator_command;
pub mod sidecar_command;

use std::ffi::OsString;
use std::process::ExitCode;

use olivegate_types::Release;

use crate::command::Command;
pub use crate::error::CommandError;

/// Which code this program was built from.
pub const RELEASE: Release = Release { version: env!("CARGO_PKG_VERSION"), commit: env!("OLIVEGATE_COMMIT") };

/// Exit code when a command fails.
const FAILED: u8 = 1;
/// Exit code when the command line can't be parsed.
const USAGE: u8 = 2;

/// Runs the command given by the arguments after the program's name.
pub fn run(arguments: Vec<OsString>) -> ExitCode {
    let command = match Command::parse(arguments) {
        Ok(command) => command,
        Err(error) => {
            eprintln!("olivegate: {error}\nTry 'olivegate --help'.");
            return ExitCode::from(USAGE);
        }
    };
    match execute(command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("olivegate: {error}");
            ExitCode::from(FAILED)
        }
    }
}

fn execute(command: Command) -> Result<(), CommandError> {
    match command {
        Command::Help(text) => {
            print!("{text}");
            Ok(())
        }
        Command::Version => {
            println!("olivegate {RELEASE}");
            Ok(())
        }
        Command::Node { settings, overrides, log_level } => node_command::run(&settings, &overrides, log_level),
        Command::LogsExplain { request, files } => logs_command::explain(&request, &files),
        Command::LogsSummary { files } => logs_command::print_summary(&files),
        Command::Sidecar { settings, log_level } => sidecar_command::run(&settings, log_level),
        Command::SidecarCheck { file } => sidecar_command::check(&file),
        Command::SettingsCheck { file } => node_command::check(&file),
        Command::BundleCheck { file } => bundle_command::check(&file),
        Command::BundleSign { file, key, out } => bundle_command::sign(&file, &key, &out),
        Command::BundleDiff { old, new } => bundle_command::diff(&old, &new),
        Command::BundleKey { key } => bundle_command::public_key(&key),
        Command::Status { admin } => operator_command::status(admin),
        Command::Explain { request, admin } => operator_command::explain(&request, admin),
    }
}
