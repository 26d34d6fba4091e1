//! Number of ends after which a content is restricted, and for how long.

use std::time::Duration;

/// Thresholds and times of the quarantine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuarantinePolicy {
    /// Ends after which a content is held, except for an occasional probe run that may clear it.
    pub held_after: u32,
    /// Ends after which it is held without probe runs.
    pub refused_after: u32,
    /// Added to both thresholds for a content that instances have answered before. Such a content rarely
    /// turns fatal, and many of them run at the same time as the one that is.
    pub extra_if_answered: u32,
    /// Time from the last end or the last probe run until the next probe run.
    pub probe_after: Duration,
    /// Time without a request after which a content is forgotten.
    pub memory: Duration,
    /// Maximum number of contents remembered.
    pub max_contents: usize,
}

impl Default for QuarantinePolicy {
    fn default() -> Self {
        QuarantinePolicy {
            held_after: 2,
            refused_after: 3,
            extra_if_answered: 2,
            probe_after: Duration::from_secs(30),
            memory: Duration::from_secs(600),
            max_contents: 1_024,
        }
    }
}
