//! Which chains of calls may begin while an instance sheds a part of what arrives by chance.
//!
//! A call that is shed is sent again, and repeats are bounded over all nodes. A chain of calls
//! whose repeats run out is work lost, so no more of them may begin than the repeats carry, those
//! of the most important routes first: what is held back at the root has cost nothing. A request of a client
//! that comes straight here needs no repeat to have its chance, and is not held back.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use olivegate_overload::{ClassKey, DemandLevels};
use olivegate_types::Moment;

use crate::gate_protocol::Offer;
use crate::importance::route_priority_first;

/// Time constant of the counts: what is held back does not arrive to show that the shedding is
/// over.
const MEMORY: Duration = Duration::from_millis(700);
/// Arrivals that are taken to be added to those counted, none of them shed: few say little.
const FEW_ARRIVALS: f64 = 5.0;
/// A smaller part than this is no shedding: instances refuse single requests at any time.
const LEAST_PART: f64 = 0.08;
/// Part of the repeats that chains may count on; the others are left to clients' own requests.
const CHAINS_PART: f64 = 0.8;

/// Arrivals and those that were shed, older ones with less weight.
#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    arrived: f64,
    shed: f64,
    at: Moment,
}

impl Counts {
    fn decayed(self, now: Moment) -> Counts {
        let weight = (-now.since(self.at).as_secs_f64() / MEMORY.as_secs_f64()).exp();
        Counts { arrived: self.arrived * weight, shed: self.shed * weight, at: now }
    }
}

/// What an instance sheds, and the repeats that calls to it need.
#[derive(Debug)]
pub struct Sheds {
    counts: Cell<Counts>,
    needed: RefCell<DemandLevels>,
}

impl Default for Sheds {
    fn default() -> Self {
        Sheds { counts: Cell::default(), needed: RefCell::new(DemandLevels::new(0.0)) }
    }
}

impl Sheds {
    /// Notes whether an arrival was shed.
    pub fn note(&self, is_shed: bool, now: Moment) {
        let counts = self.counts.get().decayed(now);
        let shed = counts.shed + f64::from(u8::from(is_shed));
        self.counts.set(Counts { arrived: counts.arrived + 1.0, shed, at: now });
    }

    /// Part of what arrives that is shed; 0 where it is minor.
    pub fn part(&self, now: Moment) -> f64 {
        let counts = self.counts.get().decayed(now);
        let part = counts.shed / (counts.arrived + FEW_ARRIVALS);
        if part < LEAST_PART { 0.0 } else { part }
    }

    /// Notes the repeats that a call will need.
    pub fn note_demand(&self, offer: &Offer, now: Moment) {
        let part = self.part(now);
        if part == 0.0 || offer.hop == 0 || offer.is_retry {
            return;
        }
        // Sent until it is taken: one repeat for each time that it is shed.
        let repeats = Duration::from_secs_f64(part / (1.0 - part).max(0.01));
        self.needed.borrow_mut().record(
            &by_route(&offer.root.class()),
            repeats,
            f64::from(offer.root.admitted_fraction),
            now,
        );
    }

    /// Part of the requests of `class` that may begin where `repeats` a second are allowed; above 1
    /// where there is room for more.
    pub fn level(&self, class: &ClassKey, repeats: f64, now: Moment) -> f64 {
        if self.part(now) == 0.0 {
            return f64::MAX;
        }
        self.needed.borrow().level(&by_route(class), repeats * CHAINS_PART, now)
    }
}

/// The class with its route's priority before its tenant's: with the tenant's first, browsing of
/// some tenants uses up the repeats that the reservations of all others need, and a chain twice as
/// long needs twice as many.
fn by_route(class: &ClassKey) -> ClassKey {
    ClassKey { importance: route_priority_first(class.importance), ..class.clone() }
}
