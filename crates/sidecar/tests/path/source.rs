//! Nodes and the source: how few calls they make to it, and what they do while it does not answer.

use std::rc::Rc;
use std::time::Duration;

use olivegate_sidecar::model::InstanceState;
use olivegate_sidecar::model::RetrySafety::Safe;
use olivegate_sidecar::state::Node;
use olivegate_types::ServiceName;
use rstest::rstest;

use crate::client::{Client, get};
use crate::instance::{Action, ReceivedRequest, TestInstance, response};
use crate::support::{Fault, Fleet, TestSource, configuration, eventually, route, run};

const BOOKS: &str = "books";

fn respond_ok(request: &ReceivedRequest, _: usize) -> Vec<Action> {
    vec![Action::Send(response(200, &request.id(), "ok"))]
}

/// Machine 1 without an instance of the service, machines 2 and 3 with one each.
fn fleet_of_three() -> Fleet {
    let fleet = Fleet::new();
    fleet.source.configure(configuration(1, vec![route("/safe/", BOOKS, Safe)]));
    fleet.list(1, "desk-1", "desk");
    fleet.list(2, "books-2", BOOKS);
    fleet.list(3, "books-3", BOOKS);
    fleet
}

/// Exceeds the calls that one reader makes in two seconds: each waits for at least 0.1 s, the minimum that
/// applies with a contact time of 300 ms, and while a call is overdue the reader checks the source about
/// twice a second.
const ONE_READER_CALLS: u32 = 28;
/// Time after which the nodes have agreed which of them reads: the timeout of the last rank, and a margin.
const SETTLED_AFTER: Duration = Duration::from_millis(1_800);

/// An edge on machine 1 and the gate of the only instance on machine 2, which reads through its own handle.
async fn edge_and_gate(fleet: &Fleet) -> (Rc<Node>, TestSource) {
    let own_source = fleet.source.separate_handle();
    let edge = fleet.start(1, "desk").await;
    let gate = fleet.start_with_source(2, BOOKS, own_source.clone()).await;
    Fleet::wait_until_ready(&edge).await;
    Fleet::wait_until_ready(&gate).await;
    fleet.source.unlist("books-3");
    (edge, own_source)
}

/// Guards against a reader whose calls follow each other at once while others write what concerns no node: it used up
/// the calls that all nodes may make to the source.
#[rstest]
fn changes_of_others_do_not_make_a_reader_call_at_once() {
    run(async {
        let fleet = fleet_of_three();
        Fleet::wait_until_ready(&fleet.start(1, "desk").await).await;
        fleet.source.set_foreign_changes(true);
        tokio::time::sleep(SETTLED_AFTER).await;
        let before = fleet.source.calls.get();
        tokio::time::sleep(Duration::from_secs(2)).await;
        let calls = fleet.source.calls.get() - before;
        assert!((1..ONE_READER_CALLS).contains(&calls), "{calls} calls in two seconds");
        fleet.source.set_foreign_changes(false);
        fleet.source.configure(configuration(2, vec![route("/safe/", BOOKS, Safe)]));
    });
}

#[rstest]
fn a_node_that_starts_among_others_asks_the_source_once() {
    run(async {
        let fleet = fleet_of_three();
        Fleet::wait_until_ready(&fleet.start(1, "desk").await).await;
        let own_source = fleet.source.separate_handle();
        Fleet::wait_until_ready(&fleet.start_with_source(2, BOOKS, own_source.clone()).await).await;
        assert_eq!(own_source.calls.get(), 1);
        // The order of their addresses decides which of them reads; a takeover is finished by then.
        tokio::time::sleep(SETTLED_AFTER).await;
        let before = (own_source.calls.get(), fleet.source.calls.get());
        tokio::time::sleep(Duration::from_millis(2_000)).await;
        let calls = (own_source.calls.get() - before.0, fleet.source.calls.get() - before.1);
        assert!(calls.0 == 0 || calls.1 == 0, "both nodes read: {calls:?} calls in two undisturbed seconds");
        assert!(calls.0 + calls.1 < ONE_READER_CALLS, "{calls:?} calls of two nodes in two undisturbed seconds");
    });
}

#[rstest]
fn a_starting_node_does_not_act_on_stale_data() {
    run(async {
        let fleet = fleet_of_three();
        fleet.source.set_fault(Fault::StaleReadsOnly);
        let instance = TestInstance::start(fleet.instance_address(2), respond_ok).await;
        let node = fleet.start(2, BOOKS).await;
        eventually("the node has read a stale list", || node.cluster.borrow().directory.machines().count() > 2)
            .await;
        tokio::time::sleep(Duration::from_millis(800)).await;
        assert!(!node.is_ready());
        let mut client = Client::connect(fleet.outbound(2)).await;
        assert_eq!(client.request(&get("/safe/", "early")).await.head.status, 503);
        assert_eq!(instance.runs(), 0);
        fleet.source.set_fault(Fault::None);
        Fleet::wait_until_ready(&node).await;
        assert_eq!(client.request(&get("/safe/", "late")).await.head.status, 200);
    });
}

