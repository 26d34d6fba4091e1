//! Calls that instances make while they serve requests, as opposed to requests of clients.

use std::rc::Rc;
use std::time::Duration;

use olivegate_clock as clock;
use olivegate_sidecar::gate_protocol::class_of;
use olivegate_sidecar::importance::importance_of;
use olivegate_sidecar::model::RetrySafety::Safe;
use olivegate_sidecar::state::Node;
use olivegate_types::ServiceName;
use rstest::rstest;

use crate::client::{Client, call, get};
use crate::instance::{Action, ReceivedRequest, TestInstance, response};
use crate::support::{Fleet, configuration, route, run};

/// Timeout of the calls; shorter than the time that their parents have left.
const CALL_LIMIT_MS: u64 = 700;

fn respond_ok(request: &ReceivedRequest, _before: usize) -> Vec<Action> {
    vec![Action::Send(response(200, &request.id(), "body"))]
}

/// Reports to `node` that downstream services admit nothing of a route, until its admission level is closed.
fn close_admission_level(node: &Node, route_name: &str) {
    let class = class_of(route_name, importance_of(None, 1));
    let mut levels = node.levels.borrow_mut();
    for _ in 0..50 {
        levels.on_report(&class, &ServiceName::new("deep"), 1, 0.0, clock::now());
    }
}

#[rstest]
fn a_call_goes_through_where_clients_are_held_back_and_a_forged_one_does_not() {
    run(async {
        let fleet = Fleet::new();
        let routes = vec![route("/desk/", "desk", Safe), route("/deep/", "books", Safe)];
        let deep = routes[1].name.clone();
        fleet.source.configure(configuration(1, routes));
        fleet.list(2, "desk-1", "desk");
        fleet.list(3, "books-1", "books");
        let _desk = TestInstance::start(fleet.instance_address(2), |request: &ReceivedRequest, _| {
            vec![Action::Sleep(400), Action::Send(response(200, &request.id(), "body"))]
        })
        .await;
        let _books = TestInstance::start(fleet.instance_address(3), respond_ok).await;
        let node = fleet.start(2, "desk").await;
        for node in [node.clone(), fleet.start(3, "books").await] {
            Fleet::wait_until_ready(&node).await;
        }
        let mut client = Client::connect(fleet.outbound(2)).await;
        for number in 0..10 {
            assert_eq!(client.request(&get("/deep/", &format!("c{number}"))).await.head.status, 200);
        }
        let mut parent = Client::connect(fleet.outbound(2)).await;
        parent.send(&get("/desk/", "parent")).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
        close_admission_level(&node, &deep);
        assert_eq!(client.request(&get("/deep/", "c10")).await.head.status, 503, "a client's request");
        let forged = call("/deep/", "parent.1", CALL_LIMIT_MS);
        assert_eq!(client.request(&forged).await.head.status, 503, "a client's request with a call's id");
        let mut instance = Client::connect(fleet.outbound(2)).await;
        let mut served = 0;
        for number in 2..12 {
            let response = instance.request(&call("/deep/", &format!("parent.{number}"), CALL_LIMIT_MS)).await;
            served += usize::from(response.head.status == 200);
        }
        // The node recognizes a connection that carries calls from its second call on.
        assert!(served >= 9, "{served} of 10 calls were served");
    });
}

/// A chain of three services, of which the last has no free slot. Its refusal must not count as a failure of
/// the instances above it, so no request of the chain is retried on a second instance.
#[rstest]
fn a_refusal_three_calls_down_is_no_failure_of_the_instances_above() {
    run(refused_three_calls_down(Duration::ZERO));
}

/// The same, where the thread of the second service's node stalls for 0.1 s between the start of the run and
/// the reading of its call, as it may beside other load.
///
/// Guards against a request that runs at both instances of the second service. A call never outlasts its
/// parent, so one whose deadline seemed to be more than 30 ms after its parent's was taken for a client's
/// request. Its refusal then did not explain the parent's failure, which was attributed to the instance and
/// retried: attempts `second-4:instance-failed,second-5:instance-failed` with `fault=instance` after
/// `third-6:queue-timeout`.
#[rstest]
fn a_refusal_three_calls_down_is_no_failure_of_the_instances_above_where_a_call_is_read_late() {
    run(refused_three_calls_down(Duration::from_millis(100)));
}

async fn refused_three_calls_down(read_delay: Duration) {
    let fleet = Fleet::new();
    let routes =
        vec![route("/first/", "first", Safe), route("/second/", "second", Safe), route("/third/", "third", Safe)];
    fleet.source.configure(configuration(1, routes));
    let first_outbound = [2, 3].map(|machine| fleet.outbound(machine));
    let second_outbound = [4, 5].map(|machine| fleet.outbound(machine));
    let mut instances = Vec::new();
    for (index, machine) in [2, 3].into_iter().enumerate() {
        fleet.list(machine, &format!("first-{machine}"), "first");
        let outbound = first_outbound[index];
        let script = move |request: &ReceivedRequest, _: usize| {
            vec![Action::Call(outbound, call("/second/", &format!("{}.s", request.id()), CALL_LIMIT_MS))]
        };
        instances.push(TestInstance::start(fleet.instance_address(machine), script).await);
    }
    for (index, machine) in [4, 5].into_iter().enumerate() {
        fleet.list(machine, &format!("second-{machine}"), "second");
        let outbound = second_outbound[index];
        let script = move |request: &ReceivedRequest, _: usize| {
            let stall = Action::Invoke(Rc::new(move || std::thread::sleep(read_delay)));
            vec![stall, Action::Call(outbound, call("/third/", &format!("{}.t", request.id()), CALL_LIMIT_MS))]
        };
        instances.push(TestInstance::start(fleet.instance_address(machine), script).await);
    }
    fleet.list(6, "third-6", "third");
    let third = TestInstance::start(fleet.instance_address(6), |request: &ReceivedRequest, _| {
        vec![Action::Sleep(1_500), Action::Send(response(200, &request.id(), "body"))]
    })
    .await;
    for (machine, service) in [(2, "first"), (3, "first"), (4, "second"), (5, "second"), (6, "third"), (1, "desk")]
    {
        Fleet::wait_until_ready(&fleet.start(machine, service).await).await;
    }
    // Takes all slots of the last service.
    let mut fillers = Vec::new();
    for number in 0..8 {
        let mut filler = Client::connect(fleet.outbound(6)).await;
        filler.send(&get("/third/", &format!("f{number}"))).await;
        fillers.push(filler);
    }
    tokio::time::sleep(Duration::from_millis(400)).await;
    let before = third.runs();
    let mut client = Client::connect(fleet.outbound(1)).await;
    let failed = client.request(&get("/first/", "r1")).await;
    assert_eq!(failed.head.status, 500);
    assert_eq!(third.runs(), before, "the last service has no free slot");
    let runs: Vec<usize> = instances.iter().map(TestInstance::runs).collect();
    assert_eq!(runs[0] + runs[1], 1, "first: {runs:?}");
    assert_eq!(runs[2] + runs[3], 1, "second: {runs:?}");
}
