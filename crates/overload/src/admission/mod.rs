//! Admission levels: how much of each class is let through.
//!
//! A gate measures, per class and window, the fraction of arrivals it could serve
//! ([`GateLevels`]) and returns it with each reply. Nodes on the way back keep the
//! smallest level seen for the class ([`LevelTable`]), so the root edge refuses
//! doomed requests before any hop has worked for them. A request passes when its
//! shedding rank, the same at each hop, is below the level.

//!
//! Where requests carry no context, [`OutcomeLevels`] learns from how they end.

mod gate_levels;
mod level_table;
mod outcome_levels;

pub use gate_levels::{Arrival, GateLevels};
pub use level_table::LevelTable;
pub use outcome_levels::{OutcomeLevels, ReportedLevels};

use olivegate_types::{GroupName, Importance, KindName};

/// Requests that are shed alike: one kind of root request of one group.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassKey {
    /// Kind of the root request.
    pub root_kind: KindName,
    /// Group of the caller.
    pub group: GroupName,
    /// Importance of the root request.
    pub importance: Importance,
}
