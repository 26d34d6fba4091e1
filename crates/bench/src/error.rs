//! Errors of the bench.

use std::fmt;

/// Why a bench command failed.
#[derive(Debug)]
pub enum BenchError {
    /// The command line can't be understood.
    Usage(String),
    /// A file can't be read or written, or has mistakes.
    File(String),
    /// A process of the experiment can't be started or doesn't answer.
    Process(String),
    /// A promise was broken; the number of violations.
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
