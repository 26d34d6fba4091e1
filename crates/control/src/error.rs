//! Errors of the control layer.

use std::fmt;

/// Why a control call or datagram failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ControlError {
    /// The peer can't be reached.
    Connect,
    /// The call broke off or timed out.
    Call,
    /// The bytes are not sealed with this deployment's key.
    Authentication,
    /// The bytes have another shape or protocol version.
    Malformed,
    /// Longer than allowed.
    TooLong,
}

impl fmt::Display for ControlError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            ControlError::Connect => "peer cannot be reached",
            ControlError::Call => "control call broke off or timed out",
            ControlError::Authentication => "message was not sealed by a node of this deployment",
            ControlError::Malformed => "message has an unknown shape or version",
            ControlError::TooLong => "message is too long",
        })
    }
}

impl std::error::Error for ControlError {}
