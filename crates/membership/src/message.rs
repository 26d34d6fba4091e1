//! Messages of the failure detector.

use std::net::SocketAddr;

use borsh::{BorshDeserialize, BorshSerialize};
use olivegate_types::NodeName;

use crate::record::MemberRecord;

/// Purpose of a message.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Purpose {
    /// Asks for an acknowledgement.
    Ping {
        /// Number of the probe.
        sequence: u64,
    },
    /// Answers a ping.
    Ack {
        /// Number of the probe.
        sequence: u64,
    },
    /// Asks the receiver to ping `target` in the sender's place.
    PingRequest {
        /// Number of the sender's probe.
        sequence: u64,
        /// Whom to ping.
        target: NodeName,
        /// Where.
        address: SocketAddr,
    },
}

/// One datagram between nodes.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Message {
    /// Sender.
    pub from: NodeName,
    /// Incarnation of the sender.
    pub incarnation: u64,
    /// Purpose.
    pub purpose: Purpose,
    /// Changes passed on.
    pub changes: Vec<MemberRecord>,
}
