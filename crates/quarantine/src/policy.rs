//! How many marks lead to what, and for how long.

use std::time::Duration;

/// Limits of the quarantine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuarantinePolicy {
    /// Ends after which a content is held, but for one run that may clear it.
    pub held_after: u32,
    /// Ends after which it is held without such a run.
    pub refused_after: u32,
    /// Ends beyond these that are borne of a content which instances have answered before: it has to
    /// have changed its nature, which is rare, while many such contents run beside a guilty one.
    pub extra_if_answered: u32,
    /// Time from the last end, or the last such run, until the next such run.
    pub probe_after: Duration,
    /// Time without a request of a content after which it is forgotten.
    pub memory: Duration,
    /// Contents that are remembered at most.
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
