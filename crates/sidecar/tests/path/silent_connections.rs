//! Nodes whose open connections to each other fall silent while new ones work, and nodes that can't fetch
//! from each other at all.

use std::rc::Rc;
use std::time::Duration;

use olivegate_sidecar::model::RetrySafety::{self, Safe, Unsafe};
use olivegate_sidecar::model::Route;
use olivegate_sidecar::state::Node;
use rstest::rstest;
use tokio::net::TcpListener;
use tokio::time::Instant;

use crate::client::{Client, get};
use crate::instance::{Action, ReceivedRequest, TestInstance, response};
use crate::links::Link;
use crate::support::{Fault, Fleet, TestSource, configuration, eventually, route, run};

/// Time within which an acknowledged configuration has to be in force on every node in touch.
const APPLY_LIMIT: Duration = Duration::from_secs(2);

/// Waits until `node` has this version and returns how long that took.
async fn time_until_in_force(node: &Rc<Node>, version: u64) -> Duration {
    let began = Instant::now();
    eventually("the version is in force", || node.known_state().configuration.0 == version).await;
    began.elapsed()
}

/// A node hears by datagram that a version exists, but every fetch of it fails. The readings that others
/// announce must not keep it from reading the source.
#[rstest]
#[case::refused(false)]
#[case::unanswered(true)]
fn a_node_that_can_fetch_from_nobody_reads_the_source_itself(#[case] accepts_connections: bool) {
    run(async {
        let fleet = Fleet::new();
        fleet.source.configure(configuration(1, vec![route("/safe/", "books", Safe)]));
        fleet.list(1, "books-1", "books");
        fleet.list(2, "books-2", "books");
        let (first, _) = fleet.start_behind_link(1, "books", fleet.source.clone()).await;
        let (second, _) = fleet.start_behind_link(2, "books", fleet.source.clone()).await;
        let listen = async |machine| TcpListener::bind(fleet.inbound(machine)).await.unwrap();
        let _unanswered = if accepts_connections { vec![listen(1).await, listen(2).await] } else { Vec::new() };
        Fleet::wait_until_ready(&first).await;
        Fleet::wait_until_ready(&second).await;
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        fleet.source.configure(configuration(2, vec![route("/new/", "books", Safe)]));
        let (in_first, in_second) = tokio::join!(time_until_in_force(&first, 2), time_until_in_force(&second, 2));
        assert!(in_first.max(in_second) < APPLY_LIMIT, "took {in_first:?} and {in_second:?}");
    });
}

/// An edge on machine 1, and behind a link the gate of an instance on machine 2.
struct LinkedGate {
    fleet: Fleet,
    edge: Rc<Node>,
    edge_source: TestSource,
    link: Link,
    instance: TestInstance,
}

impl LinkedGate {
    async fn start(safety: RetrySafety, slots: u32) -> Self {
        let fleet = Fleet::new();
        fleet.source.configure(configuration(1, vec![route("/run/", "books", safety)]));
        fleet.list(1, "desk-1", "desk");
        let mut listed = fleet.list(2, "books-2", "books");
        listed.slots = slots;
        fleet.source.list(listed);
        let script = |request: &ReceivedRequest, _| {
            let work_ms = if request.id() == "slow" { 1_500 } else { 100 };
            vec![Action::Sleep(work_ms), Action::Send(response(200, &request.id(), "ok"))]
        };
        let instance = TestInstance::start(fleet.instance_address(2), script).await;
        let (gate, inbound) = fleet.start_behind_link(2, "books", fleet.source.clone()).await;
        let link = Link::start(fleet.inbound(2), inbound).await;
        let edge_source = fleet.source.separate_handle();
        let edge = fleet.start_with_source(1, "desk", edge_source.clone()).await;
        Fleet::wait_until_ready(&gate).await;
        Fleet::wait_until_ready(&edge).await;
        LinkedGate { fleet, edge, edge_source, link, instance }
    }

    /// Sends requests at the same time, so that as many connections are idle afterwards.
    async fn open_connections(&self, count: usize) {
        let requests = (0..count).map(|number| self.status_of(format!("warm-{number}")));
        futures::future::join_all(requests).await;
    }

    async fn status_of(&self, id: String) -> u16 {
        let mut client = Client::connect(self.fleet.outbound(1)).await;
        client.request(&get("/run/", &id)).await.head.status
    }
}

/// Each fetch over an idle connection that had fallen silent took its whole time limit, one idle connection
/// after the other.
#[rstest]
#[case::few(5)]
#[case::many(30)]
fn a_change_is_fetched_in_time_while_idle_connections_are_silent(#[case] connections: usize) {
    run(async {
        let linked = LinkedGate::start(Safe, 64).await;
        linked.open_connections(connections).await;
        assert!(linked.link.silence_open() >= connections);
        linked.edge_source.set_fault(Fault::Silent);
        linked.fleet.source.configure(configuration(2, vec![route("/run/", "books", Safe)]));
        let elapsed = time_until_in_force(&linked.edge, 2).await;
        assert!(elapsed < APPLY_LIMIT, "took {elapsed:?}");
    });
}

/// Each request on an idle connection that had fallen silent failed, though its instance was sound and new
/// connections worked.
#[rstest]
#[case::safe(Safe)]
#[case::unsafe_(Unsafe)]
fn requests_are_served_while_idle_connections_are_silent(#[case] safety: RetrySafety) {
    run(async {
        let linked = LinkedGate::start(safety, 64).await;
        for round in 0..2 {
            linked.open_connections(12).await;
            assert!(linked.link.silence_open() >= 12);
            for number in 0..4 {
                assert_eq!(linked.status_of(format!("{round}-{number}")).await, 200, "request {number}");
            }
        }
        assert_eq!(linked.edge.metrics.silent_connections.get(), 2, "the first request of each round finds out");
    });
}

/// A route that allows one instance allows one run: a request that may have run is not offered again.
#[rstest]
fn a_request_that_ran_before_its_connection_fell_silent_does_not_run_more_often_than_its_route_allows() {
    run(async {
        let linked = LinkedGate::start(Safe, 64).await;
        let once = Route { attempts: 1, ..route("/run/", "books", Safe) };
        linked.fleet.source.configure(configuration(2, vec![once]));
        time_until_in_force(&linked.edge, 2).await;
        assert_eq!(linked.status_of("warm".into()).await, 200);
        let runs = linked.instance.runs();
        let silence = async {
            tokio::time::sleep(Duration::from_millis(100)).await;
            assert!(linked.link.silence_open() >= 1);
        };
        let (status, ()) = tokio::join!(linked.status_of("slow".into()), silence);
        assert_eq!((status, linked.instance.runs()), (502, runs + 1));
    });
}

/// The request ran when its connection fell silent, and was refused where it was offered again: it must not be
/// reported as not run.
#[rstest]
fn a_request_that_ran_before_its_connection_fell_silent_is_not_reported_as_not_run() {
    run(async {
        let linked = LinkedGate::start(Safe, 1).await;
        assert_eq!(linked.status_of("warm".into()).await, 200);
        let silence = async {
            tokio::time::sleep(Duration::from_millis(100)).await;
            assert!(linked.link.silence_open() >= 1);
        };
        let (status, ()) = tokio::join!(linked.status_of("slow".into()), silence);
        assert_eq!(status, 502);
    });
}
