//! What is known about connections and routes: do they carry calls or clients' requests?

/// Points for a request whose id extends the id of a running one.
const NESTED_POINTS: i16 = 4;
/// Points for a request whose deadline is that of a running one.
const SAME_DEADLINE_POINTS: i16 = 2;
/// Points for a request that some running one could have made.
const POSSIBLE_POINTS: i16 = 1;
/// Points for a request that no running one can have made, since it outlasts them all.
const IMPOSSIBLE_POINTS: i16 = -8;
/// Points from which on a connection counts as the instance's.
const INSTANCE_FROM: i16 = 8;
/// Bound of the points either way, so that a mistake is forgotten in the end.
const MOST_POINTS: i16 = 80;
/// Weight of one request in a route's share of calls.
const ROUTE_WEIGHT: f64 = 0.02;
/// Share of calls from which on a route is one of calls.
const CALL_ROUTE_SHARE: f64 = 0.5;

/// What one request shows, taken by itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sign {
    /// Its id extends the id of a running request that it does not outlast.
    NestedId,
    /// Its deadline is that of a running request.
    SameDeadline,
    /// A running request could have made it.
    Possible,
    /// It outlasts every running request: a call never does.
    Impossible,
    /// It carries a key: calls carry none.
    Keyed,
}

/// Whose connection it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// The instance's: it carries calls.
    Instance,
    /// A client's.
    Client,
    /// Not known yet.
    Unsettled,
}

/// What the requests of one connection have shown. Clients and the instance never share a
/// connection, so each of its requests tells something about the others.
#[derive(Debug, Clone, Copy, Default)]
pub struct ConnectionEvidence {
    points: i16,
}

impl ConnectionEvidence {
    /// Notes one request.
    pub fn note(&mut self, sign: Sign) {
        let points = match sign {
            Sign::NestedId => NESTED_POINTS,
            Sign::SameDeadline => SAME_DEADLINE_POINTS,
            Sign::Possible => POSSIBLE_POINTS,
            Sign::Impossible => IMPOSSIBLE_POINTS,
            Sign::Keyed => -2 * MOST_POINTS,
        };
        self.points = (self.points + points).clamp(-MOST_POINTS, MOST_POINTS);
    }

    /// Whose connection it is, as far as is known.
    pub fn standing(self) -> Standing {
        match self.points {
            INSTANCE_FROM.. => Standing::Instance,
            ..0 => Standing::Client,
            _ => Standing::Unsettled,
        }
    }
}

/// Share of a route's requests that are calls.
#[derive(Debug, Clone, Copy)]
pub struct RouteEvidence {
    share: f64,
}

impl RouteEvidence {
    /// Evidence that begins with one request.
    pub fn first(is_call: bool) -> Self {
        RouteEvidence { share: f64::from(u8::from(is_call)) }
    }

    /// Notes one more request.
    pub fn note(&mut self, is_call: bool) {
        self.share += (f64::from(u8::from(is_call)) - self.share) * ROUTE_WEIGHT;
    }

    /// True when most of its requests are calls.
    pub fn is_call_route(self) -> bool {
        self.share >= CALL_ROUTE_SHARE
    }
}
