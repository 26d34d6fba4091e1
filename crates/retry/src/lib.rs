//! Retries, bounded for the whole call graph of a root request.
//!
//! The allowance of one root request lives in one place: the [`ledger::RetryLedger`]
//! of the root's edge node. A hop that wants to retry first asks its own
//! [`budget::RetryBudget`], then takes one credit from the ledger by a control call.
//! No answer means no retry. Copying an allowance in a header would multiply it
//! at every fan-out; see docs/DESIGN.md.
//!
//! Where no root can be told from its calls, each gate of a service keeps to its share of a
//! bound over all nodes: [`window::RepeatBudget`].

pub mod budget;
pub mod ledger;
pub mod window;

pub use budget::RetryBudget;
pub use ledger::RetryLedger;
pub use window::{RepeatBudget, RepeatPolicy};
