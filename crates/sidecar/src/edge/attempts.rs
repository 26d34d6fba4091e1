//! Decides whether to retry after an attempt that gave no response.
//!
//! A refusal by a gate means that the request never reached an instance, so offering it to another gate is
//! free. Sending it to an instance again, the same or another one, is a retry: that instance's gate may
//! refuse it, and it is only done when the request did not run or may run twice.
//!
//! A request is sent to at most as many instances as its route allows. If all of them refused it without
//! running it, it may be sent to one of them again: an instance that sheds a fraction of its arrivals may
//! accept it on another try.
//!
//! An offer to the gate of the own machine may be refused before anything is waited for. So that no request is
//! offered without end, each offer counts toward a limit or rules out its instance.

use olivegate_types::{InstanceName, Refusal, RefusalReason};

use crate::model::RetrySafety;
use crate::reply::{Failure, FailureReason};

/// Maximum number of instances at capacity that a request is offered to. Each is the least busy of a random
/// sample, so further ones are likely to be full too, and every offer costs the nodes work.
const MAX_CAPACITY_REFUSALS: u32 = 4;

/// Maximum number of times that a request is sent to instances which refuse it without running it. With
/// instances that shed half of their arrivals, one request in 64 is refused every time. By arithmetic, two
/// arrivals let one in three chains of four calls through; six let 19 in 20 through.
const MAX_ARRIVALS: u32 = 6;

/// Maximum number of gates that a request is offered to when they refuse it for lack of retry budget, or
/// because its suspected content may only run in isolation.
const MAX_RETRY_DENIALS: u32 = 2;

/// Maximum number of attempts whose results a log line names; further ones are counted.
const MAX_LOGGED_ATTEMPTS: usize = 32;

/// Maximum number of instances that may terminate while they run one request: an instance that runs it next
/// would probably terminate too.
const MAX_FATAL_RUNS: usize = 2;

/// The failure reported to the client when no instance gave a response.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum FinalFailure {
    /// The request was not run and never will be.
    NotRun(Refusal),
    /// The request may have run.
    Unknown,
}

/// What to do after an attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum NextStep {
    /// Offer the request to another instance.
    TryAnother,
    /// Report the failure to the client.
    GiveUp(FinalFailure),
}

/// The state of one request's attempts.
#[derive(Debug)]
pub struct Attempts {
    safety: RetrySafety,
    max_instances: u32,
    arrivals: u32,
    /// Instances that received the request, and those that may have: a gate that stopped responding may still
    /// pass it on. The latter count against the attempts allowed by the route, too, but sending the request
    /// again after them needs no retry budget.
    reached_instances: Vec<InstanceName>,
    /// Instances that refused the request without running it, for lack of capacity.
    shed_by: Vec<InstanceName>,
    /// Number of instances that terminated while they ran the request.
    fatal_runs: usize,
    /// Number of runs that may have happened.
    possible_runs: u32,
    may_have_run: bool,
    capacity_refusals: u32,
    /// Number of gates that refused it for lack of retry budget, or because its suspected content may only
    /// run in isolation.
    retry_denials: u32,
    offered_to: Vec<InstanceName>,
    /// The refusal reported to the client; a capacity shortage takes precedence over other reasons.
    refusal: Option<Refusal>,
    attempt_log: String,
    attempts: usize,
}

impl Attempts {
    /// Creates the state before the first attempt. At most `max_instances` instances may receive the request.
    pub fn new(safety: RetrySafety, max_instances: u32) -> Self {
        Attempts {
            safety,
            max_instances: max_instances.max(1),
            arrivals: 0,
            reached_instances: Vec::new(),
            shed_by: Vec::new(),
            fatal_runs: 0,
            possible_runs: 0,
            may_have_run: false,
            capacity_refusals: 0,
            retry_denials: 0,
            offered_to: Vec::new(),
            refusal: None,
            attempt_log: String::new(),
            attempts: 0,
        }
    }

    /// Results of the attempts, in order, for log lines: of the first ones, and the number of further ones.
    pub fn attempt_log(&self) -> String {
        match self.attempts.saturating_sub(MAX_LOGGED_ATTEMPTS) {
            0 => self.attempt_log.clone(),
            further => format!("{},{further}-more", self.attempt_log),
        }
    }

    fn log_attempt(&mut self, result: &str) {
        self.attempts += 1;
        if self.attempts > MAX_LOGGED_ATTEMPTS {
            return;
        }
        if !self.attempt_log.is_empty() {
            self.attempt_log.push(',');
        }
        let instance = self.offered_to.last().map_or("none", |name| name.as_str());
        self.attempt_log.push_str(instance);
        self.attempt_log.push(':');
        self.attempt_log.push_str(result);
    }

    /// True when the request may be offered to `instance`: one that it has not been offered to, as long as
    /// its route allows another instance; after that, one that refused it without running it.
    pub fn may_offer_to(&self, instance: &InstanceName) -> bool {
        if self.has_reached_max_instances() {
            self.shed_by.contains(instance)
        } else {
            !self.offered_to.contains(instance)
        }
    }

