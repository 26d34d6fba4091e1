//! Calls told from clients' requests, their parents, and what failures are put down to, against
//! an emulated instance that records which request made each call.

use std::cell::Cell;
use std::collections::HashMap;
use std::time::Duration;

use bytes::Bytes;
use olivegate_sidecar::gate_protocol::RootRequest;
use olivegate_sidecar::lineage::{
    Arriving, ConnectionEvidence, Lineage, Origin, Parent, RunningKey, RunningRequest, Standing,
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

fn arriving<'a>(id: &'a str, route: &'a str, deadline: u64) -> Arriving<'a> {
    Arriving { id: id.as_bytes(), route, deadline: at(deadline), is_keyed: false }
}

/// How the emulated callers write ids.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ids {
    /// A call's id extends that of its parent.
    Nested,
    /// An id tells nothing.
    Opaque,
}

/// One kind of request that the instance runs.
#[derive(Debug, Clone, Copy)]
struct Kind {
    route: &'static str,
    /// Time that the instance has for it, in milliseconds.
    limit: u64,
    runs_for: u64,
    every: u64,
    calls: u64,
    /// Limit of each of its calls by itself, in milliseconds.
    call_limit: u64,
    call_route: &'static str,
}

const SHORT: Kind = Kind {
    route: "credit",
    limit: 785,
    runs_for: 240,
    every: 40,
    calls: 2,
    call_limit: 2_000,
    call_route: "fetch",
};
const LONG: Kind = Kind {
    route: "check",
    limit: 2_485,
    runs_for: 120,
    every: 30,
    calls: 1,
    call_limit: 2_000,
    call_route: "fetch",
};
/// Kinds of clients' requests beside the instance: route, limit, part.
const CLIENTS: [(&str, u64, f64); 3] = [("check", 5_000, 0.6), ("pull", 1_200, 0.2), ("token", 1_000, 0.2)];

/// What became of the requests of one sort.
#[derive(Debug, Default)]
struct Told {
    right: u32,
    wrong: u32,
    unknown: u32,
}

impl Told {
    fn part(&self, count: u32) -> f64 {
        f64::from(count) / f64::from((self.right + self.wrong + self.unknown).max(1))
    }
}

struct Parents {
    key: RunningKey,
    id: String,
    kind: Kind,
    began: u64,
}

/// Plays `millis` of an instance that runs `kinds`, with clients beside it, and tells how calls
/// and clients' requests were told after the first second.
fn play(kinds: &[Kind], ids: Ids, seed: u64, millis: u64) -> (Told, Told) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut lineage = Lineage::default();
    let instance: Vec<Cell<ConnectionEvidence>> = (0..6).map(|_| Cell::default()).collect();
    let mut clients: Vec<Cell<ConnectionEvidence>> = (0..6).map(|_| Cell::default()).collect();
    let mut parents: Vec<Parents> = Vec::new();
    let (mut calls, mut others) = (Told::default(), Told::default());
    let mut next_id = 0_u64;
    let mut id_of = |random: &mut SmallRng| {
        next_id += 1;
        format!("{next_id:08x}{:08x}", random.random::<u32>())
    };
    for now in 0..millis {
        for kind in kinds {
            if random.random_range(0..kind.every) == 0 {
                let id = id_of(&mut random);
                let deadline = now + kind.limit;
                let key = lineage.begin(running(&id, kind.route, deadline, 0.0));
                parents.push(Parents { key, id, kind: *kind, began: now });
            }
        }
        for parent in &parents {
            let gap = parent.kind.runs_for / (parent.kind.calls + 1);
            let age = now - parent.began;
            if age == 0 || !age.is_multiple_of(gap) || age / gap > parent.kind.calls {
                continue;
            }
            let id = match ids {
                Ids::Nested => format!("{}.{}", parent.id, id_of(&mut random)),
                Ids::Opaque => id_of(&mut random),
            };
            let deadline = (now + parent.kind.call_limit).min(parent.began + parent.kind.limit);
            let connection = &instance[random.random_range(0..instance.len())];
            let origin = lineage.classify(arriving(&id, parent.kind.call_route, deadline), connection, at(now));
            if now < 1_000 {
                continue;
            }
            match origin {
                Origin::Call(Parent::Sure(key)) if key == parent.key => calls.right += 1,
                Origin::Call(Parent::Probable(key))
                    if lineage.request(key).is_some_and(|request| request.root.route == parent.kind.route) =>
                {
                    calls.right += 1;
                }
                Origin::Call(Parent::Unknown) => calls.unknown += 1,
                Origin::Call(_) | Origin::Client => calls.wrong += 1,
            }
        }
        if random.random_range(0..40) == 0 {
            let draw: f64 = random.random();
            let mut below = 0.0;
            let drawn = CLIENTS.iter().find(|(_, _, part)| {
                below += part;
                draw < below
            });
            let (route, limit, _) = *drawn.unwrap_or(&CLIENTS[0]);
            let index = random.random_range(0..clients.len());
            // Clients come and go.
            if random.random_range(0..6) == 0 {
                clients[index] = Cell::default();
            }
            let id = id_of(&mut random);
            let origin = lineage.classify(arriving(&id, route, now + limit), &clients[index], at(now));
            if now >= 1_000 {
                match origin {
                    Origin::Client => others.right += 1,
                    Origin::Call(_) => others.wrong += 1,
                }
            }
        }
        parents.retain(|parent| {
            let ends = now - parent.began >= parent.kind.runs_for;
            if ends {
                lineage.end(parent.key, at(now));
            }
            !ends
        });
    }
    (calls, others)
}

