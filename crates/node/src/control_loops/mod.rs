//! The node's background work.
//!
//! - [`membership`]: datagrams and the failure detector.
//! - [`bundle`]: reads, accepts and spreads bundle versions.
//! - [`seats`]: takes and hands over seats of the claim group.
//! - [`platform`]: the platform's lagging list of machines.
//! - [`health`]: asks the instances of this node's gates whether they are leaving.

pub mod bundle;
pub mod health;
pub mod membership;
pub mod platform;
pub mod seats;

use crate::state::Node;

/// Starts all loops.
pub fn start(node: &Node) {
    tokio::spawn(membership::receive(node.clone()));
    tokio::spawn(membership::tick(node.clone()));
    tokio::spawn(bundle::learn_floor(node.clone()));
    tokio::spawn(bundle::poll(node.clone()));
    tokio::spawn(seats::keep(node.clone()));
    tokio::spawn(platform::poll(node.clone()));
    tokio::spawn(health::poll(node.clone()));
}
