//! Tests of call lineage: telling calls from clients' requests, finding the parents of calls, and attributing
//! failures, against a simulated instance that records which request made each call.

use std::cell::Cell;
use std::collections::HashMap;
use std::time::Duration;

use bytes::Bytes;
use olivegate_sidecar::gate_protocol::RootRequest;
use olivegate_sidecar::lineage::{
    ArrivingRequest, ConnectionEvidence, ConnectionOwner, Lineage, Origin, Parent, RunningKey, RunningRequest,
};
use olivegate_sidecar::reply::ResponseFault;
use olivegate_types::{Importance, Moment, SheddingRank};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn running(id: &str, route: &str, deadline: u64, retry_probability: f64) -> RunningRequest {
    let root = RootRequest {
        route: route.to_string(),
        importance: Importance(1),
        rank: SheddingRank(0),
        admitted_fraction: 1.0,
    };
    RunningRequest {
        id: Bytes::copy_from_slice(id.as_bytes()),
        deadline: at(deadline),
        retry_probability,
        hop: 0,
        root,
    }
}

fn arriving<'a>(id: &'a str, route: &'a str, deadline: u64) -> ArrivingRequest<'a> {
    ArrivingRequest { id: id.as_bytes(), route, deadline: at(deadline), has_key: false }
}

/// How the simulated callers choose request ids.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum IdScheme {
    /// A call's id extends that of its parent.
    Nested,
    /// Ids are unrelated.
    Opaque,
}

/// One kind of request that the instance runs. All times are in milliseconds.
#[derive(Debug, Clone, Copy)]
struct RequestKind {
    route: &'static str,
    /// Time that the instance has for the request.
    timeout: u64,
    run_time: u64,
    mean_interval: u64,
    calls: u64,
    /// Timeout of each of its calls, unless the parent's deadline is earlier.
    call_timeout: u64,
    call_route: &'static str,
}

const SHORT: RequestKind = RequestKind {
    route: "credit",
    timeout: 785,
    run_time: 240,
    mean_interval: 40,
    calls: 2,
    call_timeout: 2_000,
    call_route: "fetch",
};
const LONG: RequestKind = RequestKind {
    route: "check",
    timeout: 2_485,
    run_time: 120,
    mean_interval: 30,
    calls: 1,
    call_timeout: 2_000,
    call_route: "fetch",
};
/// Kinds of requests that clients send: route, timeout, fraction.
const CLIENTS: [(&str, u64, f64); 3] = [("check", 5_000, 0.6), ("pull", 1_200, 0.2), ("token", 1_000, 0.2)];

/// How requests of one sort were classified.
#[derive(Debug, Default)]
struct Classified {
    correct: u32,
    wrong: u32,
    unknown: u32,
}

impl Classified {
    fn fraction(&self, count: u32) -> f64 {
        f64::from(count) / f64::from((self.correct + self.wrong + self.unknown).max(1))
    }
}

struct SimulatedParent {
    key: RunningKey,
    id: String,
    kind: RequestKind,
    started: u64,
}

