//! Datagrams between nodes.

use borsh::{BorshDeserialize, BorshSerialize};
use olivegate_bundle::{BundleDelta, Stamp};
use olivegate_membership::Message;
use olivegate_types::{DeploymentKey, NodeName};

use crate::error::ControlError;

/// Maximum size of a datagram that is sent, in bytes. A larger bundle delta is announced by its
/// version only, and receivers fetch the bundle with a control call.
pub const MAX_DATAGRAM: usize = 1_400;
/// First byte of the sealed content of each datagram.
const PROTOCOL_VERSION: u8 = 1;

/// Content of a datagram.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Datagram {
    /// A membership message, with the bundle version in force at the sender.
    Membership {
        /// Membership message.
        message: Message,
        /// Bundle version in force at the sender.
        bundle: Stamp,
    },
    /// A new bundle version, as a delta that fits into a datagram.
    Delta {
        /// Sender, from which the whole bundle can be fetched.
        from: NodeName,
        /// New version as a delta against its parent.
        delta: BundleDelta,
    },
    /// A new bundle version that has to be fetched from the sender.
    Version {
        /// Sender, from which the bundle can be fetched.
        from: NodeName,
        /// New version.
        stamp: Stamp,
    },
}

impl Datagram {
    /// Encodes the datagram and seals it with the deployment's key.
    pub fn to_bytes(&self, key: &DeploymentKey) -> Vec<u8> {
        let mut content = vec![PROTOCOL_VERSION];
        content.extend(borsh::to_vec(self).unwrap_or_default());
        key.seal(content)
    }

    /// Verifies the seal and decodes the datagram.
    pub fn from_bytes(bytes: &[u8], key: &DeploymentKey) -> Result<Self, ControlError> {
        let content = key.open(bytes).ok_or(ControlError::Authentication)?;
        match content.split_first() {
            Some((&PROTOCOL_VERSION, body)) => borsh::from_slice(body).map_err(|_| ControlError::Malformed),
            _ => Err(ControlError::Malformed),
        }
    }
}
