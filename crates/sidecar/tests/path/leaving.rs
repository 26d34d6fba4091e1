//! Instances that announce only in their responses that they are leaving.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use olivegate_sidecar::model::Incarnation;
use olivegate_sidecar::model::InstanceState::Ready;
use olivegate_sidecar::model::RetrySafety::Safe;
use rstest::rstest;
use tokio::time::Instant;

use crate::client::{Client, get};
use crate::instance::{Action, ReceivedRequest, TestInstance, response};
use crate::load::{Arrivals, KillableNode, run_clients};
use crate::support::{Fleet, configuration, route, run};

const BOOKS: &str = "books";
const EDGES: [u8; 2] = [1, 4];
const CLIENTS: usize = 4;
/// Time after the announcement by which all nodes have stopped sending requests to the instance.
const DRAIN: Duration = Duration::from_millis(500);
/// Incarnation of the leaving instance.
const FIRST_INCARNATION: u64 = 1_700_000_000_000;

/// Responds, and announces that the instance is leaving while `leaves` is set.
fn leaving_while(leaves: Rc<Cell<bool>>, arrivals: Arrivals) -> impl Fn(&ReceivedRequest, usize) -> Vec<Action> {
    move |request, _| {
        arrivals.record();
        let plain = response(200, &request.id(), "body");
        let header_end = if leaves.get() { "\r\nx-leaving: 1\r\n\r\n" } else { "\r\n\r\n" };
        vec![Action::Sleep(5), Action::Send(plain.replacen("\r\n\r\n", header_end, 1))]
    }
}

/// The edges, and the leaving instance on machine 2 with a gate that can be killed.
struct Leaving {
    fleet: Rc<Fleet>,
    leaves: Rc<Cell<bool>>,
    arrivals: Arrivals,
    gate: KillableNode,
}

async fn start_leaving_instance(with_another: bool) -> Leaving {
    let mut fleet = Fleet::new();
    fleet.drain = DRAIN;
    let fleet = Rc::new(fleet);
    fleet.source.configure(configuration(1, vec![route("/safe/", BOOKS, Safe)]));
    let (leaves, arrivals): (Rc<Cell<bool>>, Arrivals) = Default::default();
    list_ready(&fleet, FIRST_INCARNATION);
    let script = leaving_while(leaves.clone(), arrivals.clone());
    TestInstance::start(fleet.instance_address(2), script).await;
    if with_another {
        fleet.list(3, "books-2", BOOKS);
        let script = leaving_while(Rc::default(), Arrivals::default());
        TestInstance::start(fleet.instance_address(3), script).await;
        Fleet::wait_until_ready(&fleet.start(3, BOOKS).await).await;
    }
    let gate = KillableNode::start(&fleet, 2, BOOKS).await;
    for machine in EDGES {
        Fleet::wait_until_ready(&fleet.start(machine, "desk").await).await;
    }
    Leaving { fleet, leaves, arrivals, gate }
}

/// Lists the instance as ready in the source, whatever its responses announce.
fn list_ready(fleet: &Fleet, incarnation: u64) {
    fleet.list_with_incarnation(2, "books-1", BOOKS, Ready, Incarnation(incarnation));
}

/// Disturbance of the fleet after the instance has announced that it is leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Disturbance {
    None,
    GateRestarts,
    SourceAway,
    /// The source keeps listing the instance as ready.
    ListedAgain,
}

#[rstest]
fn an_instance_that_says_that_it_leaves_gets_nothing_new(
    #[values(true, false)] with_another: bool,
    #[values(Disturbance::None, Disturbance::GateRestarts, Disturbance::SourceAway, Disturbance::ListedAgain)]
    disturbance: Disturbance,
) {
    run(async move {
        let Leaving { fleet, leaves, arrivals, mut gate } = start_leaving_instance(with_another).await;
        let edges = EDGES.map(|edge| fleet.outbound(edge));
        run_clients(&edges, CLIENTS, "/safe/a", Duration::from_millis(500)).await;
        leaves.set(true);
        // Each edge forwards a response with the announcement.
        run_clients(&edges, CLIENTS, "/safe/a", Duration::from_millis(300)).await;
        let drain_deadline = Instant::now() + DRAIN;
        for round in 0..3 {
            match disturbance {
                Disturbance::None => {}
                Disturbance::GateRestarts => {
                    gate.kill().await;
                    gate = KillableNode::start(&fleet, 2, BOOKS).await;
                }
                Disturbance::SourceAway => fleet.source.set_down(round % 2 == 0),
                Disturbance::ListedAgain => list_ready(&fleet, FIRST_INCARNATION),
            }
            run_clients(&edges, CLIENTS, "/safe/a", Duration::from_millis(700)).await;
        }
        let late = arrivals.count_between(drain_deadline, Instant::now());
        assert_eq!(late, 0, "requests that arrived after the drain time");
    });
}

/// The announcement holds for one incarnation only, not for a restart under the same name.
#[rstest]
fn an_instance_that_has_started_again_does_not_pass_for_leaving() {
    run(async move {
        let Leaving { fleet, leaves, arrivals, gate: _gate } = start_leaving_instance(true).await;
        let edges = EDGES.map(|edge| fleet.outbound(edge));
        leaves.set(true);
        run_clients(&edges, CLIENTS, "/safe/a", Duration::from_millis(500)).await;
        leaves.set(false);
        list_ready(&fleet, FIRST_INCARNATION + 60_000);
        tokio::time::sleep(Duration::from_millis(500)).await;
        let began = Instant::now();
        run_clients(&edges, CLIENTS, "/safe/a", Duration::from_secs(1)).await;
        assert!(arrivals.count_between(began, Instant::now()) > 0);
    });
}

/// An instance that only closes connections is not leaving, and its requests are all served.
#[rstest]
fn a_single_close_is_no_leaving() {
    run(async move {
        let fleet = Fleet::new();
        fleet.source.configure(configuration(1, vec![route("/safe/", BOOKS, Safe)]));
        fleet.list(2, "books-1", BOOKS);
        let script = |request: &ReceivedRequest, before: usize| {
            let plain = response(200, &request.id(), "body");
            let closes = before.is_multiple_of(2);
            let header_end = if closes { "\r\nConnection: close\r\n\r\n" } else { "\r\n\r\n" };
            let mut actions = vec![Action::Send(plain.replacen("\r\n\r\n", header_end, 1))];
            actions.extend(closes.then_some(Action::Close));
            actions
        };
        TestInstance::start(fleet.instance_address(2), script).await;
        Fleet::wait_until_ready(&fleet.start(2, BOOKS).await).await;
        Fleet::wait_until_ready(&fleet.start(1, "desk").await).await;
        for number in 0..8 {
            let mut client = Client::connect(fleet.outbound(1)).await;
            let status = client.request(&get("/safe/a", &format!("r{number}"))).await.head.status;
            assert_eq!(status, 200);
        }
    });
}
