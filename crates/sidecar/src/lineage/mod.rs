//! Which requests are calls of the instance beside this node, and which running request each
//! of them serves.
//!
//! Clients and the instance use the same address, and a call carries no mark of its parent.
//! What can be observed:
//!
//! - a call never outlasts its parent; a request that outlasts everything that runs is a
//!   client's. A call without a limit of its own has its parent's deadline.
//! - a connection carries calls only or clients' requests only, so what one request shows holds
//!   for its neighbours.
//! - where callers extend their parent's id, the id names the parent. Ids are written by
//!   clients as well, so this counts only where connection and route agree.
//! - a key is a client's: calls carry none.
//! - a route whose requests came by the instance's connections so far is one of calls.
//!
//! The parent is then *sure* (named by the id), *probable* (the only running request that
//! fits) or *unknown*. A call that fails makes its parent fail at once; its fault is kept with
//! the parent, or with its time where the parent is unknown, and explains the next failure.

mod evidence;

use std::cell::Cell;
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use bytes::Bytes;
use olivegate_types::Moment;

use crate::gate_protocol::RootRequest;
use crate::reply::ResponseFault;
use evidence::RouteEvidence;
pub use evidence::{ConnectionEvidence, Sign, Standing};

/// A call's deadline may seem this much earlier than its parent's: whole milliseconds.
const EARLIER: Duration = Duration::from_millis(2);
/// A call's deadline may seem this much later than its parent's: time on the way.
const LATER: Duration = Duration::from_millis(10);
/// A request outlasts another one for certain when its deadline is this much later: what a busy
/// process adds between the arrival of a call and its reading.
const OUTLASTS: Duration = Duration::from_millis(30);
/// A call whose id names its parent, or that goes by a route of calls, may seem to outlast its parent by this
/// much: a process that stood still dates the call by its reading. Without this the call passes for a
/// client's, and its failure for one of the instance.
const READ_LATE: Duration = Duration::from_millis(500);
/// Calls of a request that has ended may still arrive for this long.
const STRAGGLES: Duration = Duration::from_millis(100);
/// Time within which an instance fails after a call of an unknown parent failed.
const FAILS_WITHIN: Duration = Duration::from_millis(15);
/// Most running requests that are weighed as the parent of one call.
const MOST_WEIGHED: usize = 64;
/// Weight of one call in the share of calls whose id names the parent.
const NESTING_WEIGHT: f64 = 0.02;
/// Share from which on a call without such an id is not expected.
const NESTING_IN_USE: f64 = 0.5;
/// Status of an instance that gave up at the deadline.
const GATEWAY_TIMEOUT: u16 = 504;

/// A request that the instance runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RunningKey(u64);

/// What is known of a request when the instance gets it.
#[derive(Debug, Clone, PartialEq)]
pub struct RunningRequest {
    /// Its id.
    pub id: Bytes,
    /// When the instance gives it up.
    pub deadline: Moment,
    /// Probability that this run is a repeat.
    pub retry_probability: f64,
    /// Number of calls between the root and this request.
    pub hop: u8,
    /// The request at the root.
    pub root: RootRequest,
}

#[derive(Debug)]
struct Running {
    request: RunningRequest,
    /// What the first of its calls that failed was put down to.
    call_fault: ResponseFault,
}

/// The running request that a call serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Parent {
    /// Named by the call's id.
    Sure(RunningKey),
    /// The only one that fits, or one of several of the same root.
    Probable(RunningKey),
    /// Several fit.
    Unknown,
}

impl Parent {
    /// The parent, where it is known.
    pub fn key(self) -> Option<RunningKey> {
        match self {
            Parent::Sure(key) | Parent::Probable(key) => Some(key),
            Parent::Unknown => None,
        }
    }
}

impl Origin {
    /// Text of log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Origin::Client => "client",
            Origin::Call(Parent::Sure(_)) => "call-sure",
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

/// A request as it arrives.
#[derive(Debug, Clone, Copy)]
pub struct Arriving<'a> {
    /// Its id.
    pub id: &'a [u8],
    /// Name of its route.
    pub route: &'a str,
    /// When its sender gives it up.
    pub deadline: Moment,
    /// True when it carries a key.
    pub is_keyed: bool,
}

/// A failed call whose parent is unknown.
#[derive(Debug, Clone, Copy)]
struct UnclaimedFailure {
    at: Moment,
    deadline: Moment,
    fault: ResponseFault,
}

