//! Identifiers, time, request context and outcomes shared by every olivegate crate.
//!
//! Nothing here performs I/O. Types that are sent between nodes derive the `borsh` traits. The request
//! context also has a text form, which is sent in a header and authenticated with the deployment's key (see
//! [`context`]).

pub mod context;
pub mod header;
pub mod id;
pub mod key;
pub mod outcome;
pub mod release;
pub mod time;

pub use context::{ContextError, RequestContext};
pub use id::{
    Digest, GroupName, InstanceName, InvalidName, KindName, NodeName, RequestId, ServiceName, TenantName,
    ZoneName, is_name,
};
pub use key::DeploymentKey;
pub use outcome::{Outcome, Refusal, RefusalReason};
pub use release::Release;
pub use time::Moment;

/// Importance of a request; a larger one is shed later.
///
/// Values range from 0 to [`Importance::PROTECTED`]. Requests of the protected importance are shed last and
/// are not subject to the bundle's queue-wait objective, only to their deadline.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, borsh::BorshSerialize, borsh::BorshDeserialize,
)]
pub struct Importance(pub u8);

impl Importance {
    /// The highest importance, for reservations and checkouts.
    pub const PROTECTED: Importance = Importance(3);

    /// True for the highest importance.
    pub fn is_protected(self) -> bool {
        self >= Self::PROTECTED
    }
}

/// Position of a request in the shedding order of its class, uniform over `u16`.
///
/// The rank is drawn once at the root and is the same at each hop, so that a request is not admitted by one
/// service and refused by the next. Requests with larger ranks are shed first.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, borsh::BorshSerialize, borsh::BorshDeserialize,
)]
pub struct SheddingRank(pub u16);

impl SheddingRank {
    /// The rank as a fraction in `[0, 1)`, for comparison with an admitted fraction.
    pub fn fraction(self) -> f64 {
        f64::from(self.0) / 65_536.0
    }
}
