//! A planned stop cuts off no request, even if clients keep sending new ones.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use olivegate_sidecar::model::RetrySafety::Safe;
use rstest::rstest;
use tokio::task::spawn_local;
use tokio::time::Instant;

use crate::client::{Client, get};
use crate::instance::{Action, ReceivedRequest, TestInstance, response};
use crate::support::{Fleet, configuration, eventually, route, run};

async fn readiness_status(fleet: &Fleet) -> u16 {
    let mut client = Client::connect(fleet.readiness(1)).await;
    client.request("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").await.head.status
}

#[rstest]
fn a_stop_ends_readiness_first_and_requests_last() {
    run(async {
        let fleet = Fleet::new();
        fleet.source.configure(configuration(1, vec![route("/safe/", "books", Safe)]));
        fleet.list(1, "books-1", "books");
        fleet.list(2, "books-2", "books");
        let script = |request: &ReceivedRequest, _| {
            vec![Action::Sleep(800), Action::Send(response(200, &request.id(), "ok"))]
        };
        let instance = TestInstance::start(fleet.instance_address(1), script).await;
        let other = TestInstance::start(fleet.instance_address(2), script).await;
        let node = fleet.start(1, "books").await;
        Fleet::wait_until_ready(&node).await;
        Fleet::wait_until_ready(&fleet.start(2, "books").await).await;
        assert_eq!(readiness_status(&fleet).await, 200);
        let mut early = Client::connect(fleet.outbound(1)).await;
        early.send(&get("/safe/", "early")).await;
        eventually("the request runs", || instance.runs() + other.runs() == 1).await;
        let stopping = spawn_local({
            let node = node.clone();
            async move { node.stop.run(Duration::from_secs(6)).await }
        });
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert_eq!(readiness_status(&fleet).await, 503);
        let response = early.next_response().await.unwrap();
        assert_eq!((response.head.status, response.field("connection").as_deref()), (200, Some("close")));
        let mut late = Client::connect(fleet.outbound(1)).await;
        assert_eq!(late.request(&get("/safe/", "late")).await.head.status, 200);
        assert!(stopping.await.unwrap(), "nothing is cut off");
    });
}

#[rstest]
fn the_last_gate_of_a_service_serves_on_while_clients_leave() {
    run(async {
        let fleet = Fleet::new();
        fleet.source.configure(configuration(1, vec![route("/safe/", "books", Safe)]));
        fleet.list(1, "books-1", "books");
        let script = |request: &ReceivedRequest, _| vec![Action::Send(response(200, &request.id(), "ok"))];
        TestInstance::start(fleet.instance_address(1), script).await;
        let node = fleet.start(1, "books").await;
        Fleet::wait_until_ready(&node).await;
        Fleet::wait_until_ready(&fleet.start(2, "desk").await).await;
        let stopping = spawn_local({
            let node = node.clone();
            async move { node.stop.run(Duration::from_secs(6)).await }
        });
        let mut client = Client::connect(fleet.outbound(2)).await;
        for number in 0..15 {
            assert_eq!(client.request(&get("/safe/", &format!("r{number}"))).await.head.status, 200);
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        assert!(stopping.await.unwrap());
        assert_eq!(client.request(&get("/safe/", "after")).await.head.status, 503);
    });
}

#[rstest]
fn clients_that_go_on_coming_are_told_to_come_back_and_not_cut_off() {
    run(async {
        let fleet = Fleet::new();
        fleet.source.configure(configuration(1, vec![route("/safe/", "books", Safe)]));
        fleet.list(1, "books-1", "books");
        fleet.list(2, "books-2", "books");
        let script = |request: &ReceivedRequest, _| {
            vec![Action::Sleep(400), Action::Send(response(200, &request.id(), "ok"))]
        };
        TestInstance::start(fleet.instance_address(2), script).await;
        let node = fleet.start(1, "books").await;
        Fleet::wait_until_ready(&node).await;
        Fleet::wait_until_ready(&fleet.start(2, "books").await).await;
        let began = Instant::now();
        let stopping = spawn_local({
            let node = node.clone();
            async move { node.stop.run(Duration::from_secs(6)).await }
        });
        let statuses = Rc::new(RefCell::new(Vec::new()));
        let clients: Vec<_> = (0..4)
            .map(|number| spawn_local(keep_requesting(fleet.outbound(1), number, statuses.clone())))
            .collect();
        assert!(stopping.await.unwrap(), "nothing is cut off");
        assert!(began.elapsed() < Duration::from_secs(5), "the stop ends once no request is in flight");
        clients.iter().for_each(tokio::task::JoinHandle::abort);
        let statuses = statuses.borrow();
        assert_eq!(statuses.first(), Some(&200));
        assert!(statuses.contains(&503), "clients are told to retry: {statuses:?}");
        assert!(statuses.iter().all(|status| [200, 503].contains(status)), "{statuses:?}");
    });
}

/// Sends requests in a loop, with a delay per client so that some request is always in flight.
async fn keep_requesting(address: SocketAddr, number: u64, statuses: Rc<RefCell<Vec<u16>>>) {
    tokio::time::sleep(Duration::from_millis(100 * number)).await;
    loop {
        let mut client = Client::connect(address).await;
        let response = client.request(&get("/safe/", "again")).await;
        statuses.borrow_mut().push(response.head.status);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
