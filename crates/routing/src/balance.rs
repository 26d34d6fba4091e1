//! Load balancing by power of two choices, preferring instances in the same zone.
//!
//! Two instances are sampled from this zone and two from the others, and the one with the lowest cost is
//! chosen. The cost of an instance grows with the fraction of its slots in use, as last reported by its gate
//! or as outstanding from this node, and grows steeply once nearly all slots are used; being in another zone
//! adds a constant. So a near instance with a free slot is preferred, and a far one is used when the near
//! ones queue. Instances that fail several times in a row are ejected for a while, but never more than half
//! of a service.

use std::collections::HashMap;
use std::time::Duration;

use olivegate_types::{InstanceName, Moment};
use rand::Rng;
use rand::seq::IndexedRandom;

/// Consecutive failures after which an instance is ejected.
const FAILURES_TO_EJECT: u32 = 5;
/// Duration of the first ejection; it doubles with each further ejection.
const FIRST_EJECTION: Duration = Duration::from_secs(1);
/// Largest number of times that the duration of an ejection is doubled.
const MAX_DOUBLINGS: u32 = 4;
/// Cost of an instance in another zone.
const REMOTE_ZONE_COST: f64 = 0.3;
/// Cost of an instance whose gate is another node of this zone.
const REMOTE_GATE_COST: f64 = 0.05;
/// Occupancy above which the cost grows steeply.
const NEARLY_FULL: f64 = 0.9;
/// Cost per unit of occupancy below [`NEARLY_FULL`].
const FREE_SLOPE: f64 = 0.1;
/// Cost per unit of occupancy above [`NEARLY_FULL`].
const FULL_SLOPE: f64 = 1.0;
/// Fraction of the latency objective that requests may spend in an instance without adding cost.
const SLOW_THRESHOLD: f64 = 0.6;
/// Cost per unit of latency ratio above [`SLOW_THRESHOLD`].
const SLOW_SLOPE: f64 = 1.0;
/// Cost of an instance whose gate is silent.
const SILENT_COST: f64 = 4.0;
/// Cost of an instance that accepts no more requests for now because of the rate that it declares.
const RATE_LIMITED_COST: f64 = 4.0;
/// Time after which a silent gate is tried again without that cost.
const SILENCE_DURATION: Duration = Duration::from_millis(1_000);
/// Cost per unit of failure rate, and so the cost of an instance all of whose exchanges fail.
const FAILING_SLOPE: f64 = 3.0;
/// Time in which the cost of being slow or failing decays to zero if nothing new is reported.
const HEALTH_DECAY: Duration = Duration::from_secs(4);
/// Age up to which an occupancy report counts.
const REPORT_LIFETIME: Duration = Duration::from_millis(500);

/// An instance that can be chosen.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// The instance.
    pub instance: InstanceName,
    /// True if it is in this node's zone.
    pub same_zone: bool,
    /// True if this node is its gate.
    pub own_gate: bool,
}

/// What the result of one call says about an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Observation {
    /// The instance answered.
    Answered,
    /// The instance could not be reached, closed the connection early or timed out.
    Failed,
    /// The call says nothing about the instance (cancelled, refused for lack of capacity).
    Neutral,
}

/// Health of an instance, averaged over its last exchanges.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Health {
    /// Time that requests spend in the instance, divided by their objective.
    pub latency_ratio: f64,
    /// Fraction of exchanges without a response.
    pub failure_rate: f64,
}

/// The last report of a gate, as stored at an edge.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Report {
    /// Requests in the instance and waiting, divided by its limit.
    pub occupancy: f64,
    /// Age of the report; [`Duration::MAX`] if there was none.
    pub age: Duration,
}

#[derive(Debug, Clone, Default)]
struct InstanceState {
    outstanding: u32,
    reported_occupancy: f64,
    reported_at: Option<Moment>,
    health: Health,
    health_at: Moment,
    silent_at: Option<Moment>,
    rate_limited_until: Option<Moment>,
    failures_in_a_row: u32,
    ejections: u32,
    ejected_until: Option<Moment>,
}

