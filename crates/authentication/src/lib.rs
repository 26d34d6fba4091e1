//! Authentication of callers. Nothing here reads a clock or performs I/O.
//!
//! - [`tenant`]: tenants and their keys, as configured by an operator.
//! - [`key_table`]: lookup table of the keys of one configuration.
//! - [`proof`]: age of the proof that a configuration is current.
//! - [`decision`]: authentication decision on a request, from its key and its route.

pub mod decision;
pub mod key_table;
pub mod proof;
pub mod tenant;

pub use decision::{Caller, Denial, ProofFreshness, authenticate};
pub use key_table::{KeyTable, KeyTableError};
pub use proof::ConfigurationProof;
pub use tenant::{ApiKey, Tenant};
