//! Hollow nodes by the thousand.

use pico_args::Arguments;

use crate::error::BenchError;

/// Runs the scale experiment.
pub fn command(_arguments: Arguments) -> Result<(), BenchError> {
    Err(BenchError::Usage("scale is not built yet".into()))
}
