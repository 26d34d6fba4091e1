//! Errors of the sidecar node.

use std::fmt;
use std::net::SocketAddr;

/// Why the node could not start.
#[derive(Debug)]
pub enum SidecarError {
    /// A socket could not be bound.
    Bind {
        /// What the socket is for.
        port: &'static str,
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// The runtime or a signal handler could not be set up.
    Runtime(std::io::Error),
}

impl fmt::Display for SidecarError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SidecarError::Bind { port, address, source } => {
                write!(formatter, "port={port} address={address} cannot be bound: {source}")
            }
            SidecarError::Runtime(error) => write!(formatter, "the runtime cannot be set up: {error}"),
        }
    }
}

impl std::error::Error for SidecarError {}
