//! Recognizes which requests are calls made by the instance beside this node, and infers the running request
//! that each call belongs to.
//!
//! Clients and the instance use the same address, and a call carries no reference to its parent. What can be
//! observed:
//!
//! - A call's deadline is never later than its parent's; a request with a later deadline than everything that
//!   runs is a client's. A call without a timeout of its own has its parent's deadline.
//! - A connection carries either calls or requests of clients, so the evidence of one request applies to the
//!   others.
//! - Where callers extend their parent's id, the id identifies the parent. Clients choose ids as well, so
//!   this counts only where connection and route agree.
//! - Only clients send an API key; calls carry none.
//! - A route whose requests have so far come on the instance's connections is a call route.
//!
//! The parent is then *certain* (identified by the id), *probable* (the only running request that fits) or
//! *unknown*. A call that fails makes its parent fail at once. Its fault is stored with the parent if that is
//! certain, otherwise with the time of the failure, and explains the next failure.

mod evidence;

use std::cell::Cell;
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use bytes::Bytes;
use olivegate_types::Moment;

use crate::gate_protocol::RootRequest;
use crate::reply::{ResponseFault, promises_not_run};
use evidence::RouteEvidence;
pub use evidence::{ConnectionEvidence, ConnectionOwner, RequestEvidence};

/// A call's deadline may appear earlier than its parent's by this much, because timeouts are passed on in
/// whole milliseconds.
const MAX_EARLIER: Duration = Duration::from_millis(2);
/// A call's deadline may appear later than its parent's by this much, because of the time that the call takes
/// to arrive.
const MAX_LATER: Duration = Duration::from_millis(10);
/// A request's deadline is certainly later than another's only beyond this margin: the time that a busy
/// process takes between the arrival of a call and reading it.
const OUTLAST_MARGIN: Duration = Duration::from_millis(30);
/// The deadline of a call whose id names its parent, or that uses a call route, may appear later than its
/// parent's by this much: a process that was stalled counts the call's timeout from when it reads the call.
/// Without this allowance the call would be taken for a client's request, and its failure for one of the
/// instance.
const READ_DELAY_ALLOWANCE: Duration = Duration::from_millis(500);
/// Calls of a request that has ended may still arrive for this long.
const LATE_CALL_WINDOW: Duration = Duration::from_millis(100);
/// Time within which an instance fails a request after a call with an unknown parent has failed.
const PARENT_FAILURE_WINDOW: Duration = Duration::from_millis(15);
/// Maximum number of running requests that are compared as possible parents of one call.
const MAX_PARENT_CANDIDATES: usize = 64;
/// Weight of one call in the moving average of the fraction of calls whose id names the parent.
const NESTED_ID_WEIGHT: f64 = 0.02;
/// Fraction from which calls without such an id are no longer expected.
const NESTED_IDS_IN_USE: f64 = 0.5;
/// Status of a response in which the instance gave up at the deadline.
const GATEWAY_TIMEOUT: u16 = 504;

/// Identifies a request that the instance runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RunningKey(u64);

/// A request as the instance receives it.
#[derive(Debug, Clone, PartialEq)]
pub struct RunningRequest {
    /// Its request id.
    pub id: Bytes,
    /// When the instance gives up on it.
    pub deadline: Moment,
    /// Probability that this run is a retry.
    pub retry_probability: f64,
    /// Number of calls between the root and this request.
    pub hop: u8,
    /// The request at the root of the call graph.
    pub root: RootRequest,
}

#[derive(Debug)]
struct Running {
    request: RunningRequest,
    /// The fault of the first of its calls that failed.
    first_call_fault: ResponseFault,
}

/// The running request that made a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Parent {
    /// Identified by the call's id.
    Certain(RunningKey),
    /// The only one that fits, or one of several whose roots have the same route and importance.
    Probable(RunningKey),
    /// Several fit, or none.
    Unknown,
}

