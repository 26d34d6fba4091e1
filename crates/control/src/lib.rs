//! Control protocol between the nodes of one deployment.
//!
//! Messages are sealed: a tag made with the deployment's key authenticates them. They are not
//! encrypted.
//!
//! - [`service`]: control calls, a tarpc service over TCP.
//! - [`transport`]: borsh frames of limited length, sealed with the deployment's key.
//! - [`datagram`]: membership messages and new bundle versions over UDP, sealed the same way.
//! - [`pool`]: client connections, one shared per peer.

pub mod datagram;
pub mod error;
pub mod pool;
pub mod service;
pub mod transport;

pub use datagram::Datagram;
pub use error::ControlError;
pub use pool::ControlPool;
pub use service::{Control, ControlClient, ControlRequest, ControlResponse};
