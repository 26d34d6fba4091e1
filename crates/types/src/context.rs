//! The request context: made at the root, carried along the whole call chain.

use std::fmt;
use std::net::SocketAddr;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use borsh::{BorshDeserialize, BorshSerialize};

use crate::{DeploymentKey, GroupName, Importance, KindName, NodeName, RequestId, SheddingRank};

/// Longest accepted header text, in bytes.
pub const MAX_HEADER_LENGTH: usize = 2048;

/// Decisions that were made at the root and bind every hop.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct RequestContext {
    /// The root request.
    pub request: RequestId,
    /// Node that holds the request's retry allowance.
    pub root_node: NodeName,
    /// Control address of that node.
    pub root_control: SocketAddr,
    /// Group of the caller.
    pub group: GroupName,
    /// Kind of the root request.
    pub root_kind: KindName,
    /// Importance of the root request; calls on its behalf inherit it.
    pub importance: Importance,
    /// Position in the shedding order of the class.
    pub rank: SheddingRank,
    /// Deadline in milliseconds of Unix time. Only used for early refusal at
    /// deeper hops; the root node enforces the deadline on its own clock.
    pub deadline_unix_ms: u64,
    /// Number of hops in front of this call; 0 at the root.
    pub hop: u8,
    /// Version of the bundle that governs the request.
    pub bundle_version: u64,
}

/// Why a context header was not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ContextError {
    /// Longer than [`MAX_HEADER_LENGTH`].
    TooLong,
    /// Not base64.
    Encoding,
    /// Not sealed with this deployment's key.
    Authentication,
    /// Authenticated, but of another version's shape.
    Shape,
}

impl fmt::Display for ContextError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            ContextError::TooLong => "context header is too long",
            ContextError::Encoding => "context header is not base64",
            ContextError::Authentication => "context header was not made by a node of this deployment",
            ContextError::Shape => "context header has an unknown shape",
        })
    }
}

impl std::error::Error for ContextError {}

impl RequestContext {
    /// The header text: base64 of the sealed borsh form.
    pub fn to_header(&self, key: &DeploymentKey) -> String {
        let content = borsh::to_vec(self).unwrap_or_default();
        URL_SAFE_NO_PAD.encode(key.seal(content))
    }

    /// Reads and authenticates a header text.
    pub fn from_header(text: &str, key: &DeploymentKey) -> Result<Self, ContextError> {
        if text.len() > MAX_HEADER_LENGTH {
            return Err(ContextError::TooLong);
        }
        let sealed = URL_SAFE_NO_PAD.decode(text).map_err(|_| ContextError::Encoding)?;
        let content = key.open(&sealed).ok_or(ContextError::Authentication)?;
        borsh::from_slice(content).map_err(|_| ContextError::Shape)
    }

    /// The context of a call made on behalf of this one.
    pub fn child(&self) -> Self {
        RequestContext { hop: self.hop.saturating_add(1), ..self.clone() }
    }
}
