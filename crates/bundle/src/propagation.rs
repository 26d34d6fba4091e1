//! How a version spreads between nodes, as decisions without I/O.
//!
//! Whoever accepts a version passes it on at once to [`FANOUT`] random members; whoever
//! hears of a version that it cannot build from a delta fetches the whole bundle from
//! the sender. Used by nodes and, hollow, by the scale run.

use crate::delta::BundleDelta;
use crate::error::BundleError;
use crate::model::Stamp;
use crate::store::{BundleStore, OfferOutcome};

/// Members to which a new version is passed on.
pub const FANOUT: usize = 4;

/// What to do about news of a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PropagationAction {
    /// Nothing: it is known or older.
    Nothing,
    /// It was accepted: put it in force and pass it on.
    Propagate(OfferOutcome),
    /// Fetch the whole bundle from whoever sent the news.
    Fetch,
    /// It was refused.
    Refuse(BundleError),
}

/// A delta arrived.
pub fn on_delta(store: &mut BundleStore, delta: &BundleDelta) -> PropagationAction {
    match store.offer_delta(delta) {
        Ok(OfferOutcome::AlreadyInForce) | Err(BundleError::OlderThanFloor { .. }) => PropagationAction::Nothing,
        Ok(offer) => PropagationAction::Propagate(offer),
        Err(BundleError::ParentNotInForce { .. }) => PropagationAction::Fetch,
        Err(error) => PropagationAction::Refuse(error),
    }
}

/// A member said which version it has in force.
pub fn on_version(store: &BundleStore, stamp: Stamp) -> PropagationAction {
    if stamp > store.stamp() { PropagationAction::Fetch } else { PropagationAction::Nothing }
}
