//! Control calls between nodes.

use borsh::{BorshDeserialize, BorshSerialize};
use olivegate_bundle::Stamp;
use olivegate_claims::response_cache::CachedResponse;
use olivegate_claims::{Claim, ClaimKey, Claimant, Incarnation, RecoveryReply, SeatIndex, Vote};
use olivegate_membership::MemberRecord;
use olivegate_types::RequestId;

/// Calls that one node makes to another.
#[tarpc::service(derive = [Clone, BorshSerialize, BorshDeserialize])]
pub trait Control {
    /// Returns the records of all members that the peer shares in a full sync.
    async fn members() -> Vec<MemberRecord>;
    /// Takes one retry from the budget of a root request that the peer admitted.
    async fn take_retry_credit(request: RequestId) -> bool;
    /// Asks a seat held by the peer for its vote on a claim; `None` when it doesn't hold that seat.
    async fn claim(seat: SeatIndex, claim: Claim) -> Option<Vote>;
    /// Removes a claim whose request was not and will not be dispatched.
    async fn abandon(seat: SeatIndex, key: ClaimKey, claimant: Claimant) -> ();
    /// Announces a new incarnation of `recovering` to the seat held by the peer.
    async fn recover(seat: SeatIndex, recovering: SeatIndex, incarnation: Incarnation) -> RecoveryReply;
    /// Returns the response that the peer has cached for a claimed key.
    async fn cached_response(key: ClaimKey) -> Option<CachedResponse>;
    /// Returns the bundle version in force at the peer.
    async fn bundle_stamp() -> Stamp;
    /// Returns the signed bundle in force at the peer, in binary form.
    async fn bundle() -> Option<Vec<u8>>;
    /// Returns the peer's decisions about a request, one line each.
    async fn explain(request: RequestId) -> Vec<String>;
}
