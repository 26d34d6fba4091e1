//! Connection limits: a port at its limit closes idle connections to accept new ones.

use std::net::SocketAddr;
use std::time::Duration;

use olivegate_sidecar::model::RetrySafety::Safe;
use rstest::rstest;
use tokio::net::TcpStream;

use crate::client::{Client, get};
use crate::instance::{Action, ReceivedRequest, TestInstance, response};
use crate::support::{Fleet, configuration, route, run};

fn respond_ok(request: &ReceivedRequest, _before: usize) -> Vec<Action> {
    vec![Action::Send(response(200, &request.id(), "body"))]
}

async fn two_machines() -> Fleet {
    let fleet = Fleet::new();
    fleet.source.configure(configuration(1, vec![route("/safe/", "books", Safe)]));
    fleet.list(2, "books-1", "books");
    TestInstance::start(fleet.instance_address(2), respond_ok).await;
    for (machine, service) in [(2, "books"), (1, "desk")] {
        Fleet::wait_until_ready(&fleet.start(machine, service).await).await;
    }
    fleet
}

/// Opens three connections more than the port may hold; none of them sends anything.
async fn silent_connections(address: SocketAddr, max_connections: usize) -> Vec<TcpStream> {
    let mut connections = Vec::new();
    for _ in 0..max_connections + 3 {
        connections.push(TcpStream::connect(address).await.unwrap());
    }
    tokio::time::sleep(Duration::from_millis(50)).await;
    connections
}

async fn is_served(fleet: &Fleet) -> bool {
    let request =
        async { Client::connect(fleet.outbound(1)).await.request(&get("/safe/", "r1")).await.head.status };
    tokio::time::timeout(Duration::from_secs(1), request).await == Ok(200)
}

#[rstest]
fn idle_connections_of_clients_make_room_for_a_new_one() {
    run(async {
        let fleet = two_machines().await;
        let max_connections = fleet.machine_limits().max_connections();
        let _silent = silent_connections(fleet.outbound(1), max_connections).await;
        assert!(is_served(&fleet).await);
    });
}

#[rstest]
fn idle_connections_of_other_nodes_make_room_for_a_new_one() {
    run(async {
        let fleet = two_machines().await;
        let max_connections = fleet.machine_limits().max_connections();
        let _silent = silent_connections(fleet.inbound(2), max_connections).await;
        assert!(is_served(&fleet).await);
    });
}

#[rstest]
fn a_client_that_left_before_its_request_was_read_is_not_served() {
    run(async {
        let fleet = Fleet::new();
        fleet.source.configure(configuration(1, vec![route("/safe/", "books", Safe)]));
        fleet.list(2, "books-1", "books");
        let instance = TestInstance::start(fleet.instance_address(2), respond_ok).await;
        for (machine, service) in [(2, "books"), (1, "desk")] {
            Fleet::wait_until_ready(&fleet.start(machine, service).await).await;
        }
        // Everything runs on one thread, so the node reads nothing before the client has closed.
        let stream = std::net::TcpStream::connect(fleet.outbound(1)).unwrap();
        std::io::Write::write_all(&mut &stream, get("/safe/", "r1").as_bytes()).unwrap();
        drop(stream);
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert_eq!(instance.runs(), 0);
    });
}
