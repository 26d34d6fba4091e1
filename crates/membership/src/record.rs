//! What is known of one member.

use std::net::SocketAddr;

use borsh::{BorshDeserialize, BorshSerialize};
use olivegate_types::{NodeName, ZoneName};

/// State of a member, ordered by precedence within one incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize)]
pub enum MemberState {
    /// Answers.
    Alive,
    /// Announced that it is stopping; gets no new work.
    Leaving,
    /// Didn't answer; may refute.
    Suspect,
    /// Held for dead.
    Dead,
}

/// A seat that a member says it holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct HeldSeat {
    /// Position of the seat.
    pub index: u8,
    /// Counter of its incarnation.
    pub counter: u64,
    /// True when it votes, false while it recovers.
    pub voting: bool,
}

/// A member as its own last announcement, or others' suspicion, has it.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct MemberRecord {
    /// Name.
    pub name: NodeName,
    /// Zone.
    pub zone: ZoneName,
    /// Address of the control port, TCP and UDP.
    pub control: SocketAddr,
    /// Address of the data port for calls between nodes.
    pub data: SocketAddr,
    /// Raised by the member itself with each announcement.
    pub incarnation: u64,
    /// State.
    pub state: MemberState,
    /// Seats held.
    pub seats: Vec<HeldSeat>,
}

impl MemberRecord {
    /// True when this news replaces `known`.
    pub fn replaces(&self, known: &MemberRecord) -> bool {
        (self.incarnation, self.state) > (known.incarnation, known.state)
    }

    /// True when the member may be given work.
    pub fn is_usable(&self) -> bool {
        self.state == MemberState::Alive
    }

    /// True when the member may still answer: alive or leaving.
    pub fn is_answering(&self) -> bool {
        matches!(self.state, MemberState::Alive | MemberState::Leaving)
    }
}