/// Simulates `millis` of an instance that runs `kinds` while clients send requests, and counts how calls and
/// clients' requests were classified after the first second.
fn simulate(kinds: &[RequestKind], id_scheme: IdScheme, seed: u64, millis: u64) -> (Classified, Classified) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut lineage = Lineage::default();
    let instance: Vec<Cell<ConnectionEvidence>> = (0..6).map(|_| Cell::default()).collect();
    let mut clients: Vec<Cell<ConnectionEvidence>> = (0..6).map(|_| Cell::default()).collect();
    let mut parents: Vec<SimulatedParent> = Vec::new();
    let (mut calls, mut client_requests) = (Classified::default(), Classified::default());
    let mut next_id = 0_u64;
    let mut id_of = |random: &mut SmallRng| {
        next_id += 1;
        format!("{next_id:08x}{:08x}", random.random::<u32>())
    };
    for now in 0..millis {
        for kind in kinds {
            if random.random_range(0..kind.mean_interval) == 0 {
                let id = id_of(&mut random);
                let deadline = now + kind.timeout;
                let key = lineage.begin(running(&id, kind.route, deadline, 0.0));
                parents.push(SimulatedParent { key, id, kind: *kind, started: now });
            }
        }
        for parent in &parents {
            let gap = parent.kind.run_time / (parent.kind.calls + 1);
            let age = now - parent.started;
            if age == 0 || !age.is_multiple_of(gap) || age / gap > parent.kind.calls {
                continue;
            }
            let id = match id_scheme {
                IdScheme::Nested => format!("{}.{}", parent.id, id_of(&mut random)),
                IdScheme::Opaque => id_of(&mut random),
            };
            let deadline = (now + parent.kind.call_timeout).min(parent.started + parent.kind.timeout);
            let connection = &instance[random.random_range(0..instance.len())];
            let origin = lineage.classify(arriving(&id, parent.kind.call_route, deadline), connection, at(now));
            if now < 1_000 {
                continue;
            }
            match origin {
                Origin::Call(Parent::Certain(key)) if key == parent.key => calls.correct += 1,
                Origin::Call(Parent::Probable(key))
                    if lineage.request(key).is_some_and(|request| request.root.route == parent.kind.route) =>
                {
                    calls.correct += 1;
                }
                Origin::Call(Parent::Unknown) => calls.unknown += 1,
                Origin::Call(_) | Origin::Client => calls.wrong += 1,
            }
        }
        if random.random_range(0..40) == 0 {
            let draw: f64 = random.random();
            let mut cumulative = 0.0;
            let drawn = CLIENTS.iter().find(|(_, _, fraction)| {
                cumulative += fraction;
                draw < cumulative
            });
            let (route, timeout, _) = *drawn.unwrap_or(&CLIENTS[0]);
            let index = random.random_range(0..clients.len());
            // A client opens a new connection now and then.
            if random.random_range(0..6) == 0 {
                clients[index] = Cell::default();
            }
            let id = id_of(&mut random);
            let origin = lineage.classify(arriving(&id, route, now + timeout), &clients[index], at(now));
            if now >= 1_000 {
                match origin {
                    Origin::Client => client_requests.correct += 1,
                    Origin::Call(_) => client_requests.wrong += 1,
                }
            }
        }
        parents.retain(|parent| {
            let ends = now - parent.started >= parent.kind.run_time;
            if ends {
                lineage.end(parent.key, at(now));
            }
            !ends
        });
    }
    (calls, client_requests)
}

#[rstest]
#[case::one_kind_nested(&[SHORT], IdScheme::Nested, 0.001, 0.001, 0.01)]
#[case::two_kinds_nested(&[SHORT, LONG], IdScheme::Nested, 0.001, 0.001, 0.01)]
#[case::one_kind_opaque(&[SHORT], IdScheme::Opaque, 0.02, 0.05, 0.05)]
#[case::own_timeouts_opaque(&[LONG], IdScheme::Opaque, 0.02, 0.05, 0.05)]
#[case::two_kinds_opaque(&[SHORT, LONG], IdScheme::Opaque, 0.10, 0.10, 0.05)]
fn calls_are_told_from_clients_requests(
    #[case] kinds: &[RequestKind],
    #[case] id_scheme: IdScheme,
    #[case] max_wrong: f64,
    #[case] max_unknown: f64,
    #[case] max_clients_wrong: f64,
) {
    for seed in 1..=5 {
        let (calls, clients) = simulate(kinds, id_scheme, seed, 20_000);
        println!(
            "{id_scheme:?} seed {seed}: calls correct {:.3} wrong {:.3} unknown {:.3}; clients correct {:.3} wrong {:.3}",
            calls.fraction(calls.correct),
            calls.fraction(calls.wrong),
            calls.fraction(calls.unknown),
            clients.fraction(clients.correct),
            clients.fraction(clients.wrong),
        );
        assert!(calls.fraction(calls.wrong) <= max_wrong, "seed {seed}: {calls:?}");
        assert!(calls.fraction(calls.unknown) <= max_unknown, "seed {seed}: {calls:?}");
        assert!(clients.fraction(clients.wrong) <= max_clients_wrong, "seed {seed}: {clients:?}");
    }
}

