//! The signed, versioned configuration bundle.
//!
//! - [`model`]: what a bundle says, with its canonical borsh form and digest.
//! - [`check`]: reads the operators' TOML form and reports every mistake.
//! - [`sign`]: signatures, key sets and the m-of-n sign-off.
//! - [`delta`]: differences between versions, sent instead of whole bundles.
//! - [`index`]: look-up tables for classification.
//! - [`propagation`]: how versions spread between nodes.
//! - [`store`]: which version is in force; never goes back.

pub mod check;
pub mod delta;
pub mod error;
pub mod index;
pub mod model;
pub mod propagation;
pub mod sign;
pub mod store;

pub use delta::{BundleDelta, Change};
pub use error::BundleError;
pub use index::IndexedBundle;
pub use model::{Bundle, Group, Kind, Limits, Objective, Service, Stamp};
pub use sign::{SignOff, Signature, SignedBundle, SigningKeyPair};
pub use store::{BundleStore, OfferOutcome};
