//! Control protocol between the nodes of one deployment.
//!
//! - [`service`]: the calls, by tarpc, over TCP.
//! - [`transport`]: borsh frames, length-limited and sealed with the deployment's key.
//! - [`datagram`]: membership and bundle news over UDP, sealed the same way.
//! - [`pool`]: one shared connection per peer.

pub mod datagram;
pub mod error;
pub mod pool;
pub mod service;
pub mod transport;

pub use datagram::Datagram;
pub use error::ControlError;
pub use pool::ControlPool;
pub use service::{Control, ControlClient, ControlRequest, ControlResponse};
