//! Errors of the node.

use std::fmt;

/// Why a node could not start, a background task failed or a body ended early.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NodeError {
    /// The settings are not valid; the text lists every field error.
    Settings(String),
    /// A port can't be bound.
    Bind {
        /// Name of the port.
        port: &'static str,
        /// Address from the settings.
        address: std::net::SocketAddr,
    },
    /// The async runtime or one of its sockets can't be set up.
    Runtime,
    /// A service of the platform did not respond, or its response is not usable.
    Platform,
    /// A body ended early or took longer than allowed.
    Body,
}

impl fmt::Display for NodeError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            NodeError::Settings(errors) => write!(formatter, "settings are not valid:\n{errors}"),
            NodeError::Bind { port, address } => write!(formatter, "cannot bind the {port} port to {address}"),
            NodeError::Runtime => formatter.write_str("cannot start the runtime"),
            NodeError::Platform => {
                formatter.write_str("the platform service did not respond or its response is not usable")
            }
            NodeError::Body => formatter.write_str("the body ended early or took too long"),
        }
    }
}

impl std::error::Error for NodeError {}
