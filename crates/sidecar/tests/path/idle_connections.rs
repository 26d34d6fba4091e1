//! Instances that drop idle connections without closing them: the next request on one is reset.

use std::time::Duration;

use olivegate_sidecar::model::RetrySafety::{Safe, Unsafe};
use rstest::rstest;

use crate::client::{Client, get, post};
use crate::instance::{Action, ReceivedRequest, TestInstance, response};
use crate::support::{Fleet, configuration, route, run};

/// Idle time after which the instance has dropped a connection.
const DROPPED_AFTER: Duration = Duration::from_millis(150);

fn respond_unless_dropped(request: &ReceivedRequest, _before: usize) -> Vec<Action> {
    if request.idle_for.is_some_and(|idle_for| idle_for > DROPPED_AFTER) {
        return vec![Action::Reset];
    }
    vec![Action::Send(response(200, &request.id(), "body"))]
}

async fn start_dropping_instance() -> (Fleet, TestInstance) {
    let fleet = Fleet::new();
    let routes = vec![route("/safe/", "books", Safe), route("/once/", "books", Unsafe)];
    fleet.source.configure(configuration(1, routes));
    fleet.list(2, "books-1", "books");
    let instance = TestInstance::start(fleet.instance_address(2), respond_unless_dropped).await;
    for (machine, service) in [(2, "books"), (1, "desk")] {
        Fleet::wait_until_ready(&fleet.start(machine, service).await).await;
    }
    (fleet, instance)
}

#[rstest]
fn what_may_run_once_is_not_sent_on_a_connection_that_was_idle_for_long() {
    run(async {
        let (fleet, _instance) = start_dropping_instance().await;
        let mut client = Client::connect(fleet.outbound(1)).await;
        for number in 0..3 {
            let response = client.request(&post("/once/", &format!("r{number}"), "x")).await;
            assert_eq!(response.head.status, 200, "request {number}");
            tokio::time::sleep(DROPPED_AFTER * 2).await;
        }
    });
}

/// Guards against a learnt idle time that is still longer than the one after which connections are dropped.
#[rstest]
fn a_reset_on_an_idle_connection_limits_the_idle_time_of_others() {
    run(async {
        let (fleet, instance) = start_dropping_instance().await;
        let mut client = Client::connect(fleet.outbound(1)).await;
        for number in 0..6 {
            client.request(&get("/safe/", &format!("r{number}"))).await;
            tokio::time::sleep(DROPPED_AFTER * 2).await;
        }
        let on_dropped =
            instance.received.borrow().iter().filter(|request| request.idle_for > Some(DROPPED_AFTER)).count();
        assert!(on_dropped <= 1, "{on_dropped} requests went to a dropped connection");
    });
}

/// Guards against a long first idle time from which nodes learn an idle time that is still too long.
#[rstest]
#[case::long(DROPPED_AFTER * 4)]
#[case::longer(DROPPED_AFTER * 6)]
fn a_reset_after_a_long_idle_time_limits_it_as_much(#[case] first_idle_time: Duration) {
    run(async move {
        let (fleet, instance) = start_dropping_instance().await;
        let mut client = Client::connect(fleet.outbound(1)).await;
        for number in 0..6 {
            client.request(&get("/safe/", &format!("r{number}"))).await;
            let idle_time = if number == 0 { first_idle_time } else { DROPPED_AFTER * 2 };
            tokio::time::sleep(idle_time).await;
        }
        let on_dropped =
            instance.received.borrow().iter().filter(|request| request.idle_for > Some(DROPPED_AFTER)).count();
        assert!(on_dropped <= 1, "{on_dropped} requests went to a dropped connection");
    });
}

#[rstest]
fn no_more_idle_connections_are_kept_than_requests_may_run() {
    run(async {
        let fleet = Fleet::new();
        fleet.source.configure(configuration(1, vec![route("/once/", "books", Unsafe)]));
        fleet.list(2, "books-1", "books");
        // Each request follows an idle time that is too long to reuse a connection for a request that may run
        // once.
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
        // The instance has four slots, of which three are used.
        assert!(instance.open_connections.get() <= 4, "{} connections are open", instance.open_connections.get());
    });
}
