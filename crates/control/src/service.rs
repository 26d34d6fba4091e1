//! Calls between nodes.

use borsh::{BorshDeserialize, BorshSerialize};
use olivegate_bundle::Stamp;
use olivegate_claims::response_cache::CachedResponse;
use olivegate_claims::{Claim, ClaimKey, Claimant, Incarnation, RecoveryReply, SeatIndex, Vote};
use olivegate_membership::MemberRecord;
use olivegate_types::RequestId;

/// What one node asks of another.
#[tarpc::service(derive = [Clone, BorshSerialize, BorshDeserialize])]
pub trait Control {
    /// All members that the peer knows.
    async fn members() -> Vec<MemberRecord>;
    /// Takes one retry credit of a root request that the peer admitted.
    async fn take_retry_credit(request: RequestId) -> bool;
    /// Asks the seat held by the peer for its vote; `None` when it holds no such seat.
    async fn claim(seat: SeatIndex, claim: Claim) -> Option<Vote>;
    /// Drops a claim that was not and will not be used.
    async fn abandon(seat: SeatIndex, key: ClaimKey, claimant: Claimant) -> ();
    /// Announces a new incarnation of `recovering` to the seat held by the peer.
    async fn recover(seat: SeatIndex, recovering: SeatIndex, incarnation: Incarnation) -> RecoveryReply;
    /// The answer that the peer keeps for a key.
    async fn cached_response(key: ClaimKey) -> Option<CachedResponse>;
    /// The version in force at the peer.
    async fn bundle_stamp() -> Stamp;
    /// The signed bundle in force at the peer, in binary form.
    async fn bundle() -> Option<Vec<u8>>;
    /// What the peer decided about a request, one line each.
    async fn explain(request: RequestId) -> Vec<String>;
}
