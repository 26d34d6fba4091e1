//! Errors of the bundle layer.

use std::fmt;

use crate::model::Stamp;

/// Why a bundle or delta was not accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BundleError {
    /// The bytes are not a bundle of this format.
    Malformed,
    /// Larger than the accepted size, in bytes.
    TooLarge {
        /// Size found.
        size: usize,
        /// Largest accepted size.
        limit: usize,
    },
    /// Fewer valid signatures by sign-off keys than required.
    NotSignedOff {
        /// Distinct valid signatures found.
        valid: usize,
        /// Signatures required.
        required: usize,
    },
    /// Made for another deployment.
    WrongDeployment {
        /// Deployment named by the bundle.
        found: String,
    },
    /// A delta whose parent is not the bundle in force.
    ParentNotInForce {
        /// Version that the delta leads to.
        version: u64,
    },
    /// A delta that does not lead to the digest it names.
    DigestMismatch,
    /// Older than the version in force or than the floor.
    OlderThanFloor {
        /// The version offered.
        offered: Stamp,
        /// The version that must not be left.
        floor: Stamp,
    },
    /// The content breaks a rule of [`crate::check`].
    Invalid(String),
    /// A signing key file is not 32 bytes of hexadecimal text.
    InvalidKey,
}

impl fmt::Display for BundleError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BundleError::Malformed => formatter.write_str("not a bundle of this format"),
            BundleError::TooLarge { size, limit } => write!(formatter, "bundle of {size} bytes is over {limit}"),
            BundleError::NotSignedOff { valid, required } => {
                write!(formatter, "{valid} valid sign-off signatures, {required} required")
            }
            BundleError::WrongDeployment { found } => write!(formatter, "made for deployment {found}"),
            BundleError::ParentNotInForce { version } => {
                write!(formatter, "parent of version {version} is not in force here")
            }
            BundleError::DigestMismatch => formatter.write_str("delta does not lead to its digest"),
            BundleError::OlderThanFloor { offered, floor } => write!(formatter, "{offered} is older than {floor}"),
            BundleError::Invalid(reason) => write!(formatter, "invalid content: {reason}"),
            BundleError::InvalidKey => formatter.write_str("a signing key is 64 hexadecimal digits"),
        }
    }
}

impl std::error::Error for BundleError {}