#[rstest]
#[case::one_kind_nested(&[SHORT], Ids::Nested, 0.001, 0.001, 0.01)]
#[case::two_kinds_nested(&[SHORT, LONG], Ids::Nested, 0.001, 0.001, 0.01)]
#[case::one_kind_opaque(&[SHORT], Ids::Opaque, 0.02, 0.05, 0.05)]
#[case::own_limits_opaque(&[LONG], Ids::Opaque, 0.02, 0.05, 0.05)]
#[case::two_kinds_opaque(&[SHORT, LONG], Ids::Opaque, 0.10, 0.10, 0.05)]
fn calls_are_told_from_clients_requests(
    #[case] kinds: &[Kind],
    #[case] ids: Ids,
    #[case] most_wrong: f64,
    #[case] most_unknown: f64,
    #[case] most_clients_wrong: f64,
) {
    for seed in 1..=5 {
        let (calls, clients) = play(kinds, ids, seed, 20_000);
        println!(
            "{ids:?} seed {seed}: calls right {:.3} wrong {:.3} unknown {:.3}; clients right {:.3} wrong {:.3}",
            calls.part(calls.right),
            calls.part(calls.wrong),
            calls.part(calls.unknown),
            clients.part(clients.right),
            clients.part(clients.wrong),
        );
        assert!(calls.part(calls.wrong) <= most_wrong, "seed {seed}: {calls:?}");
        assert!(calls.part(calls.unknown) <= most_unknown, "seed {seed}: {calls:?}");
        assert!(clients.part(clients.wrong) <= most_clients_wrong, "seed {seed}: {clients:?}");
    }
}

#[rstest]
fn a_forged_id_wins_nothing_on_a_route_of_clients() {
    let mut lineage = Lineage::default();
    let connection = Cell::default();
    for number in 0..50_u64 {
        let now = number * 10;
        lineage.classify(arriving(&format!("c{number}"), "check", now + 5_000), &connection, at(now));
    }
    lineage.begin(running("victim", "credit", 5_400, 0.0));
    // On a connection of its own that shows nothing yet, and on one that is known.
    let fresh = Cell::default();
    assert_eq!(lineage.classify(arriving("victim.1", "check", 5_300), &fresh, at(500)), Origin::Client);
    assert_eq!(lineage.classify(arriving("victim.2", "check", 5_300), &connection, at(500)), Origin::Client);
}