impl Parent {
    /// The parent, if it is known.
    pub fn key(self) -> Option<RunningKey> {
        match self {
            Parent::Certain(key) | Parent::Probable(key) => Some(key),
            Parent::Unknown => None,
        }
    }
}

impl Origin {
    /// Name in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Origin::Client => "client",
            Origin::Call(Parent::Certain(_)) => "call-sure",
            Origin::Call(Parent::Probable(_)) => "call-probable",
            Origin::Call(Parent::Unknown) => "call-unknown",
        }
    }
}

/// Where a request comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// A client.
    Client,
    /// The instance beside this node.
    Call(Parent),
}

/// A request that is to be classified.
#[derive(Debug, Clone, Copy)]
pub struct ArrivingRequest<'a> {
    /// Its request id.
    pub id: &'a [u8],
    /// Name of its route.
    pub route: &'a str,
    /// When its sender gives up.
    pub deadline: Moment,
    /// True when it carries an API key.
    pub has_key: bool,
}

/// A failed call whose parent is not known for certain.
#[derive(Debug, Clone, Copy)]
struct OrphanCallFailure {
    at: Moment,
    deadline: Moment,
    fault: ResponseFault,
}

/// The running requests, and the evidence about connections and routes.
#[derive(Debug, Default)]
pub struct Lineage {
    next_key: u64,
    running: HashMap<RunningKey, Running>,
    by_id: HashMap<Bytes, RunningKey>,
    by_deadline: BTreeSet<(Moment, RunningKey)>,
    /// Recently ended requests: the time of their end, and their deadline.
    ended: VecDeque<(Moment, Moment)>,
    /// Sum of the running requests' probabilities of being retries.
    total_retry_probability: f64,
    routes: HashMap<String, RouteEvidence>,
    /// Fraction of the calls whose id names their parent.
    nested_id_fraction: f64,
    orphan_failures: VecDeque<OrphanCallFailure>,
}

impl Lineage {
    /// Adds a request that the instance starts to run.
    pub fn begin(&mut self, request: RunningRequest) -> RunningKey {
        let key = RunningKey(self.next_key);
        self.next_key += 1;
        self.total_retry_probability += request.retry_probability;
        self.by_id.insert(request.id.clone(), key);
        self.by_deadline.insert((request.deadline, key));
        self.running.insert(key, Running { request, first_call_fault: ResponseFault::None });
        key
    }

    /// Removes a request that the instance no longer runs.
    pub fn end(&mut self, key: RunningKey, now: Moment) {
        let Some(Running { request, .. }) = self.running.remove(&key) else { return };
        self.by_deadline.remove(&(request.deadline, key));
        if self.by_id.get(&request.id) == Some(&key) {
            self.by_id.remove(&request.id);
        }
        // Reset when nothing runs, so that rounding errors don't accumulate.
        self.total_retry_probability =
            if self.running.is_empty() { 0.0 } else { self.total_retry_probability - request.retry_probability };
        self.prune_ended(now);
        self.ended.push_back((now, request.deadline));
    }

    fn prune_ended(&mut self, now: Moment) {
        while self.ended.front().is_some_and(|(at, _)| now.since(*at) > LATE_CALL_WINDOW) {
            self.ended.pop_front();
        }
    }

    /// Classifies a request and updates the evidence with it. `connection` holds the evidence of its
    /// connection so far.
    pub fn classify(
        &mut self,
        arriving: ArrivingRequest<'_>,
        connection: &Cell<ConnectionEvidence>,
        now: Moment,
    ) -> Origin {
        self.prune_ended(now);
        let nested = self.nested_parent(arriving);
        let request_evidence = self.request_evidence(arriving, nested);
        let mut evidence = connection.get();
        evidence.add(request_evidence);
        connection.set(evidence);
        let owner = evidence.owner();
        let origin = self.origin(arriving, owner, request_evidence, nested);
        self.update_evidence(arriving.route, owner, request_evidence);
        origin
    }