impl InstanceState {
    /// Cost of being slow or failing. It decays so that an instance that recovered is used again.
    fn health_cost(&self, now: Moment) -> f64 {
        let decayed = now.since(self.health_at).as_secs_f64() / HEALTH_DECAY.as_secs_f64();
        let slow = (self.health.latency_ratio - SLOW_THRESHOLD).max(0.0) * SLOW_SLOPE;
        (slow + self.health.failure_rate * FAILING_SLOPE) * (1.0 - decayed).max(0.0)
    }

    /// Cost of a gate that doesn't report progress.
    fn silence_cost(&self, now: Moment) -> f64 {
        let is_silent = self.silent_at.is_some_and(|at| now.since(at) < SILENCE_DURATION);
        if is_silent { SILENT_COST } else { 0.0 }
    }

    /// Cost of an instance that accepts no more requests for now.
    fn rate_limited_cost(&self, now: Moment) -> f64 {
        if self.is_rate_limited(now) { RATE_LIMITED_COST } else { 0.0 }
    }

    fn is_rate_limited(&self, now: Moment) -> bool {
        self.rate_limited_until.is_some_and(|until| now < until)
    }

    /// Occupancy as last reported, unless the report is too old.
    fn fresh_report(&self, now: Moment) -> Option<f64> {
        let fresh = self.reported_at.is_some_and(|at| now.since(at) <= REPORT_LIFETIME);
        fresh.then_some(self.reported_occupancy)
    }
}

/// Two different members of `pool`, chosen at random; fewer if there are fewer.
fn sample_two(pool: &[usize], random: &mut impl Rng) -> Vec<usize> {
    pool.sample(random, 2).copied().collect()
}

/// Load and health of all instances that this node calls, as observed by the node or reported by gates.
#[derive(Debug, Default)]
pub struct Balancer {
    states: HashMap<InstanceName, InstanceState>,
}

impl Balancer {
    /// Chooses an instance from `candidates`; one of `avoid` only if no other is left.
    /// `slots` is the number of slots of one instance.
    pub fn choose(
        &mut self,
        candidates: &[Candidate],
        avoid: &[InstanceName],
        slots: u32,
        now: Moment,
        random: &mut impl Rng,
    ) -> Option<usize> {
        let preferred: Vec<usize> =
            (0..candidates.len()).filter(|&index| !avoid.contains(&candidates[index].instance)).collect();
        let pool = if preferred.is_empty() { (0..candidates.len()).collect() } else { preferred };
        let pool = self.remove_ejected(candidates, pool, now);
        let (near, far): (Vec<usize>, Vec<usize>) =
            pool.into_iter().partition(|&index| candidates[index].same_zone);
        let mut sampled = sample_two(&near, random);
        sampled.extend(sample_two(&far, random));
        let costs = sampled.into_iter().map(|index| (index, self.cost(&candidates[index], slots, now)));
        costs.min_by(|left, right| left.1.total_cmp(&right.1)).map(|(index, _)| index)
    }

    /// True if some candidate that was not tried is known to have free slots.
    pub fn has_free_alternative(&self, candidates: &[Candidate], tried: &[InstanceName], now: Moment) -> bool {
        candidates.iter().filter(|candidate| !tried.contains(&candidate.instance)).any(|candidate| {
            let state = self.states.get(&candidate.instance);
            state.and_then(|state| state.fresh_report(now)).is_some_and(|occupancy| occupancy < NEARLY_FULL)
        })
    }

    /// Removes ejected instances from `pool`, unless fewer than half of it would remain.
    fn remove_ejected(&self, candidates: &[Candidate], pool: Vec<usize>, now: Moment) -> Vec<usize> {
        let healthy: Vec<usize> =
            pool.iter().copied().filter(|&index| !self.is_ejected(&candidates[index].instance, now)).collect();
        if healthy.len() * 2 >= pool.len() && !healthy.is_empty() { healthy } else { pool }
    }

