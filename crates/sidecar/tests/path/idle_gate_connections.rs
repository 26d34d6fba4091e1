//! Idle connections to the gates of other machines, while these machines come and go.

use olivegate_sidecar::edge::gate_connection_pool::{GateConnectionPool, connect};
use olivegate_sidecar::model::RetrySafety::Safe;
use rstest::rstest;
use tokio::net::TcpListener;

use crate::client::{Client, get};
use crate::instance::{Action, ReceivedRequest, TestInstance, response};
use crate::support::{Fleet, configuration, eventually, route, run};

/// Machine of the clients.
const EDGE: u8 = 1;
/// Machines that replace each other.
const REPLACEMENTS: u8 = 12;
/// Requests at a time.
const AT_ONCE: usize = 4;

/// Guards against a node that keeps connections to machines that have left: after some 75 replacements it had used up
/// its descriptors, accepted no connection and learned no configuration.
#[rstest]
fn what_has_left_holds_no_connection() {
    run(async {
        let fleet = Fleet::new();
        fleet.source.configure(configuration(1, vec![route("/books/", "books", Safe)]));
        let edge = fleet.start(EDGE, "desk").await;
        let mut most = 0;
        for machine in EDGE + 1..=EDGE + REPLACEMENTS {
            let name = format!("books-{machine}");
            fleet.list(machine, &name, "books");
            let script = |request: &ReceivedRequest, _: usize| {
                vec![Action::Sleep(10), Action::Send(response(200, &request.id(), "found"))]
            };
            let instance = TestInstance::start(fleet.instance_address(machine), script).await;
            Fleet::wait_until_ready(&fleet.start(machine, "books").await).await;
            eventually("the edge knows the instance", || edge.is_ready()).await;
            let requests = (0..AT_ONCE).map(|number| {
                let outbound = fleet.outbound(EDGE);
                async move { Client::connect(outbound).await.request(&get("/books/", &format!("r{number}"))).await }
            });
            for response in futures::future::join_all(requests).await {
                assert_eq!(response.head.status, 200);
            }
            assert_eq!(instance.runs(), AT_ONCE);
            most = most.max(edge.gate_connections.idle_count());
            fleet.source.unlist(&name);
            eventually("the edge knows that the instance has left", || !edge.is_ready()).await;
        }
        assert!(most <= AT_ONCE, "{most} idle connections to one machine after the other");
        assert_eq!(edge.gate_connections.idle_count(), 0);
    });
}

/// A pool, and a listener per machine to which it keeps connections.
struct Pool {
    pool: GateConnectionPool,
    gates: Vec<TcpListener>,
}

impl Pool {
    async fn with_gates(fleet: &Fleet, gates: u8, max_idle: usize) -> Self {
        let mut listeners = Vec::new();
        for machine in 1..=gates {
            listeners.push(TcpListener::bind(fleet.inbound(machine)).await.unwrap());
        }
        Pool { pool: GateConnectionPool::new(max_idle), gates: listeners }
    }

    /// Keeps a new connection to the gate with this index.
    async fn keep(&self, gate: usize) {
        let address = self.gates[gate].local_addr().unwrap();
        self.pool.keep(address, connect(address).await.unwrap());
    }

    /// True if the next connection to this gate is one that was kept.
    async fn has_idle(&self, gate: usize) -> bool {
        let address = self.gates[gate].local_addr().unwrap();
        self.pool.connection(address).await.unwrap().is_reused
    }
}

/// Guards against a node in a large deployment whose idle connections alone use up its descriptors, though each
/// gate has but a few.
#[rstest]
fn all_gates_share_the_room_for_idle_connections() {
    run(async {
        let pool = Pool::with_gates(&Fleet::new(), 5, 8).await;
        for _ in 0..4 {
            for gate in 0..5 {
                pool.keep(gate).await;
            }
        }
        assert_eq!(pool.pool.idle_count(), 8);
        for gate in 0..5 {
            assert!(pool.has_idle(gate).await, "the ones used last are kept, gate {gate}");
        }
        assert_eq!(pool.pool.idle_count(), 3);
    });
}

/// One busy gate takes no more than its part.
#[rstest]
fn a_gate_has_at_most_its_part_of_the_room() {
    run(async {
        let pool = Pool::with_gates(&Fleet::new(), 2, 100).await;
        pool.keep(1).await;
        for _ in 0..60 {
            pool.keep(0).await;
        }
        assert_eq!(pool.pool.idle_count(), 48 + 1);
        assert!(pool.has_idle(1).await, "the other gate's connection is kept");
    });
}

#[rstest]
fn only_connections_to_other_machines_than_those_listed_are_closed() {
    run(async {
        let fleet = Fleet::new();
        let pool = Pool::with_gates(&fleet, 3, 100).await;
        for gate in [0, 1, 2, 1] {
            pool.keep(gate).await;
        }
        pool.pool.retain_machines(&[fleet.ip(2)].into());
        assert_eq!(pool.pool.idle_count(), 2);
        assert!(pool.has_idle(1).await && !pool.has_idle(0).await && !pool.has_idle(2).await);
    });
}
