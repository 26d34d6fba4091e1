//! Which requests of clients may go on to their calls.
//!
//! The gate of a request's first instance hears from deeper services sooner than the edges that
//! it answers, and nothing has been done for the request yet.

use olivegate_overload::retry_after::retry_after_level;
use olivegate_types::{Moment, Refusal, RefusalReason};

use crate::gate_protocol::Offer;
use crate::state::Node;

/// Refuses a client's request that its calls' services have no room for. Calls are never held
/// back: work has been done for them.
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
