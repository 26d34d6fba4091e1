//! Importance of a request, from its tenant's priority first and its route's second.

use olivegate_types::Importance;

/// Number of distinct priorities; larger ones are treated as the last.
const PRIORITIES: u32 = 16;

/// Importance of a request by the priorities of its tenant and its route, 0 being the most urgent. The
/// tenant's priority takes precedence; without one, the route's takes its place.
pub fn importance_of(tenant: Option<u32>, route: u32) -> Importance {
    let inverted = |priority: u32| (PRIORITIES - 1).saturating_sub(priority);
    let ordered = inverted(tenant.unwrap_or(route)) * PRIORITIES + inverted(route);
    Importance(u8::try_from(ordered).unwrap_or(u8::MAX))
}

/// The same importance with the route's priority taking precedence.
pub fn route_priority_first(importance: Importance) -> Importance {
    let priorities = PRIORITIES as u8;
    Importance(importance.0 % priorities * priorities + importance.0 / priorities)
}
