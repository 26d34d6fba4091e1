//! Errors of the node layer.

use std::fmt;

/// Why a node could not start or a loop failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NodeError {
    /// The settings are not valid; the text names each mistake.
    Settings(String),
    /// A port can't be bound.
    Bind {
        /// Name of the port.
        port: &'static str,
        /// Address that was asked for.
        address: std::net::SocketAddr,
    },
    /// The runtime can't be started.
    Runtime,
    /// A platform service gave no usable answer.
    Platform,
    /// A body broke off, or took longer than allowed.
    Body,
}

impl fmt::Display for NodeError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            NodeError::Settings(mistakes) => write!(formatter, "settings are not valid:\n{mistakes}"),
            NodeError::Bind { port, address } => write!(formatter, "cannot bind the {port} port to {address}"),
            NodeError::Runtime => formatter.write_str("cannot start the runtime"),
            NodeError::Platform => formatter.write_str("platform service gave no usable answer"),
            NodeError::Body => formatter.write_str("body broke off or took too long"),
        }
    }
}

impl std::error::Error for NodeError {}
