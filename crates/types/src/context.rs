//! The request context, which is created at the root and propagated along the whole call chain.

use std::fmt;
use std::net::SocketAddr;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use borsh::{BorshDeserialize, BorshSerialize};

use crate::{DeploymentKey, GroupName, Importance, KindName, NodeName, RequestId, SheddingRank};

/// Largest accepted length of the header value, in bytes.
pub const MAX_HEADER_LENGTH: usize = 2048;

/// Properties of a root request and decisions about it, which apply at every hop.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct RequestContext {
    /// The root request.
    pub request: RequestId,
    /// Node that keeps the request's retry allowance.
    pub root_node: NodeName,
    /// Control address of that node.
    pub root_control: SocketAddr,
    /// Group of the caller.
    pub group: GroupName,
    /// Kind of the root request.
    pub root_kind: KindName,
    /// Importance of the root request, inherited by the calls on its behalf.
    pub importance: Importance,
    /// Position in the shedding order of the class.
    pub rank: SheddingRank,
    /// Deadline in milliseconds of Unix time. Deeper hops use it only to refuse early; the root node enforces
    /// the deadline on its own clock.
    pub deadline_unix_ms: u64,
    /// Number of hops before this call; 0 at the root.
    pub hop: u8,
    /// Version of the bundle that applies to the request.
    pub bundle_version: u64,
}

/// Why a context header was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ContextError {
    /// Longer than [`MAX_HEADER_LENGTH`].
    TooLong,
    /// Not base64.
    Encoding,
    /// Not authenticated with this deployment's key.
    Authentication,
    /// Authenticated, but in the format of another version.
    Format,
}

impl fmt::Display for ContextError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            ContextError::TooLong => "context header is too long",
            ContextError::Encoding => "context header is not base64",
            ContextError::Authentication => "context header was not made by a node of this deployment",
            ContextError::Format => "context header has an unknown shape",
        })
    }
}

impl std::error::Error for ContextError {}

impl RequestContext {
    /// The header value: base64 of the borsh encoding and its authentication tag.
    pub fn to_header(&self, key: &DeploymentKey) -> String {
        let content = borsh::to_vec(self).unwrap_or_default();
        URL_SAFE_NO_PAD.encode(key.seal(content))
    }

    /// Authenticates and decodes a header value.
    pub fn from_header(text: &str, key: &DeploymentKey) -> Result<Self, ContextError> {
        if text.len() > MAX_HEADER_LENGTH {
            return Err(ContextError::TooLong);
        }
        let sealed = URL_SAFE_NO_PAD.decode(text).map_err(|_| ContextError::Encoding)?;
        let content = key.open(&sealed).ok_or(ContextError::Authentication)?;
        borsh::from_slice(content).map_err(|_| ContextError::Format)
    }

    /// The context of a call that is made on behalf of this one.
    pub fn child(&self) -> Self {
        RequestContext { hop: self.hop.saturating_add(1), ..self.clone() }
    }
}
