//! Instances that forget connections which rest: what comes next on them is reset.

use std::time::Duration;

use olivegate_sidecar::model::RetrySafety::{Safe, Unsafe};
use rstest::rstest;

use crate::client::{Client, get, post};
use crate::instance::{Action, Seen, TestInstance, answer};
use crate::support::{Fleet, configuration, route, run};

/// Rest after which the instance has forgotten a connection.
const FORGETS_AFTER: Duration = Duration::from_millis(150);

fn forgetful(seen: &Seen, _before: usize) -> Vec<Action> {
    if seen.rested.is_some_and(|rested| rested > FORGETS_AFTER) {
        return vec![Action::Reset];
    }
    vec![Action::Send(answer(200, &seen.id(), "body"))]
}

async fn forgetful_instance() -> (Fleet, TestInstance) {
    let fleet = Fleet::new();
    let routes = vec![route("/safe/", "books", Safe), route("/once/", "books", Unsafe)];
    fleet.source.configure(configuration(1, routes));
    fleet.list(2, "books-1", "books");
    let instance = TestInstance::start(fleet.instance_address(2), forgetful).await;
    for (machine, service) in [(2, "books"), (1, "desk")] {
        Fleet::ready(&fleet.start(machine, service).await).await;
    }
    (fleet, instance)
}

#[rstest]
fn what_may_run_once_is_not_sent_on_a_connection_that_rested_long() {
    run(async {
        let (fleet, _instance) = forgetful_instance().await;
        let mut client = Client::connect(fleet.outbound(1)).await;
        for number in 0..3 {
            let answer = client.ask(&post("/once/", &format!("r{number}"), "x")).await;
            assert_eq!(answer.head.status, 200, "request {number}");
            tokio::time::sleep(FORGETS_AFTER * 2).await;
        }
    });
}

/// Guards against a lesson that still trusts rests which are forgotten, too.
#[rstest]
fn a_connection_that_was_forgotten_teaches_how_long_others_may_rest() {
    run(async {
        let (fleet, instance) = forgetful_instance().await;
        let mut client = Client::connect(fleet.outbound(1)).await;
        for number in 0..6 {
            client.ask(&get("/safe/", &format!("r{number}"))).await;
            tokio::time::sleep(FORGETS_AFTER * 2).await;
        }
        let forgotten = instance.seen.borrow().iter().filter(|seen| seen.rested > Some(FORGETS_AFTER)).count();
        assert!(forgotten <= 1, "{forgotten} requests went to a forgotten connection");
    });
}

/// Guards against a first rest that was long and so teaches to trust rests which are forgotten, too.
#[rstest]
#[case::long(FORGETS_AFTER * 4)]
#[case::longer(FORGETS_AFTER * 6)]
fn a_connection_that_was_forgotten_long_ago_teaches_as_much(#[case] first_rest: Duration) {
    run(async move {
        let (fleet, instance) = forgetful_instance().await;
        let mut client = Client::connect(fleet.outbound(1)).await;
        for number in 0..6 {
            client.ask(&get("/safe/", &format!("r{number}"))).await;
            let rest = if number == 0 { first_rest } else { FORGETS_AFTER * 2 };
            tokio::time::sleep(rest).await;
        }
        let forgotten = instance.seen.borrow().iter().filter(|seen| seen.rested > Some(FORGETS_AFTER)).count();
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
        let instance = TestInstance::start(fleet.instance_address(2), |seen, _| {
            vec![Action::Send(answer(200, &seen.id(), "body"))]
        })
        .await;
        for (machine, service) in [(2, "books"), (1, "desk")] {
            Fleet::ready(&fleet.start(machine, service).await).await;
        }
        let mut client = Client::connect(fleet.outbound(1)).await;
        for number in 0..9 {
            client.ask(&post("/once/", &format!("r{number}"), "x")).await;
            tokio::time::sleep(Duration::from_millis(120)).await;
        }
        // Four slots, of which three are used.
        assert!(instance.open.get() <= 4, "{} connections are open", instance.open.get());
    });
}