    fn request_evidence(&self, arriving: ArrivingRequest<'_>, nested: Option<RunningKey>) -> RequestEvidence {
        if arriving.has_key {
            return RequestEvidence::Keyed;
        }
        if nested.is_some() {
            return RequestEvidence::NestedId;
        }
        if self.with_deadline(arriving.deadline).next().is_some() {
            return RequestEvidence::SameDeadline;
        }
        let last_running = self.by_deadline.last().map(|(deadline, _)| *deadline);
        let last_ended = self.ended.iter().map(|(_, deadline)| *deadline).max();
        let last = last_running.max(last_ended);
        let margin = if self.is_call_route(arriving.route) { READ_DELAY_ALLOWANCE } else { OUTLAST_MARGIN };
        let is_outlasted = last.is_some_and(|last| arriving.deadline <= last + margin);
        if is_outlasted { RequestEvidence::Possible } else { RequestEvidence::Impossible }
    }

    /// The running request whose id is a prefix of this request's id, up to a separator.
    fn nested_parent(&self, arriving: ArrivingRequest<'_>) -> Option<RunningKey> {
        let is_separator = |byte: &u8| !byte.is_ascii_alphanumeric();
        let ends = arriving.id.iter().enumerate().rev().filter(|(_, byte)| is_separator(byte));
        let key = ends.filter_map(|(end, _)| self.by_id.get(&arriving.id[..end])).next()?;
        let parent = &self.running[key].request;
        (arriving.deadline <= parent.deadline + READ_DELAY_ALLOWANCE).then_some(*key)
    }

    /// Running requests with this deadline, within the tolerances above.
    fn with_deadline(&self, deadline: Moment) -> impl Iterator<Item = RunningKey> {
        let first = (deadline.saturating_sub(MAX_LATER), RunningKey(0));
        let last = (deadline + MAX_EARLIER, RunningKey(u64::MAX));
        self.by_deadline.range(first..=last).map(|(_, key)| *key)
    }

    fn origin(
        &self,
        arriving: ArrivingRequest<'_>,
        owner: ConnectionOwner,
        request_evidence: RequestEvidence,
        nested: Option<RunningKey>,
    ) -> Origin {
        let is_call_route = self.is_call_route(arriving.route);
        let is_new_route = !self.routes.contains_key(arriving.route);
        let is_call = match (owner, request_evidence) {
            (ConnectionOwner::Client, _) | (_, RequestEvidence::Keyed) => false,
            (ConnectionOwner::Instance, RequestEvidence::NestedId | RequestEvidence::SameDeadline) => true,
            (ConnectionOwner::Unknown, RequestEvidence::NestedId) => is_call_route || is_new_route,
            (ConnectionOwner::Unknown, _) if self.nested_id_fraction >= NESTED_IDS_IN_USE => false,
            (ConnectionOwner::Instance | ConnectionOwner::Unknown, _) => is_call_route,
        };
        match nested {
            _ if !is_call => Origin::Client,
            Some(key) => Origin::Call(Parent::Certain(key)),
            None => Origin::Call(self.parent_by_deadline(arriving.deadline)),
        }
    }

    /// True when most requests of the route have been calls so far.
    fn is_call_route(&self, route: &str) -> bool {
        self.routes.get(route).is_some_and(|route| route.is_call_route())
    }

    fn update_evidence(&mut self, route: &str, owner: ConnectionOwner, request_evidence: RequestEvidence) {
        let is_call = match (owner, request_evidence) {
            (ConnectionOwner::Client, _) | (_, RequestEvidence::Keyed) => false,
            (ConnectionOwner::Instance, _) | (ConnectionOwner::Unknown, RequestEvidence::NestedId) => true,
            (ConnectionOwner::Unknown, _) if self.nested_id_fraction >= NESTED_IDS_IN_USE => false,
            (ConnectionOwner::Unknown, _) => return,
        };
        if owner == ConnectionOwner::Instance {
            let names_parent = f64::from(u8::from(request_evidence == RequestEvidence::NestedId));
            self.nested_id_fraction += (names_parent - self.nested_id_fraction) * NESTED_ID_WEIGHT;
        }
        match self.routes.get_mut(route) {
            Some(evidence) => evidence.add(is_call),
            None => {
                self.routes.insert(route.to_string(), RouteEvidence::new(is_call));
            }
        }
    }