#[rstest]
fn a_forged_id_is_not_taken_for_a_call_on_a_client_route() {
    let mut lineage = Lineage::default();
    let connection = Cell::default();
    for number in 0..50_u64 {
        let now = number * 10;
        lineage.classify(arriving(&format!("c{number}"), "check", now + 5_000), &connection, at(now));
    }
    lineage.begin(running("victim", "credit", 5_400, 0.0));
    // On a new connection without evidence, and on a known client's connection.
    let fresh = Cell::default();
    assert_eq!(lineage.classify(arriving("victim.1", "check", 5_300), &fresh, at(500)), Origin::Client);
    assert_eq!(lineage.classify(arriving("victim.2", "check", 5_300), &connection, at(500)), Origin::Client);
}

#[rstest]
fn an_id_that_extends_a_running_one_is_not_a_call_when_its_deadline_is_later() {
    let mut lineage = Lineage::default();
    lineage.begin(running("parent", "credit", 1_000, 0.0));
    let connection = Cell::default();
    assert_eq!(lineage.classify(arriving("parent.1", "fetch", 5_000), &connection, at(0)), Origin::Client);
    assert_eq!(connection.get().owner(), ConnectionOwner::Client);
    assert_eq!(lineage.classify(arriving("parentage", "fetch", 900), &Cell::default(), at(0)), Origin::Client);
}

/// A process that was stalled counts the timeout of a call from when it reads the call, and that of its
/// parent from the start of the run, so the call's deadline appears too late.
#[rstest]
#[case::immediately(0)]
#[case::slightly_late(100)]
#[case::as_late_as_a_stalled_process_reads(450)]
fn a_call_that_is_read_late_has_the_parent_that_its_id_names(#[case] late: u64) {
    let mut lineage = Lineage::default();
    let parent = lineage.begin(running("parent", "credit", 1_000, 0.0));
    let connection = Cell::default();
    let origin = lineage.classify(arriving("parent.1", "fetch", 1_000 + late), &connection, at(late));
    assert_eq!(origin, Origin::Call(Parent::Certain(parent)));
}

/// The first call on a new connection, on a call route and with an id unrelated to its parent's.
#[rstest]
#[case::immediately(0)]
#[case::slightly_late(100)]
#[case::as_late_as_a_stalled_process_reads(450)]
fn a_call_that_is_read_late_on_a_call_route_is_not_taken_for_a_clients_request(#[case] late: u64) {
    let mut lineage = Lineage::default();
    let known = Cell::default();
    for number in 0..50_u64 {
        let parent = lineage.begin(running(&format!("p{number}"), "credit", 1_000 + number, 0.0));
        lineage.classify(arriving(&format!("x{number}"), "fetch", 1_000 + number), &known, at(number));
        lineage.end(parent, at(number));
    }
    let parent = lineage.begin(running("p", "credit", 2_000, 0.0));
    let connection = Cell::default();
    let origin = lineage.classify(arriving("x", "fetch", 2_000 + late), &connection, at(1_000 + late));
    assert_eq!(origin, Origin::Call(Parent::Probable(parent)));
    assert_ne!(connection.get().owner(), ConnectionOwner::Client);
}

#[rstest]
fn a_call_has_the_parent_that_its_id_names() {
    let mut lineage = Lineage::default();
    let outer = lineage.begin(running("a", "check", 1_000, 0.0));
    let inner = lineage.begin(running("a.b", "lookup", 1_000, 0.0));
    let connection = Cell::default();
    let origin = lineage.classify(arriving("a.b.c", "fetch", 700), &connection, at(0));
    assert_eq!(origin, Origin::Call(Parent::Certain(inner)));
    lineage.end(inner, at(10));
    let origin = lineage.classify(arriving("a.d", "fetch", 700), &connection, at(10));
    assert_eq!(origin, Origin::Call(Parent::Certain(outer)));
}

