//! The node's background tasks.
//!
//! - [`membership`]: control datagrams and the failure detector.
//! - [`bundle`]: fetches, installs and propagates bundle versions.
//! - [`seats`]: takes, recovers and hands over seats of the claim group.
//! - [`platform`]: polls the platform's list of machines.
//! - [`health`]: polls the instances of this node's gates for whether they are leaving.

pub mod bundle;
pub mod health;
pub mod membership;
pub mod platform;
pub mod seats;

use crate::state::Node;

/// Starts all background tasks.
pub fn start(node: &Node) {
    tokio::spawn(membership::receive(node.clone()));
    tokio::spawn(membership::tick(node.clone()));
    tokio::spawn(bundle::learn_floor(node.clone()));
    tokio::spawn(bundle::poll(node.clone()));
    tokio::spawn(seats::maintain(node.clone()));
    tokio::spawn(platform::poll(node.clone()));
    tokio::spawn(health::poll(node.clone()));
}
