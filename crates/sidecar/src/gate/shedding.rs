//! Admission levels for call chains while an instance sheds a random fraction of the arriving requests.
//!
//! A call that is shed is retried, and retries are bounded across all nodes. The work of a call chain that
//! runs out of retries is lost, so only as many chains may begin as the retry budget supports, those of the
//! most important routes first: a request refused at the root has cost nothing. A client request sent
//! directly to this instance needs no retries to be served, and isn't held back.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use olivegate_overload::{ClassKey, DemandLevels};
use olivegate_types::Moment;

use crate::gate_protocol::Offer;
use crate::importance::route_priority_first;

/// Time constant of the decay of the counts. They have to decay, because requests that are held back don't
/// arrive to show that the shedding is over.
const TIME_CONSTANT: Duration = Duration::from_millis(700);
/// Number of arrivals, none of them shed, added to the counted ones: a few arrivals prove little.
const PRIOR_ARRIVALS: f64 = 5.0;
/// Smaller fractions don't count as shedding: instances refuse single requests at any time.
const MIN_SHED_FRACTION: f64 = 0.08;
/// Fraction of the retries available to call chains; the rest is left to client requests.
const CHAINS_FRACTION: f64 = 0.8;

/// Numbers of arrived and shed requests, with exponential decay.
#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    arrived: f64,
    shed: f64,
    at: Moment,
}

impl Counts {
    fn decayed(self, now: Moment) -> Counts {
        let weight = (-now.since(self.at).as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp();
        Counts { arrived: self.arrived * weight, shed: self.shed * weight, at: now }
    }
}

/// Tracks what an instance sheds and how many retries the calls to it need.
#[derive(Debug)]
pub struct ShedTracker {
    counts: Cell<Counts>,
    needed_retries: RefCell<DemandLevels>,
}

impl Default for ShedTracker {
    fn default() -> Self {
        ShedTracker { counts: Cell::default(), needed_retries: RefCell::new(DemandLevels::new(0.0)) }
    }
}

impl ShedTracker {
    /// Records whether an arriving request was shed.
    pub fn note(&self, is_shed: bool, now: Moment) {
        let counts = self.counts.get().decayed(now);
        let shed = counts.shed + f64::from(u8::from(is_shed));
        self.counts.set(Counts { arrived: counts.arrived + 1.0, shed, at: now });
    }

    /// Fraction of the arriving requests that is shed; 0 below `MIN_SHED_FRACTION`.
    pub fn fraction(&self, now: Moment) -> f64 {
        let counts = self.counts.get().decayed(now);
        let fraction = counts.shed / (counts.arrived + PRIOR_ARRIVALS);
        if fraction < MIN_SHED_FRACTION { 0.0 } else { fraction }
    }

    /// Records the retries that a call will need.
    pub fn record_demand(&self, offer: &Offer, now: Moment) {
        let fraction = self.fraction(now);
        if fraction == 0.0 || offer.hop == 0 || offer.is_retry {
            return;
        }
        // The expected number of retries until the call is accepted: one for each time that it is shed.
        let needed_retries = Duration::from_secs_f64(fraction / (1.0 - fraction).max(0.01));
        self.needed_retries.borrow_mut().record(
            &route_priority_class(&offer.root.class()),
            needed_retries,
            f64::from(offer.root.admitted_fraction),
            now,
        );
    }

    /// Fraction of the requests of `class` that may begin if `retry_rate` retries per second are allowed;
    /// above 1 if there is room for more.
    pub fn level(&self, class: &ClassKey, retry_rate: f64, now: Moment) -> f64 {
        if self.fraction(now) == 0.0 {
            return f64::MAX;
        }
        self.needed_retries.borrow().level(&route_priority_class(class), retry_rate * CHAINS_FRACTION, now)
    }
}

/// The class with the priority of its route ahead of that of its tenant. With the tenant's priority first,
/// browsing by some tenants would use up the retries that the reservations of all others need, and a chain
/// twice as long needs twice as many.
fn route_priority_class(class: &ClassKey) -> ClassKey {
    ClassKey { importance: route_priority_first(class.importance), ..class.clone() }
}
