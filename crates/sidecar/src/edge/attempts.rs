//! What follows when an attempt did not give an answer.
//!
//! A gate's refusal means that the request never reached an instance: offering it
//! elsewhere is free. Sending it to an instance again, the same or another one, is a repeat, which
//! that instance's gate may refuse, and is only done when it did not run or may run twice.
//!
//! A request goes to no more instances than its route allows. One that each of them refused unrun
//! may go to one of them again: an instance that sheds a part of what arrives takes it by chance.

use olivegate_types::{InstanceName, Refusal, RefusalReason};

use crate::model::RetrySafety;
use crate::reply::{Failure, FailureReason};

/// Instances without room that a request is offered to at most. They are drawn among many and
/// the least busy is taken, so further ones are full too, and offers cost the nodes work.
const MOST_FULL: u32 = 4;

/// Arrivals of a request at most, where instances refuse it unrun: of those that shed a half of
/// what arrives, one in 64 requests is refused by all. By arithmetic, two arrivals let one chain of
/// four calls in three through, six let 19 in 20.
const MOST_ARRIVALS: u32 = 6;

/// Gates without a repeat left that a request is offered to at most.
const MOST_DENIED: u32 = 2;

/// Instances that may end with one request at work: what runs it next would, too.
const MOST_ENDED: usize = 2;

/// What the client is told when no instance gave an answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Verdict {
    /// Not run, and never will be.
    NotRun(Refusal),
    /// It may have run.
    Unknown,
}

/// What to do after an attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Next {
    /// Offer the request to another instance.
    TryAnother,
    /// Tell the client.
    GiveUp(Verdict),
}

/// The attempts of one request.
#[derive(Debug)]
pub struct Attempts {
    safety: RetrySafety,
    most_instances: u32,
    arrivals: u32,
    /// Instances that got the request, and those of which nobody can rule it out: a gate that fell
    /// silent may still pass it on. They count against the route's attempts, but need no repeat.
    reached: Vec<InstanceName>,
    /// Those that said that they did not run it, for want of room.
    shed_by: Vec<InstanceName>,
    /// Those that ended with it at work.
    ended: usize,
    /// Runs that nobody can rule out.
    possible_runs: u32,
    may_have_run: bool,
    full: u32,
    /// Gates that had no repeat left for it.
    denied: u32,
    tried: Vec<InstanceName>,
    /// The refusal that the client is told: want of capacity before anything else.
    refusal: Option<Refusal>,
    trail: String,
}

impl Attempts {
    /// No attempt yet. At most `most_instances` may get the request.
    pub fn new(safety: RetrySafety, most_instances: u32) -> Self {
        Attempts {
            safety,
            most_instances: most_instances.max(1),
            arrivals: 0,
            reached: Vec::new(),
            shed_by: Vec::new(),
            ended: 0,
            possible_runs: 0,
            may_have_run: false,
            full: 0,
            denied: 0,
            tried: Vec::new(),
            refusal: None,
            trail: String::new(),
        }
    }

    /// What became of each attempt, in order, for log lines.
    pub fn trail(&self) -> &str {
        &self.trail
    }

    fn note(&mut self, result: &str) {
        if !self.trail.is_empty() {
            self.trail.push(',');
        }
        let instance = self.tried.last().map_or("none", |name| name.as_str());
        self.trail.push_str(instance);
        self.trail.push(':');
        self.trail.push_str(result);
    }

    /// True when the request may be offered to `instance`: one that it was not offered to, while
    /// its route allows another one; then one that refused it unrun.
    pub fn may_go_to(&self, instance: &InstanceName) -> bool {
        if self.reaches_no_more() { self.shed_by.contains(instance) } else { !self.tried.contains(instance) }
    }

    fn reaches_no_more(&self) -> bool {
        self.reached.len() >= self.most_instances as usize
    }

    fn note_reached(&mut self) {
        let instance = self.tried.last().cloned().unwrap_or_else(|| InstanceName::new("none"));
        if !self.reached.contains(&instance) {
            self.reached.push(instance);
        }
    }

    /// True when an instance got the request already: the next arrival is a repeat.
    pub fn has_arrived(&self) -> bool {
        self.arrivals > 0
    }

    /// True when the request may have run.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Notes an offer to `instance`.
    pub fn on_offer(&mut self, instance: &InstanceName) {
        self.tried.push(instance.clone());
    }

    /// The gate refused.
    pub fn on_refused(&mut self, refusal: Refusal) -> Next {
        self.note(refusal.reason.as_str());
        let tells_more = self.refusal.is_none_or(|known| !known.reason.is_capacity_shortage());
        if tells_more || refusal.reason.is_capacity_shortage() {
            self.refusal = Some(refusal);
        }
        self.full += u32::from(refusal.reason.is_capacity_shortage());
        let is_denied = matches!(refusal.reason, RefusalReason::RepeatBudget | RefusalReason::SuspectWaits);
        self.denied += u32::from(is_denied);
        if matches!(refusal.reason, RefusalReason::AdmissionLevel | RefusalReason::Quarantined) {
            // Its rank, and what is held against its content, are the same everywhere.
            return self.give_up();
        }
        let goes_on = self.full < MOST_FULL && self.denied < MOST_DENIED;
        if goes_on { Next::TryAnother } else { self.give_up() }
    }

    /// The exchange gave no answer.
    pub fn on_failed(&mut self, failure: Failure) -> Next {
        self.note(failure.reason.as_str());
        self.arrivals += u32::from(failure.arrived);
        self.possible_runs += u32::from(failure.may_have_run);
        self.may_have_run |= failure.may_have_run;
        if failure.arrived || failure.may_have_run {
            self.note_reached();
        }
        if self.may_have_run && self.safety == RetrySafety::Unsafe {
            return Next::GiveUp(Verdict::Unknown);
        }
        self.ended += usize::from(failure.reason == FailureReason::InstanceEnded);
        self.note_shed(failure.reason == FailureReason::RefusedByInstance);
        self.next()
    }

    /// The instance ran the request and failed it by itself.
    pub fn on_instance_failed(&mut self) -> Next {
        self.note("instance-failed");
        self.arrivals += 1;
        self.possible_runs += 1;
        self.may_have_run = true;
        self.note_reached();
        self.note_shed(false);
        if self.safety == RetrySafety::Safe { self.next() } else { self.give_up() }
    }

    /// Notes whether the instance tried last refused the request unrun for want of room.
    fn note_shed(&mut self, shed: bool) {
        let Some(instance) = self.tried.last() else { return };
        self.shed_by.retain(|other| other != instance);
        if shed {
            self.shed_by.push(instance.clone());
        }
    }

    fn next(&self) -> Next {
        let is_over = self.possible_runs >= self.most_instances
            || self.arrivals >= MOST_ARRIVALS
            || self.ended >= MOST_ENDED
            || (self.reaches_no_more() && self.shed_by.is_empty());
        if is_over { self.give_up() } else { Next::TryAnother }
    }

    /// There is no further instance to offer the request to.
    pub fn on_no_candidate(&self) -> Verdict {
        self.verdict()
    }

    fn give_up(&self) -> Next {
        Next::GiveUp(self.verdict())
    }

    fn verdict(&self) -> Verdict {
        if self.may_have_run {
            return Verdict::Unknown;
        }
        let short = std::time::Duration::from_millis(250);
        Verdict::NotRun(self.refusal.unwrap_or(Refusal::new(RefusalReason::NoInstance, short)))
    }
}
