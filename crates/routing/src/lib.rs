//! Which instance gets a call, and which node is responsible for an instance.
//!
//! - [`rendezvous`]: highest-random-weight hashing over live members.
//! - [`balance`]: power of two choices over own observations, nearness and ejection.

pub mod balance;
pub mod rendezvous;

pub use balance::{Balancer, Candidate, Observation};
