//! Errors of the command layer.

use std::fmt;
use std::path::PathBuf;

/// Why a command failed.
#[derive(Debug)]
pub enum CommandError {
    /// A file can't be read.
    Read(PathBuf, std::io::Error),
    /// A file can't be written.
    Write(PathBuf, std::io::Error),
    /// A file has mistakes; the text names each.
    Mistakes(PathBuf, String),
    /// The node failed.
    Node(String),
    /// The admin port gave no usable answer.
    Admin(String),
    /// No log line is about this request.
    NotInLogs(String),
    /// Calls in flight were cut off by a stop.
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
            CommandError::Mistakes(file, mistakes) => {
                let lines = mistakes.lines().map(|line| format!("file={} {line}", file.display()));
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
