//! Identifiers, time, request context and outcomes shared by every olivegate crate.
//!
//! Nothing here performs I/O. Types that cross the wire between nodes derive
//! `borsh`; the request context also has a text form that travels in a header
//! and is authenticated with the deployment's key (see [`context`]).

pub mod context;
pub mod header;
pub mod id;
pub mod key;
pub mod outcome;
pub mod time;

pub use context::{ContextError, RequestContext};
pub use id::{Digest, GroupName, InstanceName, KindName, NodeName, RequestId, ServiceName, TenantName, ZoneName};
pub use key::DeploymentKey;
pub use outcome::{Outcome, Refusal, RefusalReason};
pub use time::Moment;

/// How important a request is; larger is shed later.
///
/// Levels run from 0 to [`Importance::PROTECTED`]. The protected level is shed
/// last and is not bound by the bundle's queue-wait objective, only by its deadline.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, borsh::BorshSerialize, borsh::BorshDeserialize,
)]
pub struct Importance(pub u8);

impl Importance {
    /// The highest level: reservations and checkouts.
    pub const PROTECTED: Importance = Importance(3);

    /// True at the highest level.
    pub fn is_protected(self) -> bool {
        self >= Self::PROTECTED
    }
}

/// Position of a request in the shedding order of its class, uniform over `u16`.
///
/// The rank is drawn once at the root and is the same at each hop, so that one
/// request is not admitted by one service and refused by the next.
/// Requests with larger ranks are shed first.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, borsh::BorshSerialize, borsh::BorshDeserialize,
)]
pub struct SheddingRank(pub u16);

impl SheddingRank {
    /// The rank as a fraction in `[0, 1)`, to compare with an admitted fraction.
    pub fn fraction(self) -> f64 {
        f64::from(self.0) / 65_536.0
    }
}