    fn has_reached_max_instances(&self) -> bool {
        self.reached_instances.len() >= self.max_instances as usize
    }

    fn record_reached(&mut self) {
        let instance = self.offered_to.last().cloned().unwrap_or_else(|| InstanceName::new("none"));
        if !self.reached_instances.contains(&instance) {
            self.reached_instances.push(instance);
        }
    }

    /// True when an instance has already received the request, so the next arrival is a retry.
    pub fn has_reached_instance(&self) -> bool {
        self.arrivals > 0
    }

    /// True if the route allows this many further runs of the request.
    pub fn allows_runs(&self, runs: u32) -> bool {
        self.possible_runs + runs <= self.max_instances
    }

    /// True when the request may have run.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Records an offer to `instance`.
    pub fn on_offer(&mut self, instance: &InstanceName) {
        self.offered_to.push(instance.clone());
    }

    /// Handles a refusal by the gate.
    pub fn on_refused(&mut self, refusal: Refusal) -> NextStep {
        self.log_attempt(refusal.reason.as_str());
        let takes_precedence = self.refusal.is_none_or(|known| !known.reason.is_capacity_shortage());
        if takes_precedence || refusal.reason.is_capacity_shortage() {
            self.refusal = Some(refusal);
        }
        self.capacity_refusals += u32::from(refusal.reason.is_capacity_shortage());
        let is_retry_denial = matches!(refusal.reason, RefusalReason::RepeatBudget | RefusalReason::SuspectWaits);
        self.retry_denials += u32::from(is_retry_denial);
        // A reason without a limit of its own rules out the instance.
        if !refusal.reason.is_capacity_shortage() && !is_retry_denial {
            self.record_shed(false);
        }
        if matches!(refusal.reason, RefusalReason::AdmissionLevel | RefusalReason::Quarantined) {
            // Its shedding rank and the quarantine of its content are the same at every gate.
            return self.give_up();
        }
        let may_continue =
            self.capacity_refusals < MAX_CAPACITY_REFUSALS && self.retry_denials < MAX_RETRY_DENIALS;
        if may_continue { NextStep::TryAnother } else { self.give_up() }
    }

    /// Records an offer that got no reply and was made again to the same instance.
    pub fn on_unanswered(&mut self, failure: Failure) {
        self.log_attempt(failure.reason.as_str());
        self.arrivals += u32::from(failure.arrived);
        self.possible_runs += u32::from(failure.may_have_run);
        self.may_have_run |= failure.may_have_run;
        if failure.arrived || failure.may_have_run {
            self.record_reached();
        }
    }

    /// Handles an exchange that gave no response.
    pub fn on_failed(&mut self, failure: Failure) -> NextStep {
        self.on_unanswered(failure);
        if self.may_have_run && self.safety == RetrySafety::Unsafe {
            return NextStep::GiveUp(FinalFailure::Unknown);
        }
        self.fatal_runs += usize::from(failure.reason == FailureReason::InstanceEnded);
        self.record_shed(failure.reason == FailureReason::RefusedByInstance);
        self.next_step()
    }

    /// Handles a response in which the instance itself failed the request.
    pub fn on_instance_failed(&mut self) -> NextStep {
        self.log_attempt("instance-failed");
        self.arrivals += 1;
        self.possible_runs += 1;
        self.may_have_run = true;
        self.record_reached();
        self.record_shed(false);
        if self.safety == RetrySafety::Safe { self.next_step() } else { self.give_up() }
    }

    /// Records whether the instance tried last refused the request without running it, for lack of capacity. Only
    /// then may the request be offered to it again.
    fn record_shed(&mut self, was_shed: bool) {
        let Some(instance) = self.offered_to.last() else { return };
        self.shed_by.retain(|other| other != instance);
        if was_shed {
            self.shed_by.push(instance.clone());
        }
    }

    fn next_step(&self) -> NextStep {
        let is_exhausted = self.possible_runs >= self.max_instances
            || self.arrivals >= MAX_ARRIVALS
            || self.fatal_runs >= MAX_FATAL_RUNS
            || (self.has_reached_max_instances() && self.shed_by.is_empty());
        if is_exhausted { self.give_up() } else { NextStep::TryAnother }
    }

    /// Returns the final failure when there is no further instance to offer the request to.
    pub fn on_no_candidate(&self) -> FinalFailure {
        self.final_failure()
    }

    fn give_up(&self) -> NextStep {
        NextStep::GiveUp(self.final_failure())
    }

    fn final_failure(&self) -> FinalFailure {
        if self.may_have_run {
            return FinalFailure::Unknown;
        }
        let retry_after = std::time::Duration::from_millis(250);
        FinalFailure::NotRun(self.refusal.unwrap_or(Refusal::new(RefusalReason::NoInstance, retry_after)))
    }
}
