//! The signed, versioned configuration bundle.
//!
//! - [`model`]: content of a bundle, with its canonical borsh form and digest.
//! - [`check`]: parses the operators' TOML form and validates bundles.
//! - [`sign`]: signatures, key sets and the m-of-n sign-off.
//! - [`delta`]: differences between versions, sent instead of whole bundles.
//! - [`index`]: lookup tables for the classification of requests.
//! - [`propagation`]: how nodes pass versions on to each other.
//! - [`store`]: the version in force on a node, which never goes back.

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