#[rstest]
fn an_id_that_extends_a_running_one_is_no_call_when_it_outlasts_it() {
    let mut lineage = Lineage::default();
    lineage.begin(running("parent", "credit", 1_000, 0.0));
    let connection = Cell::default();
    assert_eq!(lineage.classify(arriving("parent.1", "fetch", 5_000), &connection, at(0)), Origin::Client);
    assert_eq!(connection.get().standing(), Standing::Client);
    assert_eq!(lineage.classify(arriving("parentage", "fetch", 900), &Cell::default(), at(0)), Origin::Client);
}

/// A process that stood still dates the call by its reading, its parent by its begin.
#[rstest]
#[case::as_soon_as_it_came(0)]
#[case::a_moment_later(100)]
#[case::as_late_as_a_starved_process_reads(450)]
fn a_call_that_is_read_late_has_the_parent_that_its_id_names(#[case] late: u64) {
    let mut lineage = Lineage::default();
    let parent = lineage.begin(running("parent", "credit", 1_000, 0.0));
    let connection = Cell::default();
    let origin = lineage.classify(arriving("parent.1", "fetch", 1_000 + late), &connection, at(late));
    assert_eq!(origin, Origin::Call(Parent::Sure(parent)));
}

/// The first call of a new connection, by a route of calls and under an id that tells nothing.
#[rstest]
#[case::as_soon_as_it_came(0)]
#[case::a_moment_later(100)]
#[case::as_late_as_a_starved_process_reads(450)]
fn a_call_that_is_read_late_is_none_of_a_client_on_a_route_of_calls(#[case] late: u64) {
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
    assert_ne!(connection.get().standing(), Standing::Client);
}

#[rstest]
fn a_call_has_the_parent_that_its_id_names() {
    let mut lineage = Lineage::default();
    let outer = lineage.begin(running("a", "check", 1_000, 0.0));
    let inner = lineage.begin(running("a.b", "lookup", 1_000, 0.0));
    let connection = Cell::default();
    let origin = lineage.classify(arriving("a.b.c", "fetch", 700), &connection, at(0));
    assert_eq!(origin, Origin::Call(Parent::Sure(inner)));
    lineage.end(inner, at(10));
    let origin = lineage.classify(arriving("a.d", "fetch", 700), &connection, at(10));
    assert_eq!(origin, Origin::Call(Parent::Sure(outer)));
}

#[rstest]
fn a_failure_is_put_down_to_the_call_of_its_own_that_failed() {
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
        "none of its calls failed"
    );
    assert_eq!(lineage.attribute_fault(keys["c"], 504, at(21)), ResponseFault::Callee, "given up at its deadline");
    assert_eq!(lineage.attribute_fault(keys["a"], 200, at(400)), ResponseFault::None);
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
fn a_call_is_a_repeat_as_its_parent_is_or_as_probably_as_what_runs() {
    let mut lineage = Lineage::default();
    assert_eq!(lineage.retry_probability(Parent::Unknown), 0.0);
    let repeat = lineage.begin(running("a", "check", 100, 1.0));
    let first = lineage.begin(running("b", "check", 100, 0.0));
    lineage.begin(running("c", "check", 200, 0.5));
    assert_eq!(lineage.retry_probability(Parent::Unknown), 0.5);
    assert_eq!(lineage.retry_probability(Parent::Sure(repeat)), 1.0);
    assert_eq!(lineage.retry_probability(Parent::Sure(first)), 0.0);
    lineage.end(repeat, at(50));
    assert_eq!(lineage.retry_probability(Parent::Unknown), 0.25);
}

/// Calls carry no key, so one with a key is a client's, whatever its id and deadline look like.
#[rstest]
fn a_request_with_a_key_is_never_a_call() {
    let mut lineage = Lineage::default();
    lineage.begin(running("parent", "shop", 1_000, 0.0));
    let connection = Cell::new(ConnectionEvidence::default());
    for index in 0..20 {
        let id = format!("parent.{index}");
        assert!(matches!(lineage.classify(arriving(&id, "ping", 900), &connection, at(10)), Origin::Call(_)));
    }
    let keyed = Arriving { is_keyed: true, ..arriving("parent.21", "ping", 900) };
    assert_eq!(lineage.classify(keyed, &connection, at(11)), Origin::Client);
}
