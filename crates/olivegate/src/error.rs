//! Errors of commands.

use std::fmt;
use std::path::PathBuf;

/// Why a command failed.
#[derive(Debug)]
pub enum CommandError {
    /// A file can't be read.
    Read(PathBuf, std::io::Error),
    /// A file can't be written.
    Write(PathBuf, std::io::Error),
    /// A file is invalid; the text names every error, one a line.
    InvalidFile(PathBuf, String),
    /// The node failed.
    Node(String),
    /// The admin port could not be queried or returned an error, or the request id is invalid.
    Admin(String),
    /// No log line mentions this request or content.
    NotInLogs(String),
    /// Calls in flight were cut off after the stop timeout.
    CutOff,
}

impl fmt::Display for CommandError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CommandError::Read(file, error) => {
                write!(formatter, "file={} cannot be read: {error}", file.display())
            }
            CommandError::Write(file, error) => {
                write!(formatter, "file={} cannot be written: {error}", file.display())
            }
            CommandError::InvalidFile(file, errors) => {
                let lines = errors.lines().map(|line| format!("file={} {line}", file.display()));
                formatter.write_str(&lines.collect::<Vec<_>>().join("\n"))
            }
            CommandError::Node(reason) => write!(formatter, "node failed: {reason}"),
            CommandError::Admin(reason) => write!(formatter, "admin port: {reason}"),
            CommandError::NotInLogs(request) => {
                write!(formatter, "request={request}: no line about it in these files")
            }
            CommandError::CutOff => formatter.write_str("calls in flight were cut off after the stop timeout"),
        }
    }
}

impl std::error::Error for CommandError {}
