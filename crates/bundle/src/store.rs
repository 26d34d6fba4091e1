//! The bundle version in force on a node.
//!
//! The store never goes back to an older version: it accepts only versions above the one in
//! force and not below the floor, which a starting node learns from its peers.

use std::sync::Arc;

use crate::check::check_bundle;
use crate::delta::BundleDelta;
use crate::error::BundleError;
use crate::model::{Bundle, Stamp};
use crate::sign::{SignOff, SignedBundle};

/// Outcome of offering a bundle that was not refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The bundle is now in force.
    Accepted(Stamp),
    /// The bundle is now in force and replaced a conflicting one: a different bundle that was
    /// published with the same version number.
    AcceptedOverConflict {
        /// Version now in force.
        winner: Stamp,
        /// Version that was replaced.
        loser: Stamp,
    },
    /// The bundle was in force already.
    AlreadyInForce,
}

/// The bundle in force, the floor, and the bundle that lost the last conflict.
#[derive(Debug, Clone)]
pub struct BundleStore {
    deployment: String,
    sign_off: SignOff,
    current: Option<Arc<SignedBundle>>,
    current_stamp: Stamp,
    latest_delta: Option<Arc<BundleDelta>>,
    floor: Stamp,
    last_conflict_loser: Option<Stamp>,
}

impl BundleStore {
    /// Creates an empty store. It accepts bundles of `deployment` that are signed as `sign_off`
    /// requires.
    pub fn new(deployment: impl Into<String>, sign_off: SignOff) -> Self {
        BundleStore {
            deployment: deployment.into(),
            sign_off,
            current: None,
            current_stamp: Stamp::default(),
            latest_delta: None,
            floor: Stamp::default(),
            last_conflict_loser: None,
        }
    }

    /// Raises the floor to the version that a peer has in force. Peers are authenticated nodes, so
    /// the version is trusted.
    pub fn raise_floor(&mut self, stamp: Stamp) {
        self.floor = self.floor.max(stamp);
    }

    /// The highest version known to be in force on any node.
    pub fn floor(&self) -> Stamp {
        self.floor.max(self.current_stamp)
    }

    /// The version in force, or the default stamp when there is none.
    pub fn stamp(&self) -> Stamp {
        self.current_stamp
    }

    /// The bundle in force with its signatures.
    pub fn current(&self) -> Option<Arc<SignedBundle>> {
        self.current.clone()
    }

    /// The delta to the version in force, if its parent was in force on this node before.
    pub fn latest_delta(&self) -> Option<Arc<BundleDelta>> {
        self.latest_delta.clone()
    }

    /// The version that lost the last conflict between two bundles with the same number.
    pub fn last_conflict_loser(&self) -> Option<Stamp> {
        self.last_conflict_loser
    }

    /// True when a bundle is in force and no higher version is known.
    pub fn may_serve(&self) -> bool {
        self.current.is_some() && self.current_stamp >= self.floor
    }

    /// Offers a whole bundle.
    pub fn offer(&mut self, signed: SignedBundle) -> Result<OfferOutcome, BundleError> {
        let stamp = signed.bundle.stamp();
        if stamp == self.current_stamp {
            return Ok(OfferOutcome::AlreadyInForce);
        }
        self.reject_older(stamp)?;
        self.accept(signed, stamp, None)
    }

    /// Offers a delta. Fails with [`BundleError::ParentNotInForce`] when the whole bundle is needed.
    pub fn offer_delta(&mut self, delta: &BundleDelta) -> Result<OfferOutcome, BundleError> {
        if delta.result == self.current_stamp {
            return Ok(OfferOutcome::AlreadyInForce);
        }
        self.reject_older(delta.result)?;
        self.sign_off.verify(&delta.result, &delta.signatures)?;
        let parent_not_in_force = BundleError::ParentNotInForce { version: delta.result.version };
        let parent = self.current.clone().ok_or(parent_not_in_force)?;
        let signed = delta.apply(&parent.bundle, self.current_stamp)?;
        self.accept(signed, delta.result, Some(Arc::new(delta.clone())))
    }

    fn accept(
        &mut self,
        signed: SignedBundle,
        stamp: Stamp,
        delta: Option<Arc<BundleDelta>>,
    ) -> Result<OfferOutcome, BundleError> {
        if signed.bundle.deployment != self.deployment {
            return Err(BundleError::WrongDeployment { found: signed.bundle.deployment });
        }
        self.sign_off.verify(&stamp, &signed.signatures)?;
        check_bundle(&signed.bundle)?;
        Ok(self.install(signed, stamp, delta))
    }

    fn reject_older(&self, offered: Stamp) -> Result<(), BundleError> {
        let floor = self.floor();
        if offered < floor { Err(BundleError::OlderThanFloor { offered, floor }) } else { Ok(()) }
    }

    fn install(&mut self, signed: SignedBundle, stamp: Stamp, delta: Option<Arc<BundleDelta>>) -> OfferOutcome {
        let previous = self.current_stamp;
        let computed = || {
            let parent = self.current.as_ref()?;
            BundleDelta::between(&parent.bundle, previous, &signed, stamp).map(Arc::new)
        };
        self.latest_delta = delta.or_else(computed);
        self.current = Some(Arc::new(signed));
        self.current_stamp = stamp;
        if previous.version == stamp.version {
            self.last_conflict_loser = Some(previous);
            return OfferOutcome::AcceptedOverConflict { winner: stamp, loser: previous };
        }
        OfferOutcome::Accepted(stamp)
    }

    /// The bundle in force without its signatures, if any.
    pub fn bundle(&self) -> Option<&Bundle> {
        self.current.as_deref().map(|signed| &signed.bundle)
    }
}
