//! Chooses the instance that gets a call and the node that is responsible for an instance.
//!
//! - [`rendezvous`]: highest-random-weight hashing over live members.
//! - [`balance`]: load balancing by power of two choices, with zone preference and outlier ejection.

pub mod balance;
pub mod rendezvous;

pub use balance::{Balancer, Candidate, Observation};
