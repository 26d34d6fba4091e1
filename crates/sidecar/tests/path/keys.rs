//! API keys: which tenant a request belongs to, what instances learn of it, and how long a key is accepted.

use std::rc::Rc;
use std::time::Duration;

use olivegate_authentication::Tenant;
use olivegate_sidecar::model::RetrySafety::Safe;
use olivegate_sidecar::model::{Configuration, Route};
use olivegate_sidecar::state::Node;
use rstest::rstest;

use crate::client::{Client, call, get, keyed};
use crate::instance::{Action, ReceivedRequest, TestInstance, response};
use crate::support::{Fault, Fleet, configuration, eventually, route, run, tenant};

const PROVEN_WITHIN: Duration = Duration::from_millis(3_000);

fn public_route(path: &str) -> Route {
    Route { is_public: true, ..route(path, "books", Safe) }
}

fn keyed_configuration(version: u64, tenants: Vec<Tenant>) -> Configuration {
    let routes = vec![route("/safe/", "books", Safe), public_route("/open/")];
    Configuration { tenants, ..configuration(version, routes) }
}

async fn start_node(fleet: &Fleet) -> (Rc<Node>, TestInstance) {
    fleet.source.configure(keyed_configuration(1, vec![tenant("left", &["one"]), tenant("right", &["two"])]));
    fleet.list(1, "books-1", "books");
    let script = |request: &ReceivedRequest, _| match request.id().as_str() {
        "slow" => vec![Action::Sleep(400), Action::Send(response(200, "slow", "ok"))],
        id => vec![Action::Send(response(200, id, "ok"))],
    };
    let instance = TestInstance::start(fleet.instance_address(1), script).await;
    let node = fleet.start(1, "books").await;
    Fleet::wait_until_ready(&node).await;
    (node, instance)
}

async fn request_status(fleet: &Fleet, machine: u8, request: &str) -> u16 {
    Client::connect(fleet.outbound(machine)).await.request(request).await.head.status
}

#[rstest]
fn instances_are_told_the_tenant_and_never_the_key() {
    run(async {
        let fleet = Fleet::new();
        let (_node, instance) = start_node(&fleet).await;
        assert_eq!(request_status(&fleet, 1, &keyed("/safe/", "a", "two")).await, 200);
        assert_eq!(
            request_status(&fleet, 1, &get("/open/", "b").replace("x-id", "x-holder: forged\r\nx-id")).await,
            200
        );
        let received = instance.received.borrow();
        assert_eq!((received[0].field("x-holder").as_str(), received[0].field("x-key").as_str()), ("right", ""));
        assert_eq!(received[1].field("x-holder"), "", "a tenant name that the client sent itself");
    });
}

#[rstest]
#[case::unknown(keyed("/safe/", "a", "three"))]
#[case::missing(get("/safe/", "a"))]
#[case::unknown_on_a_public_route(keyed("/open/", "a", "three"))]
#[case::as_long_as_a_page(keyed("/safe/", "a", &"x".repeat(4_000)))]
fn nothing_runs_without_a_valid_key(#[case] request: String) {
    run(async {
        let fleet = Fleet::new();
        let (_node, instance) = start_node(&fleet).await;
        let response = Client::connect(fleet.outbound(1)).await.request(&request).await;
        assert_eq!(response.head.status, 401);
        assert!(response.field("www-authenticate").is_some());
        assert_eq!(instance.runs(), 0);
    });
}

/// What distinguishes a call from a client's request affects only its importance, and does not replace a key.
#[rstest]
#[case::forged_id(call("/safe/", "slow.1", 200))]
#[case::same_deadline(call("/safe/", "x", 1_900))]
fn what_looks_like_a_call_of_a_running_request_needs_a_key(#[case] forged: String) {
    run(async {
        let fleet = Fleet::new();
        let (_node, instance) = start_node(&fleet).await;
        let mut running = Client::connect(fleet.outbound(1)).await;
        running.send(&keyed("/safe/", "slow", "one")).await;
        eventually("the request runs", || instance.runs() == 1).await;
        // A connection that has carried requests that look like calls, on public routes.
        let mut client = Client::connect(fleet.outbound(1)).await;
        for index in 0..10 {
            let on_public_route = call("/open/", &format!("slow.{index}"), 200);
            assert_eq!(client.request(&on_public_route).await.head.status, 200);
        }
        assert_eq!(client.request(&forged).await.head.status, 401);
        assert_eq!(running.next_response().await.unwrap().head.status, 200);
        assert_eq!(instance.runs(), 11);
    });
}

#[rstest]
fn a_revoked_key_is_refused_and_a_moved_one_belongs_to_its_new_tenant() {
    run(async {
        let fleet = Fleet::new();
        let (node, instance) = start_node(&fleet).await;
        fleet.source.configure(keyed_configuration(2, vec![tenant("right", &["one"])]));
        eventually("the next version is in force", || node.known_state().configuration.0 == 2).await;
        assert_eq!(request_status(&fleet, 1, &keyed("/safe/", "a", "two")).await, 401);
        assert_eq!(request_status(&fleet, 1, &keyed("/safe/", "b", "one")).await, 200);
        assert_eq!(instance.received.borrow()[0].field("x-holder"), "right");
    });
}