/// Running requests, and what was learnt of connections and routes.
#[derive(Debug, Default)]
pub struct Lineage {
    next_key: u64,
    running: HashMap<RunningKey, Running>,
    by_id: HashMap<Bytes, RunningKey>,
    by_deadline: BTreeSet<(Moment, RunningKey)>,
    /// Requests that ended lately: when, and their deadline.
    ended: VecDeque<(Moment, Moment)>,
    /// Sum of the running requests' probabilities of being repeats.
    repeats: f64,
    routes: HashMap<String, RouteEvidence>,
    /// Share of the calls whose id names their parent.
    nesting: f64,
    unclaimed: VecDeque<UnclaimedFailure>,
}

impl Lineage {
    /// The instance was given a request.
    pub fn begin(&mut self, request: RunningRequest) -> RunningKey {
        let key = RunningKey(self.next_key);
        self.next_key += 1;
        self.repeats += request.retry_probability;
        self.by_id.insert(request.id.clone(), key);
        self.by_deadline.insert((request.deadline, key));
        self.running.insert(key, Running { request, call_fault: ResponseFault::None });
        key
    }

    /// It no longer runs it.
    pub fn end(&mut self, key: RunningKey, now: Moment) {
        let Some(Running { request, .. }) = self.running.remove(&key) else { return };
        self.by_deadline.remove(&(request.deadline, key));
        if self.by_id.get(&request.id) == Some(&key) {
            self.by_id.remove(&request.id);
        }
        // Nothing runs, nothing repeats: no rounding is kept.
        self.repeats = if self.running.is_empty() { 0.0 } else { self.repeats - request.retry_probability };
        self.forget_ended(now);
        self.ended.push_back((now, request.deadline));
    }

    fn forget_ended(&mut self, now: Moment) {
        while self.ended.front().is_some_and(|(at, _)| now.since(*at) > STRAGGLES) {
            self.ended.pop_front();
        }
    }

    /// Tells where a request comes from, and learns from it. `connection` is what its
    /// connection has shown so far.
    pub fn classify(
        &mut self,
        arriving: Arriving<'_>,
        connection: &Cell<ConnectionEvidence>,
        now: Moment,
    ) -> Origin {
        self.forget_ended(now);
        let nested = self.nested_parent(arriving);
        let sign = self.sign(arriving, nested);
        let mut evidence = connection.get();
        evidence.note(sign);
        connection.set(evidence);
        let standing = evidence.standing();
        let origin = self.origin(arriving, standing, sign, nested);
        self.learn(arriving.route, standing, sign);
        origin
    }

    fn sign(&self, arriving: Arriving<'_>, nested: Option<RunningKey>) -> Sign {
        if arriving.is_keyed {
            return Sign::Keyed;
        }
        if nested.is_some() {
            return Sign::NestedId;
        }
        if self.with_deadline(arriving.deadline).next().is_some() {
            return Sign::SameDeadline;
        }
        let last_running = self.by_deadline.last().map(|(deadline, _)| *deadline);
        let last_ended = self.ended.iter().map(|(_, deadline)| *deadline).max();
        let last = last_running.max(last_ended);
        let allowed = if self.is_call_route(arriving.route) { READ_LATE } else { OUTLASTS };
        let is_outlasted = last.is_some_and(|last| arriving.deadline <= last + allowed);
        if is_outlasted { Sign::Possible } else { Sign::Impossible }
    }

    /// The running request whose id begins the id of the arriving one, up to a separator.
    fn nested_parent(&self, arriving: Arriving<'_>) -> Option<RunningKey> {
        let is_separator = |byte: &u8| !byte.is_ascii_alphanumeric();
        let ends = arriving.id.iter().enumerate().rev().filter(|(_, byte)| is_separator(byte));
        let key = ends.filter_map(|(end, _)| self.by_id.get(&arriving.id[..end])).next()?;
        let parent = &self.running[key].request;
        (arriving.deadline <= parent.deadline + READ_LATE).then_some(*key)
    }

    /// Running requests with this deadline.
    fn with_deadline(&self, deadline: Moment) -> impl Iterator<Item = RunningKey> {
        let first = (deadline.saturating_sub(LATER), RunningKey(0));
        let last = (deadline + EARLIER, RunningKey(u64::MAX));
        self.by_deadline.range(first..=last).map(|(_, key)| *key)
    }

    fn origin(
        &self,
        arriving: Arriving<'_>,
        standing: Standing,
        sign: Sign,
        nested: Option<RunningKey>,
    ) -> Origin {
        let is_call_route = self.is_call_route(arriving.route);
        let is_new_route = !self.routes.contains_key(arriving.route);
        let is_call = match (standing, sign) {
            (Standing::Client, _) | (_, Sign::Keyed) => false,
            (Standing::Instance, Sign::NestedId | Sign::SameDeadline) => true,
            (Standing::Unsettled, Sign::NestedId) => is_call_route || is_new_route,
            (Standing::Unsettled, _) if self.nesting >= NESTING_IN_USE => false,
            (Standing::Instance | Standing::Unsettled, _) => is_call_route,
        };
        match nested {
            _ if !is_call => Origin::Client,
            Some(key) => Origin::Call(Parent::Sure(key)),
            None => Origin::Call(self.parent_by_deadline(arriving.deadline)),
        }
    }

