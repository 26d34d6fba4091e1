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
    Configuration { tenants: Some(tenants), ..configuration(version, routes) }
}

async fn start_node(fleet: &Fleet) -> (Rc<Node>, TestInstance) {
    let tenants = vec![tenant("left", &["one"]), tenant("right", &["two"])];
    start_node_with(fleet, keyed_configuration(1, tenants)).await
}

async fn start_node_with(fleet: &Fleet, configuration: Configuration) -> (Rc<Node>, TestInstance) {
    fleet.source.configure(configuration);
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

/// Checks that no request gets in on a route that is not public, with a removed, an unknown or no key, and that a
/// public route is served without a key only.
async fn assert_no_key_is_held(fleet: &Fleet, machine: u8, round: &str) {
    let id = |name: &str| format!("{round}-{name}");
    for (request, expected) in [
        (keyed("/safe/", &id("removed"), "one"), 401),
        (keyed("/safe/", &id("unknown"), "three"), 401),
        (get("/safe/", &id("keyless")), 401),
        (keyed("/open/", &id("removed-public"), "one"), 401),
        (keyed("/open/", &id("unknown-public"), "three"), 401),
        (get("/open/", &id("public")), 200),
    ] {
        let status = request_status(fleet, machine, &request).await;
        assert_eq!(status, expected, "machine {machine}: {request}");
    }
}

/// Names of the requests that an instance has run on routes that are not public.
fn protected_runs(instance: &TestInstance) -> Vec<String> {
    let received = instance.received.borrow();
    let protected = received.iter().filter(|request| request.head.path() == "/safe/");
    protected.map(ReceivedRequest::id).collect()
}

/// Guards against routes that open to everybody when the last tenant is taken out of the configuration: a node
/// took an empty list of tenants for none, and ran requests with the removed key, with any other and without one.
#[rstest]
fn an_empty_list_of_tenants_lets_nobody_in() {
    run(async {
        let fleet = Fleet::new();
        let (node, instance) = start_node(&fleet).await;
        assert_eq!(request_status(&fleet, 1, &keyed("/safe/", "held", "one")).await, 200);
        fleet.source.configure(keyed_configuration(2, vec![]));
        eventually("the empty list is in force", || node.known_state().configuration.0 == 2).await;
        assert_no_key_is_held(&fleet, 1, "emptied").await;
        assert_eq!(protected_runs(&instance), ["held"]);
    });
}

/// Guards against a node that forgets on its way to other nodes, or on a restart, that the list is there: the
/// second node learns the configuration from the first one, and the third starts with the empty list.
#[rstest]
fn nodes_that_learn_an_empty_list_from_others_or_start_with_it_let_nobody_in() {
    run(async {
        let fleet = Fleet::new();
        let (_node, instance) = start_node(&fleet).await;
        fleet.list(2, "desk-1", "desk");
        let own_source = fleet.source.separate_handle();
        let second = fleet.start_with_source(2, "desk", own_source.clone()).await;
        Fleet::wait_until_ready(&second).await;
        own_source.set_fault(Fault::Silent);
        fleet.source.configure(keyed_configuration(2, vec![]));
        eventually("the empty list is in force", || second.known_state().configuration.0 == 2).await;
        assert_no_key_is_held(&fleet, 2, "learned").await;
        let third = fleet.start(3, "desk").await;
        Fleet::wait_until_ready(&third).await;
        eventually("the empty list is in force", || third.known_state().configuration.0 == 2).await;
        assert_no_key_is_held(&fleet, 3, "started").await;
        assert_eq!(protected_runs(&instance), Vec::<String>::new());
    });
}

/// Versions with tenants and versions with an empty list follow each other while a node is cut off from the source:
/// each key counts in the versions that hold it, and in no other.
#[rstest]
fn a_list_that_comes_and_goes_lets_in_the_keys_that_it_holds() {
    run(async {
        let fleet = fail_closed_fleet();
        let (node, instance) = start_node(&fleet).await;
        fleet.list(2, "desk-1", "desk");
        let own_source = fleet.source.separate_handle();
        let cut_off = fleet.start_with_source(2, "desk", own_source.clone()).await;
        Fleet::wait_until_ready(&cut_off).await;
        own_source.set_fault(Fault::Silent);
        for round in 0..3_u64 {
            let emptied = 2 * round + 2;
            fleet.source.configure(keyed_configuration(emptied, vec![]));
            for (machine, node) in [(1, &node), (2, &cut_off)] {
                eventually("the empty list is in force", || node.known_state().configuration.0 == emptied).await;
                assert_no_key_is_held(&fleet, machine, &format!("round-{round}")).await;
            }
            let key = format!("key-{round}");
            fleet.source.configure(keyed_configuration(emptied + 1, vec![tenant("left", &[&key])]));
            for (machine, node) in [(1, &node), (2, &cut_off)] {
                eventually("the next version is in force", || node.known_state().configuration.0 == emptied + 1)
                    .await;
                wait_until_let_in(&fleet, machine, &key).await;
                let status = request_status(&fleet, machine, &keyed("/safe/", "late", "one")).await;
                assert_eq!(status, 401, "round {round}, machine {machine}");
            }
        }
        assert!(protected_runs(&instance).iter().all(|id| id == "held"), "{:?}", protected_runs(&instance));
    });
}

/// Sends requests with `key` until one is served; panics after 2 s. Until the version is proven to be recent they
/// are refused as not run.
async fn wait_until_let_in(fleet: &Fleet, machine: u8, key: &str) {
    let deadline = tokio::time::Instant::now() + Duration::from_secs(2);
    loop {
        match request_status(fleet, machine, &keyed("/safe/", "held", key)).await {
            200 => return,
            status => assert_eq!(status, 503, "machine {machine}"),
        }
        assert!(tokio::time::Instant::now() < deadline, "machine {machine}: {key} is not let in");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// A version that can't be applied after an empty list leaves that one in force: nobody is let in by it.
#[rstest]
fn an_empty_list_stays_in_force_when_the_next_version_is_invalid() {
    run(async {
        let fleet = Fleet::new();
        let (node, instance) = start_node(&fleet).await;
        fleet.source.configure(keyed_configuration(2, vec![]));
        eventually("the empty list is in force", || node.known_state().configuration.0 == 2).await;
        fleet.source.configure(keyed_configuration(3, vec![tenant("left", &["one"]), tenant("right", &["one"])]));
        tokio::time::sleep(Duration::from_millis(300)).await;
        assert_eq!(node.known_state().configuration.0, 2);
        assert_no_key_is_held(&fleet, 1, "invalid").await;
        assert_eq!(protected_runs(&instance), Vec::<String>::new());
    });
}

fn keyless_configuration(version: u64) -> Configuration {
    Configuration { tenants: None, ..keyed_configuration(version, vec![]) }
}

/// Without a list of tenants no key is needed. One that is carried may have been withdrawn together with the list, so
/// it is refused all the same; and no instance sees a key, or a tenant that its client wrote itself.
async fn assert_only_keyless_requests_run(fleet: &Fleet, instance: &TestInstance) {
    for (index, path) in ["/safe/", "/open/"].into_iter().enumerate() {
        for (name, key) in [("removed", "one"), ("unknown", "three")] {
            let request = keyed(path, &format!("{name}-{index}"), key);
            assert_eq!(request_status(fleet, 1, &request).await, 401, "{request}");
        }
        let forged = get(path, &format!("keyless-{index}")).replace("x-id", "x-holder: forged\r\nx-id");
        assert_eq!(request_status(fleet, 1, &forged).await, 200, "{forged}");
    }
    let received = instance.received.borrow();
    assert_eq!(received.len(), 2);
    assert!(received.iter().all(|request| request.field("x-holder").is_empty()));
}

#[rstest]
fn where_there_never_was_a_list_of_tenants_only_requests_without_a_key_run() {
    run(async {
        let fleet = Fleet::new();
        let (_node, instance) = start_node_with(&fleet, keyless_configuration(1)).await;
        assert_only_keyless_requests_run(&fleet, &instance).await;
    });
}

#[rstest]
fn after_the_list_of_tenants_is_gone_only_requests_without_a_key_run() {
    run(async {
        let fleet = Fleet::new();
        let (node, instance) = start_node(&fleet).await;
        fleet.source.configure(keyless_configuration(2));
        eventually("the list is gone", || node.known_state().configuration.0 == 2).await;
        assert_only_keyless_requests_run(&fleet, &instance).await;
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
