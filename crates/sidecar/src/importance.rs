//! How important a request is: its tenant's priority, then its route's.

use olivegate_types::Importance;

/// Priorities that are told apart; later ones count as the last.
const PRIORITIES: u32 = 16;

/// Importance of a request by the priorities of its tenant and its route, 0 being the most
/// urgent. The tenant's goes first; where it has none, the route's stands in its place.
pub fn importance_of(tenant: Option<u32>, route: u32) -> Importance {
    let part = |priority: u32| (PRIORITIES - 1).saturating_sub(priority);
    let ordered = part(tenant.unwrap_or(route)) * PRIORITIES + part(route);
    Importance(u8::try_from(ordered).unwrap_or(u8::MAX))
}

/// The same with the route's priority first.
pub fn route_priority_first(importance: Importance) -> Importance {
    let priorities = PRIORITIES as u8;
    Importance(importance.0 % priorities * priorities + importance.0 / priorities)
}
