//! Datagrams between nodes.

use borsh::{BorshDeserialize, BorshSerialize};
use olivegate_bundle::{BundleDelta, Stamp};
use olivegate_membership::Message;
use olivegate_types::{DeploymentKey, NodeName};

use crate::error::ControlError;

/// Largest datagram sent, in bytes; larger news is fetched by a control call.
pub const MAX_DATAGRAM: usize = 1_400;
/// First byte of each datagram.
const PROTOCOL_VERSION: u8 = 1;

/// Content of a datagram.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Datagram {
    /// A message of the failure detector, with the bundle version in force at the sender.
    Membership {
        /// The message.
        message: Message,
        /// The version.
        bundle: Stamp,
    },
    /// A new version that fits into a datagram.
    Delta {
        /// Sender, from whom the whole bundle can be fetched.
        from: NodeName,
        /// The version.
        delta: BundleDelta,
    },
    /// A new version that has to be fetched.
    Version {
        /// Sender.
        from: NodeName,
        /// The version.
        stamp: Stamp,
    },
}

impl Datagram {
    /// Sealed bytes.
    pub fn to_bytes(&self, key: &DeploymentKey) -> Vec<u8> {
        let mut content = vec![PROTOCOL_VERSION];
        content.extend(borsh::to_vec(self).unwrap_or_default());
        key.seal(content)
    }

    /// Reads sealed bytes.
    pub fn from_bytes(bytes: &[u8], key: &DeploymentKey) -> Result<Self, ControlError> {
        let content = key.open(bytes).ok_or(ControlError::Authentication)?;
        match content.split_first() {
            Some((&PROTOCOL_VERSION, body)) => borsh::from_slice(body).map_err(|_| ControlError::Malformed),
            _ => Err(ControlError::Malformed),
        }
    }
}
