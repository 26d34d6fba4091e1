//! Clients.
//!
//! - [`client`]: HTTP connections. [`schedule`]: when which request is made.
//! - [`driver`]: makes the requests and records them.

pub mod client;
pub mod driver;
pub mod schedule;
