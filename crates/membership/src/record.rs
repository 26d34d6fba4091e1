//! State of one member as nodes exchange it.

use std::net::SocketAddr;

use borsh::{BorshDeserialize, BorshSerialize};
use olivegate_types::{NodeName, ZoneName};

/// State of a member, ordered by precedence within one incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize)]
pub enum MemberState {
    /// Running.
    Alive,
    /// Announced that it is stopping; gets no new work.
    Leaving,
    /// Didn't acknowledge a probe; may refute the suspicion.
    Suspect,
    /// Declared dead after a suspicion that it didn't refute.
    Dead,
}

/// A seat (a voting replica for claims) that a member says it holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct HeldSeat {
    /// Index of the seat in its group.
    pub index: u8,
    /// Counter of the seat's incarnation.
    pub counter: u64,
    /// True when the seat votes, false while it recovers.
    pub voting: bool,
}

/// A member as it last announced itself, or as other members suspect or declare it.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct MemberRecord {
    /// Unique name of the node.
    pub name: NodeName,
    /// Zone that the node runs in.
    pub zone: ZoneName,
    /// Address of the control port, for TCP and UDP.
    pub control: SocketAddr,
    /// Address of the data port, for calls between nodes.
    pub data: SocketAddr,
    /// Raised by the member itself with each announcement.
    pub incarnation: u64,
    /// Last known state.
    pub state: MemberState,
    /// Seats that the member holds.
    pub seats: Vec<HeldSeat>,
}

impl MemberRecord {
    /// True when this record supersedes `known`: it has a higher incarnation, or a state of
    /// higher precedence in the same one.
    pub fn replaces(&self, known: &MemberRecord) -> bool {
        (self.incarnation, self.state) > (known.incarnation, known.state)
    }

    /// True when the member may be given work.
    pub fn is_usable(&self) -> bool {
        self.state == MemberState::Alive
    }

    /// True when the member is expected to answer: it is alive or leaving.
    pub fn is_answering(&self) -> bool {
        matches!(self.state, MemberState::Alive | MemberState::Leaving)
    }
}