    /// True when most requests of the route were calls so far.
    fn is_call_route(&self, route: &str) -> bool {
        self.routes.get(route).is_some_and(|route| route.is_call_route())
    }

    fn learn(&mut self, route: &str, standing: Standing, sign: Sign) {
        let is_call = match (standing, sign) {
            (Standing::Client, _) | (_, Sign::Keyed) => false,
            (Standing::Instance, _) | (Standing::Unsettled, Sign::NestedId) => true,
            (Standing::Unsettled, _) if self.nesting >= NESTING_IN_USE => false,
            (Standing::Unsettled, _) => return,
        };
        if standing == Standing::Instance {
            let names_parent = f64::from(u8::from(sign == Sign::NestedId));
            self.nesting += (names_parent - self.nesting) * NESTING_WEIGHT;
        }
        match self.routes.get_mut(route) {
            Some(evidence) => evidence.note(is_call),
            None => {
                self.routes.insert(route.to_string(), RouteEvidence::first(is_call));
            }
        }
    }

    /// The parent of a call whose id does not name it: the one with the call's deadline, else
    /// one that the call does not outlast, or not by more than a late reading adds. Several of one kind are
    /// as good as one.
    fn parent_by_deadline(&self, deadline: Moment) -> Parent {
        if let Some(key) = self.only_kind(self.with_deadline(deadline)) {
            return Parent::Probable(key);
        }
        let outlived = |by: Duration| {
            let first = (deadline.saturating_sub(by), RunningKey(0));
            self.by_deadline.range(first..).map(|(_, key)| *key)
        };
        let is_read_late = outlived(LATER).next().is_none();
        let fitting = outlived(if is_read_late { READ_LATE } else { LATER });
        self.only_kind(fitting).map_or(Parent::Unknown, Parent::Probable)
    }

    /// The first of `keys` when the roots of all of them are of one route and importance.
    fn only_kind(&self, mut keys: impl Iterator<Item = RunningKey>) -> Option<RunningKey> {
        let first = keys.next()?;
        let kind = |key: RunningKey| {
            let root = &self.running[&key].request.root;
            (&root.route, root.importance)
        };
        keys.take(MOST_WEIGHED).all(|key| kind(key) == kind(first)).then_some(first)
    }

    /// The running request with this key.
    pub fn request(&self, key: RunningKey) -> Option<&RunningRequest> {
        self.running.get(&key).map(|running| &running.request)
    }

    /// Probability that a call belongs to a run that is a repeat.
    pub fn retry_probability(&self, parent: Parent) -> f64 {
        if let Parent::Sure(key) = parent
            && let Some(request) = self.request(key)
        {
            return request.retry_probability;
        }
        (self.repeats / self.running.len().max(1) as f64).clamp(0.0, 1.0)
    }

    /// A call failed.
    pub fn on_call_failed(&mut self, parent: Parent, deadline: Moment, fault: ResponseFault, now: Moment) {
        if let Parent::Sure(key) = parent {
            if let Some(running) = self.running.get_mut(&key)
                && running.call_fault == ResponseFault::None
            {
                running.call_fault = fault;
            }
            return;
        }
        self.unclaimed.retain(|failure| now.since(failure.at) <= FAILS_WITHIN);
        self.unclaimed.push_back(UnclaimedFailure { at: now, deadline, fault });
    }

    /// What an instance's answer to the request `key` with this status is put down to.
    pub fn attribute_fault(&mut self, key: RunningKey, status: u16, now: Moment) -> ResponseFault {
        let Some(running) = self.running.get(&key) else { return ResponseFault::None };
        if status < 500 {
            return ResponseFault::None;
        }
        if running.call_fault != ResponseFault::None {
            return running.call_fault;
        }
        let deadline = running.request.deadline;
        let explains = |failure: &UnclaimedFailure| {
            now.since(failure.at) <= FAILS_WITHIN && failure.deadline <= deadline + LATER
        };
        if let Some(index) = self.unclaimed.iter().position(explains) {
            return self.unclaimed.remove(index).map_or(ResponseFault::Callee, |failure| failure.fault);
        }
        // At its deadline an instance gives up whatever held it up.
        if status == GATEWAY_TIMEOUT { ResponseFault::Callee } else { ResponseFault::Instance }
    }

    /// Forgets routes that are no longer configured.
    pub fn retain(&mut self, configured: impl Fn(&str) -> bool) {
        self.routes.retain(|route, _| configured(route));
    }
}