#[rstest]
fn a_failure_is_attributed_to_the_requests_own_failed_call() {
    let mut lineage = Lineage::default();
    let connection = Cell::default();
    let keys: HashMap<&str, RunningKey> =
        ["a", "b", "c"].into_iter().map(|id| (id, lineage.begin(running(id, "check", 1_000, 0.0)))).collect();
    let parent_of = |lineage: &mut Lineage, id: &str| {
        let Origin::Call(parent) = lineage.classify(arriving(id, "fetch", 700), &connection, at(10)) else {
            panic!("{id} is a call");
        };
        parent
    };
    let refused = parent_of(&mut lineage, "a.1");
    let broken = parent_of(&mut lineage, "b.1");
    lineage.on_call_failed(refused, at(700), ResponseFault::Capacity, at(20));
    lineage.on_call_failed(broken, at(700), ResponseFault::Callee, at(20));
    assert_eq!(lineage.attribute_fault(keys["a"], 500, at(400)), ResponseFault::Capacity, "however late");
    assert_eq!(lineage.attribute_fault(keys["b"], 500, at(21)), ResponseFault::Callee);
    assert_eq!(
        lineage.attribute_fault(keys["c"], 500, at(21)),
        ResponseFault::Instance,
        "no call of its own failed"
    );
    assert_eq!(lineage.attribute_fault(keys["c"], 504, at(21)), ResponseFault::Callee, "given up at its deadline");
    assert_eq!(lineage.attribute_fault(keys["a"], 200, at(400)), ResponseFault::None);
}

/// A status that promises what its instance does not say is a failure, put down like others.
#[rstest]
fn an_ambiguous_refusal_is_attributed_like_a_failure(#[values(408, 429, 503)] status: u16) {
    let mut lineage = Lineage::default();
    let [own, of_call] = ["a", "b"].map(|id| lineage.begin(running(id, "check", 1_000, 0.0)));
    lineage.on_call_failed(Parent::Certain(of_call), at(700), ResponseFault::Capacity, at(20));
    assert_eq!(lineage.attribute_fault(own, status, at(30)), ResponseFault::Instance);
    assert_eq!(lineage.attribute_fault(of_call, status, at(30)), ResponseFault::Capacity);
    assert_eq!(lineage.attribute_fault(own, 404, at(30)), ResponseFault::None, "a status that promises nothing");
}

#[rstest]
fn a_failed_call_of_an_unknown_parent_explains_one_failure_right_after_it() {
    let mut lineage = Lineage::default();
    let first = lineage.begin(running("a", "check", 1_000, 0.0));
    let second = lineage.begin(running("b", "check", 1_000, 0.0));
    lineage.on_call_failed(Parent::Unknown, at(700), ResponseFault::Capacity, at(100));
    assert_eq!(lineage.attribute_fault(first, 500, at(102)), ResponseFault::Capacity);
    assert_eq!(lineage.attribute_fault(second, 500, at(102)), ResponseFault::Instance, "one call, one failure");
    lineage.on_call_failed(Parent::Unknown, at(700), ResponseFault::Capacity, at(200));
    assert_eq!(
        lineage.attribute_fault(second, 500, at(200) + Duration::from_millis(100)),
        ResponseFault::Instance
    );
}

#[rstest]
fn a_call_has_the_retry_probability_of_its_parent_or_the_mean_of_running_requests() {
    let mut lineage = Lineage::default();
    assert_eq!(lineage.retry_probability(Parent::Unknown), 0.0);
    let retry = lineage.begin(running("a", "check", 100, 1.0));
    let first = lineage.begin(running("b", "check", 100, 0.0));
    lineage.begin(running("c", "check", 200, 0.5));
    assert_eq!(lineage.retry_probability(Parent::Unknown), 0.5);
    assert_eq!(lineage.retry_probability(Parent::Certain(retry)), 1.0);
    assert_eq!(lineage.retry_probability(Parent::Certain(first)), 0.0);
    lineage.end(retry, at(50));
    assert_eq!(lineage.retry_probability(Parent::Unknown), 0.25);
}

/// Calls carry no key, so a request with one is a client's, whatever its id and deadline look like.
#[rstest]
fn a_request_with_a_key_is_never_a_call() {
    let mut lineage = Lineage::default();
    lineage.begin(running("parent", "shop", 1_000, 0.0));
    let connection = Cell::new(ConnectionEvidence::default());
    for index in 0..20 {
        let id = format!("parent.{index}");
        assert!(matches!(lineage.classify(arriving(&id, "ping", 900), &connection, at(10)), Origin::Call(_)));
    }
    let keyed = ArrivingRequest { has_key: true, ..arriving("parent.21", "ping", 900) };
    assert_eq!(lineage.classify(keyed, &connection, at(11)), Origin::Client);
}