    /// The parent of a call whose id does not name it: the running request with the call's deadline, else one
    /// with a later deadline, or an earlier one by no more than reading the call late accounts for. Several
    /// whose roots are of one kind count as one.
    fn parent_by_deadline(&self, deadline: Moment) -> Parent {
        if let Some(key) = self.first_if_same_kind(self.with_deadline(deadline)) {
            return Parent::Probable(key);
        }
        let lasting_until = |by: Duration| {
            let first = (deadline.saturating_sub(by), RunningKey(0));
            self.by_deadline.range(first..).map(|(_, key)| *key)
        };
        let is_read_late = lasting_until(MAX_LATER).next().is_none();
        let fitting = lasting_until(if is_read_late { READ_DELAY_ALLOWANCE } else { MAX_LATER });
        self.first_if_same_kind(fitting).map_or(Parent::Unknown, Parent::Probable)
    }

    /// The first of `keys`, if the roots of all of them have the same route and importance.
    fn first_if_same_kind(&self, mut keys: impl Iterator<Item = RunningKey>) -> Option<RunningKey> {
        let first = keys.next()?;
        let kind = |key: RunningKey| {
            let root = &self.running[&key].request.root;
            (&root.route, root.importance)
        };
        keys.take(MAX_PARENT_CANDIDATES).all(|key| kind(key) == kind(first)).then_some(first)
    }

    /// The running request with this key.
    pub fn request(&self, key: RunningKey) -> Option<&RunningRequest> {
        self.running.get(&key).map(|running| &running.request)
    }

    /// Probability that a call belongs to a run that is a retry.
    pub fn retry_probability(&self, parent: Parent) -> f64 {
        if let Parent::Certain(key) = parent
            && let Some(request) = self.request(key)
        {
            return request.retry_probability;
        }
        (self.total_retry_probability / self.running.len().max(1) as f64).clamp(0.0, 1.0)
    }

    /// Records a failed call, to explain its parent's failure.
    pub fn on_call_failed(&mut self, parent: Parent, deadline: Moment, fault: ResponseFault, now: Moment) {
        if let Parent::Certain(key) = parent {
            if let Some(running) = self.running.get_mut(&key)
                && running.first_call_fault == ResponseFault::None
            {
                running.first_call_fault = fault;
            }
            return;
        }
        self.orphan_failures.retain(|failure| now.since(failure.at) <= PARENT_FAILURE_WINDOW);
        self.orphan_failures.push_back(OrphanCallFailure { at: now, deadline, fault });
    }

    /// The fault that an instance's response to the request `key` with this status is attributed to.
    pub fn attribute_fault(&mut self, key: RunningKey, status: u16, now: Moment) -> ResponseFault {
        let Some(running) = self.running.get(&key) else { return ResponseFault::None };
        // The request may have run, so its client gets a failure for a status that would promise the opposite.
        if status < 500 && !promises_not_run(status) {
            return ResponseFault::None;
        }
        if running.first_call_fault != ResponseFault::None {
            return running.first_call_fault;
        }
        let deadline = running.request.deadline;
        let explains = |failure: &OrphanCallFailure| {
            now.since(failure.at) <= PARENT_FAILURE_WINDOW && failure.deadline <= deadline + MAX_LATER
        };
        if let Some(index) = self.orphan_failures.iter().position(explains) {
            return self.orphan_failures.remove(index).map_or(ResponseFault::Callee, |failure| failure.fault);
        }
        // At its deadline an instance gives up, whatever delayed it; that is not counted as its own fault.
        if status == GATEWAY_TIMEOUT { ResponseFault::Callee } else { ResponseFault::Instance }
    }

    /// Drops the evidence of routes that are no longer configured.
    pub fn retain(&mut self, configured: impl Fn(&str) -> bool) {
        self.routes.retain(|route, _| configured(route));
    }
}
