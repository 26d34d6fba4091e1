//! Admission control of client requests by the load of the services that they call.
//!
//! The gate of a request's first instance learns the load of downstream services sooner than the edges that
//! it replies to, and no work has been done for the request yet.

use olivegate_overload::retry_after::retry_after_level;
use olivegate_types::{Moment, Refusal, RefusalReason};

use crate::gate_protocol::Offer;
use crate::state::Node;

/// Refuses a client request if the services that it calls have no capacity for it. Calls are never refused
/// here, because work has already been done for them.
pub fn admit_root(node: &Node, offer: &mut Offer, now: Moment) -> Result<(), Refusal> {
    if offer.hop > 0 {
        return Ok(());
    }
    let level = node.levels.borrow().level(&offer.root.class(), 1, now);
    let rank = offer.root.rank.fraction();
    if rank >= level {
        return Err(Refusal::new(RefusalReason::AdmissionLevel, retry_after_level(level, rank)));
    }
    offer.root.admitted_fraction = offer.root.admitted_fraction.min(level as f32);
    Ok(())
}