    /// True while `instance` is ejected.
    pub fn is_ejected(&self, instance: &InstanceName, now: Moment) -> bool {
        let until = self.states.get(instance).and_then(|state| state.ejected_until);
        until.is_some_and(|until| now < until)
    }

    fn cost(&self, candidate: &Candidate, slots: u32, now: Moment) -> f64 {
        let distance = match (candidate.own_gate, candidate.same_zone) {
            (true, _) => 0.0,
            (false, true) => REMOTE_GATE_COST,
            (false, false) => REMOTE_ZONE_COST,
        };
        let Some(state) = self.states.get(&candidate.instance) else {
            return distance;
        };
        let reported = state.fresh_report(now).unwrap_or(0.0);
        let own = f64::from(state.outstanding) / f64::from(slots.max(1));
        let occupancy = reported.max(own);
        distance
            + state.silence_cost(now)
            + state.health_cost(now)
            + state.rate_limited_cost(now)
            + FREE_SLOPE * occupancy
            + FULL_SLOPE * (occupancy - NEARLY_FULL).max(0.0)
    }

    /// Records that a call was sent to `instance`.
    pub fn on_send(&mut self, instance: &InstanceName) {
        self.states.entry(instance.clone()).or_default().outstanding += 1;
    }

    /// Records the end of a call, whatever its result.
    pub fn on_end(&mut self, instance: &InstanceName, observation: Observation, now: Moment) {
        let state = self.states.entry(instance.clone()).or_default();
        state.outstanding = state.outstanding.saturating_sub(1);
        match observation {
            Observation::Answered => {
                state.failures_in_a_row = 0;
                state.ejections = 0;
            }
            Observation::Neutral => {}
            Observation::Failed => {
                state.failures_in_a_row += 1;
                if state.failures_in_a_row >= FAILURES_TO_EJECT {
                    let doublings = state.ejections.min(MAX_DOUBLINGS);
                    state.ejected_until = Some(now + FIRST_EJECTION * (1 << doublings));
                    state.ejections += 1;
                    state.failures_in_a_row = 0;
                }
            }
        }
    }

    /// Records that the gate of `instance` asks to be offered no calls for `span`.
    pub fn on_rate_limited(&mut self, instance: &InstanceName, span: Duration, now: Moment) {
        let until = (!span.is_zero()).then(|| now + span);
        self.states.entry(instance.clone()).or_default().rate_limited_until = until;
    }

    /// True while the gate of `instance` should be offered no calls if there is an alternative.
    pub fn is_rate_limited(&self, instance: &InstanceName, now: Moment) -> bool {
        self.states.get(instance).is_some_and(|state| state.is_rate_limited(now))
    }

    /// Records that the gate of `instance` did not report progress in time.
    pub fn on_silence(&mut self, instance: &InstanceName, now: Moment) {
        self.states.entry(instance.clone()).or_default().silent_at = Some(now);
    }

    /// Records the occupancy that the gate reported with a reply.
    pub fn on_report(&mut self, instance: &InstanceName, occupancy: f64, now: Moment) {
        let state = self.states.entry(instance.clone()).or_default();
        state.reported_occupancy = occupancy;
        state.silent_at = None;
        state.reported_at = Some(now);
    }

    /// The last report of the gate of `instance`.
    pub fn reported(&self, instance: &InstanceName, now: Moment) -> Report {
        let state = self.states.get(instance);
        let age = state.and_then(|state| state.reported_at).map_or(Duration::MAX, |at| now.since(at));
        Report { occupancy: state.map_or(0.0, |state| state.reported_occupancy), age }
    }

    /// Records the health of an instance as reported by its gate.
    pub fn on_health(&mut self, instance: &InstanceName, health: Health, now: Moment) {
        let state = self.states.entry(instance.clone()).or_default();
        state.health = health;
        state.health_at = now;
    }

    /// Removes instances that are no longer listed.
    pub fn retain(&mut self, listed: impl Fn(&InstanceName) -> bool) {
        self.states.retain(|instance, _| listed(instance));
    }
}
