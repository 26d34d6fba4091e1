//! Membership: failure detection and dissemination between nodes.
//!
//! The protocol follows SWIM: in each period a node pings one member, in shuffled
//! round-robin order. If the member doesn't acknowledge, the node asks other members to
//! ping it, then suspects it, and declares it dead once the suspicion times out without a
//! refutation. Changes are piggybacked on pings and acknowledgements.
//!
//! [`Membership`] does no I/O and reads no clock: messages and the current time come in,
//! [`Output`]s go out. So the same code runs in a node and, by the thousand, in a simulation.
//!
//! - [`record`]: the state of one member, and which of two records wins.
//! - [`gossip`]: changes that still have to be sent.
//! - [`detector`]: the periodic probes.
//! - [`membership`]: the protocol; `suspicion` handles suspected members.

pub mod config;
pub mod detector;
pub mod gossip;
pub mod membership;
pub mod message;
pub mod record;
mod suspicion;

pub use config::MembershipConfig;
pub use membership::{Membership, Output};
pub use message::Message;
pub use record::{HeldSeat, MemberRecord, MemberState};
