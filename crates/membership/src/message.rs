//! Messages of the failure detector.

use std::net::SocketAddr;

use borsh::{BorshDeserialize, BorshSerialize};
use olivegate_types::NodeName;

use crate::record::MemberRecord;

/// What a message asks for or answers.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Purpose {
    /// Asks for an acknowledgement.
    Ping {
        /// Sequence number of the probe.
        sequence: u64,
    },
    /// Acknowledges a ping.
    Ack {
        /// Sequence number of the acknowledged probe.
        sequence: u64,
    },
    /// Asks the receiver to ping `target` on the sender's behalf.
    PingRequest {
        /// Sequence number of the sender's probe.
        sequence: u64,
        /// Member to ping.
        target: NodeName,
        /// Control address of `target`.
        address: SocketAddr,
    },
}

/// One datagram between nodes.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Message {
    /// Name of the sender.
    pub from: NodeName,
    /// Incarnation of the sender.
    pub incarnation: u64,
    /// What the message asks for or answers.
    pub purpose: Purpose,
    /// Piggybacked membership changes.
    pub changes: Vec<MemberRecord>,
}
