//! Errors of bundles, deltas and signing keys.

use std::fmt;

use crate::model::Stamp;

/// Why a bundle, a delta or a signing key was not accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BundleError {
    /// The bytes can't be decoded as a signed bundle.
    Malformed,
    /// The signed bundle is over the maximum size.
    TooLarge {
        /// Size of the bundle, in bytes.
        size: usize,
        /// Maximum size, in bytes.
        limit: usize,
    },
    /// Fewer valid signatures by sign-off keys than required.
    NotSignedOff {
        /// Number of distinct operators with a valid signature.
        valid: usize,
        /// Number of operators who must sign.
        required: usize,
    },
    /// The bundle is for another deployment.
    WrongDeployment {
        /// Deployment that the bundle is for.
        found: String,
    },
    /// The parent of the delta is not the bundle in force.
    ParentNotInForce {
        /// Version that results from the delta.
        version: u64,
    },
    /// The delta doesn't result in the bundle that it announces.
    DigestMismatch,
    /// The version is older than the one in force or than the floor.
    OlderThanFloor {
        /// Version that was offered.
        offered: Stamp,
        /// Oldest version that is accepted.
        floor: Stamp,
    },
    /// The content breaks a rule of [`crate::check`].
    Invalid(String),
    /// The text of a signing key is not 32 bytes in hexadecimal digits.
    InvalidKey,
}

impl fmt::Display for BundleError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BundleError::Malformed => formatter.write_str("not a signed bundle of this format"),
            BundleError::TooLarge { size, limit } => {
                write!(formatter, "bundle of {size} bytes exceeds the maximum of {limit}")
            }
            BundleError::NotSignedOff { valid, required } => {
                write!(formatter, "{valid} valid sign-off signatures of {required} required")
            }
            BundleError::WrongDeployment { found } => write!(formatter, "bundle is for deployment {found}"),
            BundleError::ParentNotInForce { version } => {
                write!(formatter, "parent of version {version} is not in force on this node")
            }
            BundleError::DigestMismatch => {
                formatter.write_str("bundle that results from the delta has an unexpected digest")
            }
            BundleError::OlderThanFloor { offered, floor } => {
                write!(formatter, "version {offered} is older than {floor}")
            }
            BundleError::Invalid(reason) => write!(formatter, "invalid content: {reason}"),
            BundleError::InvalidKey => formatter.write_str("a signing key must be 64 hexadecimal digits"),
        }
    }
}

impl std::error::Error for BundleError {}
