//! Retry budgets that bound the retries in the whole call graph of a root request.
//!
//! The retry allowance of a root request is kept in one place: the [`ledger::RetryLedger`] of the root's edge
//! node. A hop that wants to retry first asks its own [`budget::RetryBudget`], then takes one credit from the
//! ledger by a control call. Without a response it doesn't retry. An allowance that is copied in a header
//! would multiply at every fan-out; see docs/DESIGN.md.
//!
//! If calls can't be attributed to their root request, each gate of a service instead enforces its own part
//! of a bound over all nodes: [`window::WindowRetryBudget`].

pub mod budget;
pub mod ledger;
pub mod window;

pub use budget::RetryBudget;
pub use ledger::RetryLedger;
pub use window::{RetryPolicy, WindowRetryBudget};
