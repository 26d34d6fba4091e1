//! Which code a program was built from.

use std::fmt;

/// The version of a program and the commit that it was built from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Release {
    /// Version of the package.
    pub version: &'static str,
    /// Abbreviated name of the commit, with a mark if the sources were changed after it; `unknown` if the sources
    /// were no checkout.
    pub commit: &'static str,
}

impl fmt::Display for Release {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} (commit {})", self.version, self.commit)
    }
}
