//! Propagation of versions between nodes: the decisions, without I/O.
//!
//! A node that accepts a version sends it on at once to [`FANOUT`] random members. A node that
//! learns of a version that it can't build from a delta fetches the whole bundle from the
//! sender. Nodes use this code, and simulations can use it without a network.

use crate::delta::BundleDelta;
use crate::error::BundleError;
use crate::model::Stamp;
use crate::store::{BundleStore, OfferOutcome};

/// Number of members that a node sends a new version on to.
pub const FANOUT: usize = 4;

/// What a node does when it learns of a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PropagationAction {
    /// Nothing: the version is in force already or too old.
    Nothing,
    /// Put the accepted version in force and send it on.
    Propagate(OfferOutcome),
    /// Fetch the whole bundle from the sender.
    Fetch,
    /// Report that the delta was refused.
    Refuse(BundleError),
}

/// Offers a received delta to the store.
pub fn on_delta(store: &mut BundleStore, delta: &BundleDelta) -> PropagationAction {
    match store.offer_delta(delta) {
        Ok(OfferOutcome::AlreadyInForce) | Err(BundleError::OlderThanFloor { .. }) => PropagationAction::Nothing,
        Ok(outcome) => PropagationAction::Propagate(outcome),
        Err(BundleError::ParentNotInForce { .. }) => PropagationAction::Fetch,
        Err(error) => PropagationAction::Refuse(error),
    }
}

/// Compares the version that a member has in force with the one of the store.
pub fn on_version(store: &BundleStore, stamp: Stamp) -> PropagationAction {
    if stamp > store.stamp() { PropagationAction::Fetch } else { PropagationAction::Nothing }
}
