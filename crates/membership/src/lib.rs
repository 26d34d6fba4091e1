//! Membership: failure detection and dissemination between nodes.
//!
//! SWIM-like: each period a node pings one member in a shuffled round; without an
//! answer it asks others to ping for it, then suspects the member, and after a time
//! without refutation holds it for dead. Changes ride on pings and acknowledgements.
//! The core is pure: messages and time come in, [`Output`]s go out; so the same code
//! runs in a node and, hollow, by the thousand in a scale run.
//!
//! - [`record`]: what is known of one member, and which news wins.
//! - [`gossip`]: changes that still have to be passed on.
//! - [`detector`]: the periodic probing.
//! - [`membership`]: the whole core; `suspicion` holds what becomes of suspects.

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
