//! Latency that identity checks cost callers. A gate checks the identity of its instance with a health check
//! when something suggests that the instance may have ended.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use olivegate_sidecar::model::RetrySafety::Safe;
use rstest::rstest;

use crate::client::{Client, get};
use crate::instance::{Action, InstanceOptions, ReceivedRequest, TestInstance, response};
use crate::support::{Fleet, configuration, route, run};

const BOOKS: &str = "books";
const EDGE: u8 = 1;
const GATE: u8 = 2;
/// Number of requests, sent one after the other.
const REQUESTS: usize = 30;
/// Idle time after which the instance closes a connection, and the longer pause between two requests.
const IDLE_TIMEOUT: Duration = Duration::from_millis(50);
const PAUSE: Duration = Duration::from_millis(110);
/// Identity checks that may delay callers before the gate knows that the instance closes idle connections.
const MAX_CHECKS: usize = 4;

/// Counts the health checks that instances receive.
#[derive(Default)]
struct CheckCounter {
    checks: Cell<usize>,
}

impl CheckCounter {
    fn record(&self, request: &ReceivedRequest) {
        self.checks.set(self.checks.get() + usize::from(request.is_health_check()));
    }
}

async fn start_nodes(fleet: &Fleet) {
    fleet.source.configure(configuration(1, vec![route("/safe/", BOOKS, Safe)]));
    fleet.list(GATE, "books-2-1", BOOKS);
    Fleet::wait_until_ready(&fleet.start(GATE, BOOKS).await).await;
    Fleet::wait_until_ready(&fleet.start(EDGE, "desk").await).await;
}

/// Guards against callers that wait for an identity check each time the instance closes an idle connection.
#[rstest]
#[case::answered_at_once(Action::Sleep(0))]
#[case::answered_late(Action::Sleep(300))]
#[case::never_answered(Action::Sleep(60_000))]
fn an_instance_that_closes_idle_connections_gets_few_identity_checks(#[case] before_health_response: Action) {
    run(async move {
        let fleet = Fleet::new();
        let counter = Rc::new(CheckCounter::default());
        let script_counter = counter.clone();
        let script = move |request: &ReceivedRequest, _: usize| {
            script_counter.record(request);
            let ok = Action::Send(response(200, &request.id(), "body"));
            if request.is_health_check() { vec![before_health_response.clone(), ok] } else { vec![ok] }
        };
        let options = InstanceOptions { scripts_health_checks: true, idle_timeout: Some(IDLE_TIMEOUT) };
        TestInstance::start_with(fleet.instance_address(GATE), options, script).await;
        start_nodes(&fleet).await;
        for number in 0..REQUESTS {
            let response =
                Client::connect(fleet.outbound(EDGE)).await.request(&get("/safe/", &format!("r{number}"))).await;
            assert_eq!(response.head.status, 200, "request {number}");
            tokio::time::sleep(PAUSE).await;
        }
        let checks = counter.checks.get();
        assert!(checks <= MAX_CHECKS, "{checks} identity checks for {REQUESTS} requests");
    });
}

/// Guards against requests that wait for an identity check although their gate refuses them whatever its
/// result.
#[rstest]
fn a_request_that_is_refused_anyway_waits_for_no_identity_check() {
    run(async {
        let mut fleet = Fleet::new();
        fleet.retry_ratio = 0.0;
        fleet.retry_slack = 0.0;
        fleet.source.configure(configuration(1, vec![route("/safe/", BOOKS, Safe)]));
        let counter = Rc::new(CheckCounter::default());
        let gates = [GATE, GATE + 1];
        for machine in gates {
            fleet.list(machine, &format!("books-{machine}-1"), BOOKS);
        }
        for machine in gates {
            let script_counter = counter.clone();
            let script = move |request: &ReceivedRequest, _: usize| {
                script_counter.record(request);
                vec![Action::Close]
            };
            TestInstance::start(fleet.instance_address(machine), script).await;
            Fleet::wait_until_ready(&fleet.start(machine, BOOKS).await).await;
        }
        Fleet::wait_until_ready(&fleet.start(EDGE, "desk").await).await;
        // The first instance closes the connection, and the gate of the second one has no retry budget.
        Client::connect(fleet.outbound(EDGE)).await.request(&get("/safe/", "r")).await;
        assert_eq!(counter.checks.get(), 1, "identity checks by two gates");
    });
}
