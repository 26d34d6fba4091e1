//! Instances that fail requests while they look healthy.

use std::cell::Cell;
use std::rc::Rc;

use olivegate_sidecar::model::RetrySafety::{Safe, Unsafe};
use olivegate_types::InstanceName;
use rstest::rstest;

use crate::client::{Client, get, post};
use crate::instance::{Action, ReceivedRequest, TestInstance, response};
use crate::support::{Fleet, configuration, route, run};

/// Number of requests, sent one after the other.
const REQUESTS: usize = 120;

fn respond_with(status: u16) -> impl Fn(&ReceivedRequest, usize) -> Vec<Action> {
    move |request, _| vec![Action::Sleep(2), Action::Send(response(status, &request.id(), "body"))]
}

/// Responds at once, with status 500 while `fails` is set.
fn failing_while(fails: Rc<Cell<bool>>) -> impl Fn(&ReceivedRequest, usize) -> Vec<Action> {
    move |request, _| vec![Action::Send(response(if fails.get() { 500 } else { 200 }, &request.id(), "body"))]
}

/// An edge on machine 1, a failing instance on machine 2, a healthy one on machine 3.
async fn one_of_two_fails(fails: Rc<Cell<bool>>) -> (Fleet, TestInstance, TestInstance) {
    one_of_two_fails_with(1.0, 100_000.0, fails).await
}

async fn one_of_two_fails_with(
    retry_ratio: f64,
    retry_slack: f64,
    fails: Rc<Cell<bool>>,
) -> (Fleet, TestInstance, TestInstance) {
    let mut fleet = Fleet::new();
    fleet.retry_ratio = retry_ratio;
    fleet.retry_slack = retry_slack;
    let routes = vec![route("/safe/", "books", Safe), route("/once/", "books", Unsafe)];
    fleet.source.configure(configuration(1, routes));
    fleet.list(2, "books-1", "books");
    fleet.list(3, "books-2", "books");
    let failing = TestInstance::start(fleet.instance_address(2), failing_while(fails)).await;
    let healthy = TestInstance::start(fleet.instance_address(3), respond_with(200)).await;
    for (machine, service) in [(2, "books"), (3, "books"), (1, "desk")] {
        Fleet::wait_until_ready(&fleet.start(machine, service).await).await;
    }
    (fleet, failing, healthy)
}

/// Without a retry budget the client gets the instance's failure. With a budget so small that each of many
/// nodes gets only what one request per node and window allows, the gates still retry as much as the service
/// as a whole may.
#[rstest]
#[case::nothing_left(0.0, 0.0, 0)]
#[case::a_fifth_of_the_requests(0.2, 0.0, 12)]
fn retries_are_bounded_at_the_gates(#[case] ratio: f64, #[case] slack: f64, #[case] at_least: usize) {
    run(async move {
        let (fleet, failing, healthy) = one_of_two_fails_with(ratio, slack, Rc::new(Cell::new(true))).await;
        for number in 0..REQUESTS {
            // Each request uses its own connection, as if each came from another edge.
            let mut client = Client::connect(fleet.outbound(1)).await;
            client.request(&get("/safe/", &format!("r{number}"))).await;
        }
        let retries = failing.runs() + healthy.runs() - REQUESTS;
        assert!(retries <= (ratio * REQUESTS as f64 + slack) as usize, "{retries} retries");
        assert!(retries >= at_least.min(failing.runs() / 2), "{retries} retries of {} failures", failing.runs());
    });
}

#[rstest]
fn a_safe_request_that_an_instance_fails_is_served_by_another() {
    run(async {
        let (fleet, failing, _healthy) = one_of_two_fails(Rc::new(Cell::new(true))).await;
        let mut client = Client::connect(fleet.outbound(1)).await;
        for number in 0..REQUESTS {
            let served = client.request(&get("/safe/", &format!("r{number}"))).await;
            assert_eq!(served.head.status, 200, "request {number}");
        }
        assert!(failing.runs() > 0, "the failing instance got no request");
    });
}

#[rstest]
fn an_instance_that_fails_at_once_draws_no_more_requests_than_others() {
    run(async {
        let (fleet, failing, healthy) = one_of_two_fails(Rc::new(Cell::new(true))).await;
        let mut client = Client::connect(fleet.outbound(1)).await;
        for number in 0..REQUESTS {
            client.request(&post("/once/", &format!("r{number}"), "x")).await;
        }
        assert_eq!(failing.runs() + healthy.runs(), REQUESTS, "a request that may run once ran again");
        assert!(failing.runs() < REQUESTS / 4, "{} of {REQUESTS} went to the failing instance", failing.runs());
    });
}

#[rstest]
fn the_instances_own_failure_is_passed_on_when_no_other_can_serve() {
    run(async {
        let fleet = Fleet::new();
        fleet.source.configure(configuration(1, vec![route("/safe/", "books", Safe)]));
        fleet.list(2, "books-1", "books");
        let _failing = TestInstance::start(fleet.instance_address(2), respond_with(500)).await;
        Fleet::wait_until_ready(&fleet.start(2, "books").await).await;
        Fleet::wait_until_ready(&fleet.start(1, "desk").await).await;
        let mut client = Client::connect(fleet.outbound(1)).await;
        let failed = client.request(&get("/safe/", "r1")).await;
        assert_eq!((failed.head.status, failed.field("x-signature").as_deref()), (500, Some("s-r1")));
    });
}

/// The gate never sends an instance more requests than it has slots, so these refusals show no lack of
/// capacity: with fewer slots in use the instance would serve less and refuse as often.
#[rstest]
fn an_instance_that_refuses_at_random_keeps_its_slots() {
    run(async {
        let fleet = Fleet::new();
        fleet.source.configure(configuration(1, vec![route("/safe/", "books", Safe)]));
        fleet.list(2, "books-1", "books");
        let refusing = |request: &ReceivedRequest, before: usize| {
            let plain = response(if before.is_multiple_of(2) { 503 } else { 200 }, &request.id(), "body");
            let refusal = plain.replacen("\r\n", "\r\nx-not-run: full\r\n", 1);
            vec![Action::Send(if before.is_multiple_of(2) { refusal } else { plain })]
        };
        let instance = TestInstance::start(fleet.instance_address(2), refusing).await;
        let gate = fleet.start(2, "books").await;
        Fleet::wait_until_ready(&gate).await;
        let name = InstanceName::new("books-1");
        let mut client = Client::connect(fleet.outbound(2)).await;
        client.request(&get("/safe/", "first")).await;
        let before = gate.gate.status(&name);
        for number in 0..REQUESTS {
            client.request(&get("/safe/", &format!("r{number}"))).await;
        }
        assert!(instance.runs() > REQUESTS / 2);
        assert_eq!(gate.gate.status(&name), before);
        assert!(before.ends_with("limit=3"), "{before}");
    });
}
