//! Evidence on whether connections and routes carry calls of the instance or requests of clients.

/// Score of a request whose id extends the id of a running request.
const NESTED_ID_SCORE: i16 = 4;
/// Score of a request with the same deadline as a running request.
const SAME_DEADLINE_SCORE: i16 = 2;
/// Score of a request that a running request could have made.
const POSSIBLE_SCORE: i16 = 1;
/// Score of a request that no running request can have made, because its deadline is later than all of
/// theirs.
const IMPOSSIBLE_SCORE: i16 = -8;
/// Score from which a connection is taken to be the instance's.
const MIN_INSTANCE_SCORE: i16 = 8;
/// Limit of the score in either direction, so that a wrong classification can be corrected later.
const MAX_SCORE: i16 = 80;
/// Weight of one request in the moving average of a route's fraction of calls.
const ROUTE_WEIGHT: f64 = 0.02;
/// Fraction of calls from which a route is taken to be a call route.
const CALL_ROUTE_FRACTION: f64 = 0.5;

/// What one request by itself indicates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestEvidence {
    /// Its id extends the id of a running request, and its deadline is not later, allowing for calls that are
    /// read late.
    NestedId,
    /// It has the same deadline as a running request.
    SameDeadline,
    /// A running request could have made it.
    Possible,
    /// Its deadline is later than that of every running request, which is never true of a call.
    Impossible,
    /// It carries an API key; calls carry none.
    Keyed,
}

/// Which side a connection belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionOwner {
    /// It belongs to the instance and carries calls.
    Instance,
    /// It belongs to a client.
    Client,
    /// Not known yet.
    Unknown,
}

/// Evidence from the requests of one connection. Clients and the instance never share a connection, so each
/// request is evidence about the others.
#[derive(Debug, Clone, Copy, Default)]
pub struct ConnectionEvidence {
    score: i16,
}

impl ConnectionEvidence {
    /// Adds the evidence of one request.
    pub fn add(&mut self, evidence: RequestEvidence) {
        let score = match evidence {
            RequestEvidence::NestedId => NESTED_ID_SCORE,
            RequestEvidence::SameDeadline => SAME_DEADLINE_SCORE,
            RequestEvidence::Possible => POSSIBLE_SCORE,
            RequestEvidence::Impossible => IMPOSSIBLE_SCORE,
            RequestEvidence::Keyed => -2 * MAX_SCORE,
        };
        self.score = (self.score + score).clamp(-MAX_SCORE, MAX_SCORE);
    }

    /// The side that the connection belongs to, according to the evidence so far.
    pub fn owner(self) -> ConnectionOwner {
        match self.score {
            MIN_INSTANCE_SCORE.. => ConnectionOwner::Instance,
            ..0 => ConnectionOwner::Client,
            _ => ConnectionOwner::Unknown,
        }
    }
}

/// Evidence on whether a route carries calls.
#[derive(Debug, Clone, Copy)]
pub struct RouteEvidence {
    call_fraction: f64,
}

impl RouteEvidence {
    /// Creates the evidence from a first request.
    pub fn new(is_call: bool) -> Self {
        RouteEvidence { call_fraction: f64::from(u8::from(is_call)) }
    }

    /// Adds the evidence of one more request.
    pub fn add(&mut self, is_call: bool) {
        self.call_fraction += (f64::from(u8::from(is_call)) - self.call_fraction) * ROUTE_WEIGHT;
    }

    /// True when most of its requests are calls.
    pub fn is_call_route(self) -> bool {
        self.call_fraction >= CALL_ROUTE_FRACTION
    }
}
