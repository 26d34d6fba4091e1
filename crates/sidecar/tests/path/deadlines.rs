//! Requests with less time left than their route has recently taken.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use olivegate_sidecar::model::Millis;
use olivegate_sidecar::model::RetrySafety::Safe;
use rstest::rstest;

use crate::client::{Client, get};
use crate::instance::{Action, ReceivedRequest, TestInstance, response};
use crate::support::{Fleet, configuration, route, run};

/// Time that the slow instance takes, and the shorter timeout that clients then use.
const SLOW_MS: u64 = 1_600;
const SHORT_MS: u64 = 600;
/// Number of requests after the instance is fast again, and the pause between them.
const REQUESTS: usize = 30;
const PAUSE: Duration = Duration::from_millis(100);
/// Number of requests at the end of these that all have to be served.
const LAST: usize = 10;

fn request(id: &str, time_ms: u64) -> String {
    format!("GET /safe/ HTTP/1.1\r\nHost: shop\r\nx-id: {id}\r\nx-time: {time_ms}\r\n\r\n")
}

/// Size of a response that is passed on before it is complete.
const LARGE_RESPONSE_BYTES: usize = 1_500_000;

/// An edge on machine 1, and on machine 2 an instance whose large responses stop after a part for this time.
async fn start_pausing_instance(pause: Vec<Action>) -> (Fleet, TestInstance) {
    let fleet = Fleet::new();
    let mut scans = route("/plates/", "scans", Safe);
    scans.timeout = Some(Millis(600));
    fleet.source.configure(configuration(1, vec![scans]));
    fleet.list(2, "scans-1", "scans");
    let script = move |request: &ReceivedRequest, _: usize| {
        let whole = response(200, &request.id(), &"x".repeat(LARGE_RESPONSE_BYTES));
        let (first, rest) = whole.split_at(100_000);
        let mut actions = vec![Action::Send(first.to_string())];
        actions.extend(pause.clone());
        actions.push(Action::Send(rest.to_string()));
        actions
    };
    let instance = TestInstance::start(fleet.instance_address(2), script).await;
    for (machine, service) in [(2, "scans"), (1, "desk")] {
        Fleet::wait_until_ready(&fleet.start(machine, service).await).await;
    }
    (fleet, instance)
}

/// Nothing ended a request at its timeout once a part of its response had been passed on.
#[rstest]
#[case::silent(vec![Action::Sleep(10_000)])]
#[case::trickling((0..10).flat_map(|_| [Action::Sleep(250), Action::Send("x".into())]).collect())]
fn a_response_that_stops_midway_ends_at_its_timeout(#[case] pause: Vec<Action>) {
    run(async {
        let (fleet, instance) = start_pausing_instance(pause).await;
        let mut client = Client::connect(fleet.outbound(1)).await;
        client.send(&get("/plates/", "a")).await;
        let response = tokio::time::timeout(Duration::from_millis(1_100), client.next_response()).await;
        assert!(!response.expect("it ends 0.5 s after its timeout").expect("a part").is_complete);
        crate::support::eventually("the instance is free", || instance.abandoned.get() == 1).await;
    });
}

/// The client is the reason that its response takes longer than the timeout.
#[rstest]
fn a_response_whose_client_reads_slowly_is_not_ended_at_its_timeout() {
    run(async {
        let (fleet, _instance) = start_pausing_instance(Vec::new()).await;
        let mut client = Client::connect(fleet.outbound(1)).await;
        client.send(&get("/plates/", "a")).await;
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        let response = client.next_response().await.expect("a response");
        assert!(response.is_complete, "cut after {} bytes", response.body.len());
    });
}

/// Guards against a gate that keeps refusing a route for lack of time because it admits no request that could
/// show that the instance is fast again.
#[rstest]
fn a_route_that_was_slow_is_served_again_in_short_time() {
    run(async {
        let fleet = Fleet::new();
        fleet.source.configure(configuration(1, vec![route("/safe/", "books", Safe)]));
        fleet.list(2, "books-1", "books");
        let is_slow = Rc::new(Cell::new(true));
        let slow = is_slow.clone();
        let script = move |request: &ReceivedRequest, _: usize| {
            let ok = Action::Send(response(200, &request.id(), "body"));
            if slow.get() { vec![Action::Sleep(SLOW_MS), ok] } else { vec![ok] }
        };
        TestInstance::start(fleet.instance_address(2), script).await;
        for (machine, service) in [(2, "books"), (1, "desk")] {
            Fleet::wait_until_ready(&fleet.start(machine, service).await).await;
        }
        let send_request = |id: String, time_ms: u64| {
            let edge = fleet.outbound(1);
            async move { Client::connect(edge).await.request(&request(&id, time_ms)).await.head.status }
        };
        assert_eq!(send_request("slow".into(), 2_000).await, 200);
        is_slow.set(false);
        let mut served = Vec::new();
        for number in 0..REQUESTS {
            served.push(send_request(format!("r{number}"), SHORT_MS).await == 200);
            tokio::time::sleep(PAUSE).await;
        }
        let last = served.iter().rev().take(LAST).filter(|served| **served).count();
        assert_eq!(last, LAST, "of the last {LAST} requests: {served:?}");
    });
}

/// Duration of the stall of the gate's process, and the timeout of its clients' requests.
const STALL: Duration = Duration::from_secs(5);
const LONG_MS: u64 = 2_000;

/// Guards against a gate that attributes a stall of its own process to its instance and then refuses requests
/// with less time left than that.
#[rstest]
fn a_stall_of_the_gate_does_not_count_as_time_of_the_instance() {
    run(async {
        let fleet = Fleet::new();
        fleet.source.configure(configuration(1, vec![route("/safe/", "books", Safe)]));
        fleet.list(2, "books-1", "books");
        let script = |request: &ReceivedRequest, _: usize| {
            vec![Action::Sleep(50), Action::Send(response(200, &request.id(), "body"))]
        };
        TestInstance::start(fleet.instance_address(2), script).await;
        for (machine, service) in [(2, "books"), (1, "desk")] {
            Fleet::wait_until_ready(&fleet.start(machine, service).await).await;
        }
        let send_request = |id: &'static str| {
            let edge = fleet.outbound(1);
            async move { Client::connect(edge).await.request(&request(id, LONG_MS)).await.head.status }
        };
        let stall = async {
            tokio::time::sleep(Duration::from_millis(20)).await;
            std::thread::sleep(STALL);
        };
        futures::join!(send_request("at-work"), stall);
        assert_eq!(send_request("next").await, 200);
    });
}
