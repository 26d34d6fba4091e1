//! Nodes whose open connections to each other fall silent while new ones work, and nodes that can't fetch
//! from each other at all.

use std::rc::Rc;
use std::time::Duration;

use olivegate_sidecar::model::RetrySafety::Safe;
use olivegate_sidecar::state::Node;
use rstest::rstest;
use tokio::net::TcpListener;
use tokio::time::Instant;

use crate::support::{Fleet, configuration, eventually, route, run};

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