#[rstest]
#[case::shared_key(vec![tenant("left", &["one"]), tenant("right", &["one"])])]
#[case::empty_key(vec![tenant("left", &[""])])]
fn invalid_tenants_leave_the_last_valid_ones_in_force(#[case] invalid: Vec<Tenant>) {
    run(async {
        let fleet = Fleet::new();
        let (node, _instance) = start_node(&fleet).await;
        fleet.source.configure(keyed_configuration(2, invalid));
        tokio::time::sleep(Duration::from_millis(300)).await;
        assert_eq!(node.known_state().configuration.0, 1);
        assert_eq!(request_status(&fleet, 1, &keyed("/safe/", "a", "two")).await, 200);
        fleet.source.configure(keyed_configuration(3, vec![tenant("left", &["one"])]));
        eventually("a valid configuration is applied", || node.known_state().configuration.0 == 3).await;
    });
}

#[rstest]
fn before_the_first_configuration_no_key_is_denied() {
    run(async {
        let fleet = Fleet::new();
        fleet.source.set_down(true);
        fleet.start(1, "books").await;
        assert_eq!(request_status(&fleet, 1, &keyed("/safe/", "a", "one")).await, 503);
    });
}

fn fail_closed_fleet() -> Fleet {
    let mut fleet = Fleet::new();
    fleet.keys_proven_within = Some(PROVEN_WITHIN);
    fleet
}

#[rstest]
fn keys_are_accepted_only_while_the_configuration_is_proven_to_be_recent() {
    run(async {
        let fleet = fail_closed_fleet();
        let (node, instance) = start_node(&fleet).await;
        eventually("the configuration is proven", || node.access.proof_age(olivegate_clock::now()).is_some())
            .await;
        assert_eq!(request_status(&fleet, 1, &keyed("/safe/", "a", "one")).await, 200);
        fleet.source.set_fault(Fault::Silent);
        tokio::time::sleep(PROVEN_WITHIN).await;
        let refused = Client::connect(fleet.outbound(1)).await.request(&keyed("/safe/", "b", "one")).await;
        assert_eq!(refused.head.status, 503);
        assert!(refused.field("retry-after").is_some());
        assert_eq!(instance.runs(), 1);
        assert_eq!(request_status(&fleet, 1, &get("/open/", "c")).await, 200, "public routes are still served");
        assert_eq!(
            request_status(&fleet, 1, &keyed("/safe/", "d", "three")).await,
            401,
            "the key belongs to no tenant"
        );
        fleet.source.set_fault(Fault::None);
        tokio::time::sleep(Duration::from_millis(2_500)).await;
        assert_eq!(request_status(&fleet, 1, &keyed("/safe/", "e", "one")).await, 200);
    });
}

#[rstest]
fn a_node_that_the_source_does_not_answer_serves_on_by_its_peers_proof() {
    run(async {
        let fleet = fail_closed_fleet();
        let (_reader, _instance) = start_node(&fleet).await;
        fleet.list(2, "desk-1", "desk");
        let own_source = fleet.source.separate_handle();
        let node = fleet.start_with_source(2, "desk", own_source.clone()).await;
        Fleet::wait_until_ready(&node).await;
        own_source.set_fault(Fault::Silent);
        tokio::time::sleep(PROVEN_WITHIN + Duration::from_millis(1_000)).await;
        for index in 0..5 {
            assert_eq!(request_status(&fleet, 2, &keyed("/safe/", &format!("a{index}"), "one")).await, 200);
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        // When the reader loses the source as well, its old proof no longer helps any node.
        fleet.source.set_fault(Fault::Silent);
        tokio::time::sleep(PROVEN_WITHIN).await;
        assert_eq!(request_status(&fleet, 2, &keyed("/safe/", "b", "one")).await, 503);
    });
}

#[rstest]
fn a_configuration_that_cannot_be_applied_proves_nothing_of_the_one_before() {
    run(async {
        let fleet = fail_closed_fleet();
        let (_node, _instance) = start_node(&fleet).await;
        fleet.source.configure(keyed_configuration(2, vec![tenant("left", &["two"]), tenant("right", &["two"])]));
        tokio::time::sleep(PROVEN_WITHIN + Duration::from_millis(200)).await;
        assert_eq!(request_status(&fleet, 1, &keyed("/safe/", "a", "one")).await, 503);
    });
}

/// A node starts right after the source was restored from an older backup, so its first read shows a key that
/// had been revoked. A node that was running before waits until the operator has had time to write again what
/// was lost. Guards against a new node that knows of no restore, takes its first read as proof and accepts
/// the key with status 200: the wait has to begin with a node's first epoch, too.
#[rstest]
fn a_node_that_starts_after_the_source_lost_a_revocation_does_not_accept_the_key() {
    run(async {
        let mut fleet = Fleet::new();
        fleet.keys_proven_within = Some(PROVEN_WITHIN);
        fleet.source.configure(keyed_configuration(1, vec![tenant("left", &["one", "two"])]));
        fleet.list(1, "books-1", "books");
        let backup = fleet.source.backup();
        fleet.source.configure(keyed_configuration(2, vec![tenant("left", &["two"])]));
        fleet.source.restore(backup);
        let script = |request: &ReceivedRequest, _| vec![Action::Send(response(200, &request.id(), "ok"))];
        let instance = TestInstance::start(fleet.instance_address(1), script).await;
        Fleet::wait_until_ready(&fleet.start(1, "books").await).await;
        for number in 0..5 {
            let request = keyed("/safe/", &format!("r{number}"), "one");
            assert_eq!(request_status(&fleet, 1, &request).await, 503, "request {number}");
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        fleet.source.configure(keyed_configuration(2, vec![tenant("left", &["two"])]));
        tokio::time::sleep(Duration::from_millis(2_000)).await;
        assert_eq!(request_status(&fleet, 1, &keyed("/safe/", "late", "one")).await, 401);
        assert_eq!(instance.runs(), 0);
        assert_eq!(request_status(&fleet, 1, &keyed("/safe/", "held", "two")).await, 200);
    });
}
