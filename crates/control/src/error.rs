//! Errors of the control protocol.

use std::fmt;

/// Why a control call or datagram failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ControlError {
    /// The connection to the peer could not be made.
    Connect,
    /// The call failed or timed out on a connection.
    Call,
    /// The bytes are not sealed with this deployment's key.
    Authentication,
    /// The content can't be decoded or has an unknown protocol version.
    Malformed,
    /// The message is over the maximum size.
    TooLong,
}

impl fmt::Display for ControlError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            ControlError::Connect => "cannot connect to the peer",
            ControlError::Call => "control call failed or timed out",
            ControlError::Authentication => "message is not sealed with the key of this deployment",
            ControlError::Malformed => "message is malformed or has an unknown protocol version",
            ControlError::TooLong => "message exceeds the maximum size",
        })
    }
}

impl std::error::Error for ControlError {}
