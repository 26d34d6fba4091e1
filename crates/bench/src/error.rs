//! Error type of the bench commands.

use std::fmt;

/// Why a bench command failed.
#[derive(Debug)]
pub enum BenchError {
    /// The command line is invalid.
    Usage(String),
    /// A file can't be read or written, or its content is invalid.
    File(String),
    /// A process or socket of the experiment can't be set up, or a process doesn't become ready.
    Process(String),
    /// Promises were broken; holds the number of violations.
    Violations(usize),
}

impl fmt::Display for BenchError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BenchError::Usage(reason) => write!(formatter, "{reason}\nTry 'olivegate-bench --help'."),
            BenchError::File(reason) | BenchError::Process(reason) => formatter.write_str(reason),
            BenchError::Violations(count) => write!(formatter, "{count} promises broken"),
        }
    }
}

impl std::error::Error for BenchError {}
