//! Authentication of callers. Nothing here reads a clock or performs I/O.
//!
//! - [`tenant`]: tenants and their keys as an operator configures them.
//! - [`key_table`]: the keys of one configuration, ready for look-ups.
//! - [`proof`]: until when a configuration may be relied on.
//! - [`decision`]: what becomes of a request, by its key and its route.

pub mod decision;
pub mod key_table;
pub mod proof;
pub mod tenant;

pub use decision::{Caller, Denial, ProofFreshness, authenticate};
pub use key_table::{KeyTable, KeyTableError};
pub use proof::ConfigurationProof;
pub use tenant::{ApiKey, Tenant};
