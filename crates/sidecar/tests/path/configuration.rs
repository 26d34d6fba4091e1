//! How nodes get the configuration and the instance list: from the source, from other nodes, or from neither.

use std::collections::BTreeSet;
use std::time::Duration;

use olivegate_sidecar::model::InstanceState;
use olivegate_sidecar::model::RetrySafety::Safe;
use rstest::rstest;

use crate::client::{Client, get};
use crate::instance::{Action, TestInstance, response};
use crate::support::{Fleet, configuration, eventually, route, run};

async fn start_instance(fleet: &Fleet, machine: u8) -> TestInstance {
    let script =
        |request: &crate::instance::ReceivedRequest, _| vec![Action::Send(response(200, &request.id(), "ok"))];
    TestInstance::start(fleet.instance_address(machine), script).await
}

#[rstest]
fn a_node_without_configuration_refuses_and_does_not_deny() {
    run(async {
        let fleet = Fleet::new();
        fleet.source.set_down(true);
        let node = fleet.start(1, "books").await;
        let mut client = Client::connect(fleet.outbound(1)).await;
        let response = client.request(&get("/safe/", "a")).await;
        assert_eq!(response.head.status, 503);
        assert!(!node.is_ready());
    });
}

#[rstest]
fn a_node_started_while_the_source_is_down_learns_from_another_one() {
    run(async {
        let fleet = Fleet::new();
        fleet.source.configure(configuration(7, vec![route("/safe/", "books", Safe)]));
        fleet.list(1, "books-1", "books");
        fleet.list(2, "desk-1", "desk");
        start_instance(&fleet, 1).await;
        Fleet::wait_until_ready(&fleet.start(1, "books").await).await;
        fleet.source.set_down(true);
        let late = fleet.start(2, "desk").await;
        Fleet::wait_until_ready(&late).await;
        assert_eq!(late.known_state().configuration.0, 7);
        let mut client = Client::connect(fleet.outbound(2)).await;
        assert_eq!(client.request(&get("/safe/", "a")).await.head.status, 200);
    });
}

#[rstest]
fn a_version_never_goes_back() {
    run(async {
        let fleet = Fleet::new();
        fleet.source.configure(configuration(7, vec![route("/safe/", "books", Safe)]));
        fleet.list(1, "books-1", "books");
        let node = fleet.start(1, "books").await;
        Fleet::wait_until_ready(&node).await;
        fleet.source.configure(configuration(6, Vec::new()));
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert_eq!(node.known_state().configuration.0, 7);
        fleet.source.configure(configuration(9, vec![route("/other/", "books", Safe)]));
        eventually("the next version is in force", || node.known_state().configuration.0 == 9).await;
        let mut client = Client::connect(fleet.outbound(1)).await;
        assert_eq!(client.request(&get("/safe/", "a")).await.head.status, 404);
    });
}

#[rstest]
fn instances_that_go_missing_while_the_source_is_disturbed_stay_in_use() {
    run(async {
        let fleet = Fleet::new();
        fleet.source.configure(configuration(1, vec![route("/safe/", "books", Safe)]));
        fleet.list(1, "books-1", "books");
        start_instance(&fleet, 1).await;
        let node = fleet.start(1, "books").await;
        Fleet::wait_until_ready(&node).await;
        fleet.source.set_down(true);
        tokio::time::sleep(Duration::from_millis(300)).await;
        fleet.source.unlist("books-1");
        fleet.source.set_down(false);
        tokio::time::sleep(Duration::from_millis(150)).await;
        let mut client = Client::connect(fleet.outbound(1)).await;
        assert_eq!(client.request(&get("/safe/", "a")).await.head.status, 200);
        eventually("it is removed once the source has been undisturbed", || !node.is_ready()).await;
    });
}

#[rstest]
fn settings_that_change_hold_for_the_next_request() {
    run(async {
        let fleet = Fleet::new();
        fleet.source.configure(configuration(1, vec![route("/safe/", "books", Safe)]));
        fleet.list(1, "books-1", "books");
        let instance = start_instance(&fleet, 1).await;
        let node = fleet.start(1, "books").await;
        Fleet::wait_until_ready(&node).await;
        let mut client = Client::connect(fleet.outbound(1)).await;
        client.request(&get("/safe/", "a")).await;
        let mut settings = node.settings().as_ref().clone();
        settings.service = olivegate_types::ServiceName::new("desk");
        node.replace_settings(settings);
        client.request(&get("/safe/", "b")).await;
        let callers: Vec<String> =
            instance.received.borrow().iter().map(|request| request.field("x-caller")).collect();
        assert_eq!(callers, ["books", "desk"]);
    });
}

#[rstest]
fn a_draining_instance_gets_nothing_new() {
    run(async {
        let fleet = Fleet::new();
        fleet.source.configure(configuration(1, vec![route("/safe/", "books", Safe)]));
        let mut leaving = fleet.list(1, "books-1", "books");
        fleet.list(2, "books-2", "books");
        let first = start_instance(&fleet, 1).await;
        let second = start_instance(&fleet, 2).await;
        let node = fleet.start(1, "books").await;
        Fleet::wait_until_ready(&node).await;
        Fleet::wait_until_ready(&fleet.start(2, "books").await).await;
        leaving.state = InstanceState::Draining;
        fleet.source.list(leaving);
        let service = olivegate_types::ServiceName::new("books");
        let ready_count = || node.cluster.borrow().directory.ready_instances(&service).len();
        eventually("one instance is left", || ready_count() == 1).await;
        let before = first.runs();
        let mut client = Client::connect(fleet.outbound(1)).await;
        for number in 0..5 {
            assert_eq!(client.request(&get("/safe/", &format!("r{number}"))).await.head.status, 200);
        }
        assert_eq!((first.runs(), second.runs()), (before, 5));
    });
}

/// Guards against series of routes that are gone for good: they were told until the process ended, more with each
/// configuration that renamed its routes.
#[rstest]
fn routes_that_are_gone_have_no_series() {
    run(async {
        let fleet = Fleet::new();
        fleet.list(1, "books-1", "books");
        let _instance = start_instance(&fleet, 1).await;
        let node = fleet.start(1, "books").await;
        let mut client = Client::connect(fleet.outbound(1)).await;
        for version in 1..=5 {
            let path = format!("/v{version}/");
            fleet
                .source
                .configure(configuration(version, vec![route("/", "books", Safe), route(&path, "books", Safe)]));
            eventually("the version is in force", || node.known_state().configuration.0 == version).await;
            Fleet::wait_until_ready(&node).await;
            for path in ["/", &path, "/"] {
                assert_eq!(client.request(&get(path, "r1")).await.head.status, 200);
            }
        }
        let text = String::from_utf8(node.metrics.text()).unwrap();
        let routes: BTreeSet<&str> =
            text.lines().filter_map(|line| line.split_once("route=\"")?.1.split('"').next()).collect();
        assert_eq!(routes, ["to-books/", "to-books/v5/"].into());
        let answered = "answers_total{outcome=\"answered\",route=\"to-books/\"} 10";
        assert!(text.contains(answered), "a route that stays keeps its counts: {text}");
    });
}
