//! Instances that forget connections which rest: what comes next on them is reset.

use std::time::Duration;

use olivegate_sidecar::model::RetrySafety::{Safe, Unsafe};
use rstest::rstest;

use crate::client::{Client, get, post};
use crate::instance::{Action, ReceivedRequest, TestInstance, response};
use crate::support::{Fleet, configuration, route, run};

/// Rest after which the instance has forgotten a connection.
const FORGOTTEN_AFTER: Duration = Duration::from_millis(150);

fn respond_unless_forgotten(request: &ReceivedRequest, _before: usize) -> Vec<Action> {
    if request.idle_for.is_some_and(|idle_for| idle_for > FORGOTTEN_AFTER) {
        return vec![Action::Reset];
    }
    vec![Action::Send(response(200, &request.id(), "body"))]
}

async fn start_forgetful_instance() -> (Fleet, TestInstance) {
    let fleet = Fleet::new();
    let routes = vec![route("/safe/", "books", Safe), route("/once/", "books", Unsafe)];
    fleet.source.configure(configuration(1, routes));
    fleet.list(2, "books-1", "books");
    let instance = TestInstance::start(fleet.instance_address(2), respond_unless_forgotten).await;
    for (machine, service) in [(2, "books"), (1, "desk")] {
        Fleet::wait_until_ready(&fleet.start(machine, service).await).await;
    }
    (fleet, instance)
}

#[rstest]
fn what_may_run_once_is_not_sent_on_a_connection_that_rested_long() {
    run(async {
        let (fleet, _instance) = start_forgetful_instance().await;
        let mut client = Client::connect(fleet.outbound(1)).await;
        for number in 0..3 {
            let response = client.request(&post("/once/", &format!("r{number}"), "x")).await;
            assert_eq!(response.head.status, 200, "request {number}");
            tokio::time::sleep(FORGOTTEN_AFTER * 2).await;
        }
    });
}

/// Guards against a lesson that still trusts rests which are forgotten, too.
#[rstest]
fn a_connection_that_was_forgotten_teaches_how_long_others_may_rest() {
    run(async {
        let (fleet, instance) = start_forgetful_instance().await;
        let mut client = Client::connect(fleet.outbound(1)).await;
        for number in 0..6 {
            client.request(&get("/safe/", &format!("r{number}"))).await;
            tokio::time::sleep(FORGOTTEN_AFTER * 2).await;
        }
        let forgotten =
            instance.received.borrow().iter().filter(|request| request.idle_for > Some(FORGOTTEN_AFTER)).count();
        assert!(forgotten <= 1, "{forgotten} requests went to a forgotten connection");
    });
}

/// Guards against a first rest that was long and so teaches to trust rests which are forgotten, too.
#[rstest]
#[case::long(FORGOTTEN_AFTER * 4)]
#[case::longer(FORGOTTEN_AFTER * 6)]
fn a_connection_that_was_forgotten_long_ago_teaches_as_much(#[case] first_idle_time: Duration) {
    run(async move {
        let (fleet, instance) = start_forgetful_instance().await;
        let mut client = Client::connect(fleet.outbound(1)).await;
        for number in 0..6 {
            client.request(&get("/safe/", &format!("r{number}"))).await;
            let idle_time = if number == 0 { first_idle_time } else { FORGOTTEN_AFTER * 2 };
            tokio::time::sleep(idle_time).await;
        }
        let forgotten =
            instance.received.borrow().iter().filter(|request| request.idle_for > Some(FORGOTTEN_AFTER)).count();
        assert!(forgotten <= 1, "{forgotten} requests went to a forgotten connection");
    });
}

#[rstest]
fn no_more_connections_rest_than_requests_may_run() {
    run(async {
        let fleet = Fleet::new();
        fleet.source.configure(configuration(1, vec![route("/once/", "books", Unsafe)]));
        fleet.list(2, "books-1", "books");
        // Each request comes after a rest that is too long for what may run once.
        let instance = TestInstance::start(fleet.instance_address(2), |request, _| {
            vec![Action::Send(response(200, &request.id(), "body"))]
        })
        .await;
        for (machine, service) in [(2, "books"), (1, "desk")] {
            Fleet::wait_until_ready(&fleet.start(machine, service).await).await;
        }
        let mut client = Client::connect(fleet.outbound(1)).await;
        for number in 0..9 {
            client.request(&post("/once/", &format!("r{number}"), "x")).await;
            tokio::time::sleep(Duration::from_millis(120)).await;
        }
        // Four slots, of which three are used.
        assert!(instance.open_connections.get() <= 4, "{} connections are open", instance.open_connections.get());
    });
}
