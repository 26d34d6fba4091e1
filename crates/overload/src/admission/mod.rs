//! Admission levels: the fraction of each class that is let through.
//!
//! A gate measures, per class and window, the fraction of arrivals that it could serve ([`GateLevels`]) and
//! returns it with each reply. Nodes on the way back keep the smallest level seen for the class
//! ([`LevelTable`]), so the root edge refuses requests that would fail anyway before any hop has worked for
//! them. A request is admitted if its shedding rank, which is the same at each hop, is below the level.
//!
//! [`DemandLevels`] computes the level directly, without searching for it: available capacity over demand.

mod demand_levels;
mod gate_levels;
mod level_table;

pub use demand_levels::DemandLevels;
pub use gate_levels::{Arrival, GateLevels};
pub use level_table::{BindingLevel, LevelTable};

use olivegate_types::{GroupName, Importance, KindName};

/// Class of requests that are shed alike: one kind of root request of one group.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassKey {
    /// Kind of the root request.
    pub root_kind: KindName,
    /// Group of the caller.
    pub group: GroupName,
    /// Importance of the root request.
    pub importance: Importance,
}