#[rstest]
fn a_change_reaches_all_while_the_reader_waits_in_one_call() {
    run(async {
        let fleet = fleet_of_three();
        let nodes = [fleet.start(1, "desk").await, fleet.start(2, BOOKS).await, fleet.start(3, BOOKS).await];
        for node in &nodes {
            Fleet::wait_until_ready(node).await;
        }
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        fleet.source.configure(configuration(9, vec![route("/newer/", BOOKS, Safe)]));
        let began = std::time::Instant::now();
        eventually("all follow", || nodes.iter().all(|node| node.known_state().configuration.0 == 9)).await;
        assert!(began.elapsed() < Duration::from_secs(1), "{:?}", began.elapsed());
    });
}

/// The entry of an instance disappears while only its machine is cut off from the source and others read it.
#[rstest]
fn an_instance_whose_machine_alone_lost_the_source_goes_on_serving() {
    run(async {
        let fleet = fleet_of_three();
        let instance = TestInstance::start(fleet.instance_address(2), respond_ok).await;
        let (_edge, own_source) = edge_and_gate(&fleet).await;
        own_source.set_fault(Fault::Silent);
        fleet.source.unlist("books-2");
        let mut client = Client::connect(fleet.outbound(1)).await;
        for number in 0..30 {
            let response = client.request(&get("/safe/", &format!("r{number}"))).await;
            assert_eq!(response.head.status, 200, "request {number}");
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        assert_eq!(instance.runs(), 30);
    });
}

/// The same where the machine can reach the source: then its instance has left.
#[rstest]
#[case::source_answers(Fault::None)]
#[case::source_refuses(Fault::Refusing)]
fn an_instance_that_left_gets_nothing_new(#[case] fault: Fault) {
    run(async move {
        let fleet = fleet_of_three();
        let instance = TestInstance::start(fleet.instance_address(2), respond_ok).await;
        let (edge, own_source) = edge_and_gate(&fleet).await;
        own_source.set_fault(fault);
        fleet.source.unlist("books-2");
        eventually("the instance is removed", || {
            edge.cluster.borrow().directory.ready_instances(&ServiceName::new(BOOKS)).is_empty()
        })
        .await;
        let mut client = Client::connect(fleet.outbound(1)).await;
        for number in 0..10 {
            let response = client.request(&get("/safe/", &format!("r{number}"))).await;
            assert_eq!(response.head.status, 503, "request {number}");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        assert_eq!(instance.runs(), 0);
    });
}

#[rstest]
fn an_entry_that_expired_while_the_source_was_down_is_used_until_it_is_written_again() {
    run(async {
        let fleet = fleet_of_three();
        TestInstance::start(fleet.instance_address(2), respond_ok).await;
        let edge = fleet.start(1, "desk").await;
        Fleet::wait_until_ready(&edge).await;
        Fleet::wait_until_ready(&fleet.start(2, BOOKS).await).await;
        fleet.source.unlist("books-3");
        eventually("one is left", || edge.known_state().directory.number >= 5).await;
        fleet.source.set_down(true);
        tokio::time::sleep(Duration::from_millis(1_800)).await;
        fleet.source.unlist("books-2");
        fleet.source.set_down(false);
        let mut client = Client::connect(fleet.outbound(1)).await;
        for number in 0..15 {
            let response = client.request(&get("/safe/", &format!("r{number}"))).await;
            assert_eq!(response.head.status, 200, "request {number}");
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        let mut listed = fleet.list(2, "books-2", BOOKS);
        listed.state = InstanceState::Ready;
        tokio::time::sleep(Duration::from_millis(2_500)).await;
        assert_eq!(client.request(&get("/safe/", "late")).await.head.status, 200);
    });
}

/// A source that drops its history may leave calls waiting that learn of no change, so a reader must not wait
/// longer than the time for which a disturbance counts. The test allows four times that, for slow machines.
#[rstest]
fn a_change_that_a_waiting_call_misses_is_found_in_time() {
    run(async {
        let fleet = fleet_of_three();
        let nodes = [fleet.start(1, "desk").await, fleet.start(2, BOOKS).await];
        for node in &nodes {
            Fleet::wait_until_ready(node).await;
        }
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        fleet.source.set_missing_changes(true);
        // Ends the waiting calls, so that the next ones miss all changes.
        fleet.list(3, "books-4", BOOKS);
        tokio::time::sleep(Duration::from_millis(400)).await;
        fleet.source.configure(configuration(9, vec![route("/newer/", BOOKS, Safe)]));
        fleet.source.set_missing_changes(false);
        tokio::time::sleep(nodes[0].settings().bounds.contact * 4).await;
        for node in &nodes {
            assert_eq!(node.known_state().configuration.0, 9);
        }
    });
}

/// The waiting call misses the change for its whole wait, which is seconds here; the reader's periodic check
/// finds the change meanwhile.
#[rstest]
fn a_change_that_a_long_waiting_call_misses_is_found_by_a_check() {
    run(async {
        let mut fleet = fleet_of_three();
        (fleet.contact, fleet.drain) = (Duration::from_secs(15), Duration::from_secs(15));
        let nodes = [fleet.start(1, "desk").await, fleet.start(2, BOOKS).await];
        for node in &nodes {
            Fleet::wait_until_ready(node).await;
        }
        tokio::time::sleep(SETTLED_AFTER).await;
        fleet.source.set_missing_changes(true);
        // Ends the waiting call, so that the next one misses all changes.
        fleet.list(3, "books-4", BOOKS);
        tokio::time::sleep(Duration::from_millis(400)).await;
        fleet.source.configure(configuration(9, vec![route("/newer/", BOOKS, Safe)]));
        let began = std::time::Instant::now();
        eventually("all follow", || nodes.iter().all(|node| node.known_state().configuration.0 == 9)).await;
        // The shortest wait of a call is three seconds.
        assert!(began.elapsed() < Duration::from_millis(1_500), "{:?}", began.elapsed());
    });
}

/// Guards against nodes that serve nothing after a restart because one page of the list can't be read.
#[rstest]
fn nodes_that_start_while_a_part_of_the_list_cannot_be_read_serve_with_the_rest() {
    run(async {
        let fleet = fleet_of_three();
        fleet.source.set_readable(Some(2));
        let instance = TestInstance::start(fleet.instance_address(2), respond_ok).await;
        let other = TestInstance::start(fleet.instance_address(3), respond_ok).await;
        let nodes = [fleet.start(1, "desk").await, fleet.start(2, BOOKS).await, fleet.start(3, BOOKS).await];
        for node in &nodes {
            Fleet::wait_until_ready(node).await;
        }
        let mut client = Client::connect(fleet.outbound(1)).await;
        for number in 0..10 {
            let response = client.request(&get("/safe/", &format!("r{number}"))).await;
            assert_eq!(response.head.status, 200, "request {number}");
        }
        assert_eq!((instance.runs(), other.runs()), (10, 0));
        fleet.source.set_readable(None);
        let ready =
            |node: &Rc<Node>| node.cluster.borrow().directory.ready_instances(&ServiceName::new(BOOKS)).len();
        eventually("all know both instances", || nodes.iter().all(|node| ready(node) == 2)).await;
    });
}

/// What can't be read is not removed from what a node knows.
#[rstest]
fn a_list_that_is_truncated_later_takes_nothing_away() {
    run(async {
        let fleet = fleet_of_three();
        let nodes = [fleet.start(1, "desk").await, fleet.start(2, BOOKS).await];
        for node in &nodes {
            Fleet::wait_until_ready(node).await;
        }
        let ready =
            |node: &Rc<Node>| node.cluster.borrow().directory.ready_instances(&ServiceName::new(BOOKS)).len();
        fleet.source.set_readable(Some(1));
        // A change makes the readers read the list again.
        fleet.source.configure(configuration(9, vec![route("/newer/", BOOKS, Safe)]));
        eventually("all follow", || nodes.iter().all(|node| node.known_state().configuration.0 == 9)).await;
        assert!(nodes.iter().all(|node| ready(node) == 2));
    });
}

/// Changes that can't be parsed are as malformed in each further call: a reader stopped following.
#[rstest]
fn changes_that_cannot_be_parsed_are_read_with_everything_else() {
    run(async {
        let fleet = fleet_of_three();
        let node = fleet.start(1, "desk").await;
        Fleet::wait_until_ready(&node).await;
        fleet.source.set_malformed_changes();
        fleet.source.configure(configuration(9, vec![route("/newer/", BOOKS, Safe)]));
        eventually("the node follows", || node.known_state().configuration.0 == 9).await;
        fleet.source.unlist("books-3");
        let ready = || node.cluster.borrow().directory.ready_instances(&ServiceName::new(BOOKS)).len();
        eventually("the node follows again", || ready() == 1).await;
    });
}
