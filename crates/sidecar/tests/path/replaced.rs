//! Instances that were replaced at their address while the source still lists their predecessors.
//!
//! These tests guard against callers that get `503 no-instance` within a second of the end of some instances
//! although a healthy one runs all the time, and against many refused retries after all machines were lost at
//! once. An instance ends, and its process starts again at the same address under another name. Requests
//! offered for the old name reach it and are rejected, and each rejection counts as an attempt, so after two
//! of them the route allows no third: attempts `books-2-1:wrong-instance,books-1-1:wrong-instance`, 59 ms
//! after the second restart, while two other instances ran. The local gate had seen the end, since the port
//! refused connections, but applied it only to the exchange that had failed and still sent the next request
//! to the port.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use olivegate_sidecar::model::InstanceState::Ready;
use olivegate_sidecar::model::RetrySafety::{Safe, Unsafe};
use olivegate_sidecar::model::{Incarnation, RetrySafety};
use olivegate_types::{InstanceName, ServiceName};
use rstest::rstest;

use crate::client::{Client, get, post};
use crate::instance::{Action, InstanceOptions, ReceivedRequest, TestInstance, response};
use crate::support::{Fleet, configuration, route, run};

const BOOKS: &str = "books";
/// Machine that clients connect to; it has no instance of the service.
const EDGE: u8 = 1;
/// Machines of instances that crash and restart; the one on `UNAFFECTED` runs all the time.
const RESTARTED: [u8; 4] = [2, 3, 4, 5];
const UNAFFECTED: u8 = 6;
/// Time from the crash of an instance to its restart.
const RESTART_DELAY: Duration = Duration::from_millis(150);
/// Number of requests that are sent at the same time.
const CONCURRENT_REQUESTS: usize = 24;
/// Time limit of a request that nothing delays: a few hops on loopback, beside other load.
const PROMPT: Duration = Duration::from_millis(1_500);

/// Number of requests that reached an instance that they were not meant for.
type Misdirected = Rc<Cell<usize>>;

fn instance_name(machine: u8, start_number: u32) -> String {
    format!("books-{machine}-{start_number}")
}

/// Starts the instance `name`, which rejects requests for other instances and takes 2 s for `/safe/slow`.
async fn serve(fleet: &Fleet, machine: u8, name: String, misdirected: Misdirected) -> TestInstance {
    let script = move |request: &ReceivedRequest, _: usize| {
        if request.field("x-expected") != name {
            if !request.is_health_check() {
                misdirected.set(misdirected.get() + 1);
            }
            let rejection = response(421, &request.id(), "");
            return vec![Action::Send(rejection.replacen("\r\n", &format!("\r\nx-instance: {name}\r\n"), 1))];
        }
        let ok = Action::Send(response(200, &request.id(), "body"));
        if request.head.path() == "/safe/slow" { vec![Action::Sleep(2_000), ok] } else { vec![ok] }
    };
    TestInstance::start(fleet.instance_address(machine), script).await
}

fn new_fleet() -> Fleet {
    let fleet = Fleet::new();
    let routes = vec![route("/safe/", BOOKS, Safe), route("/once/", BOOKS, Unsafe)];
    fleet.source.configure(configuration(1, routes));
    fleet.list(EDGE, "desk-1", "desk");
    fleet
}

async fn start_nodes(fleet: &Fleet) {
    for machine in RESTARTED.into_iter().chain([UNAFFECTED]) {
        Fleet::wait_until_ready(&fleet.start(machine, BOOKS).await).await;
    }
    Fleet::wait_until_ready(&fleet.start(EDGE, "desk").await).await;
}

fn request(safety: RetrySafety, number: usize) -> String {
    match safety {
        Safe => get("/safe/", &format!("r{number}")),
        Unsafe => post("/once/", &format!("r{number}"), "body"),
    }
}

/// Sends [`CONCURRENT_REQUESTS`] at the same time; returns how many were served within [`PROMPT`].
async fn count_served_promptly(fleet: &Fleet, safety: RetrySafety) -> usize {
    let send_request = |number| {
        let (edge, text) = (fleet.outbound(EDGE), request(safety, number));
        async move {
            let sent_at = tokio::time::Instant::now();
            let status = Client::connect(edge).await.request(&text).await.head.status;
            status == 200 && sent_at.elapsed() < PROMPT
        }
    };
    let served = futures::future::join_all((0..CONCURRENT_REQUESTS).map(send_request)).await;
    served.into_iter().filter(|served| *served).count()
}

/// Crashes the instances while each of them runs requests.
async fn crash_under_load(fleet: &Fleet, instances: &[TestInstance]) {
    let send_request = |number| {
        let (edge, text) = (fleet.outbound(EDGE), get("/safe/slow", &format!("s{number}")));
        async move { Client::connect(edge).await.request(&text).await }
    };
    let requests = futures::future::join_all((0..CONCURRENT_REQUESTS / 2).map(send_request));
    let crashes = async {
        tokio::time::sleep(RESTART_DELAY).await;
        instances.iter().for_each(TestInstance::crash);
    };
    futures::join!(requests, crashes);
}

/// How an instance restarts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Restart {
    /// Under a new name.
    NewName,
    /// Under the same name; its entries show no incarnation.
    SameName,
    /// Under the same name; its entries show the new incarnation.
    SameNameNewIncarnation,
}

fn list(fleet: &Fleet, machine: u8, start_number: u32, restart: Restart) {
    let incarnation = match restart {
        Restart::SameNameNewIncarnation => Incarnation(1_700_000_000_000 + u64::from(start_number)),
        _ => Incarnation::UNKNOWN,
    };
    fleet.list_with_incarnation(machine, &listed_name(machine, start_number, restart), BOOKS, Ready, incarnation);
}

fn listed_name(machine: u8, start_number: u32, restart: Restart) -> String {
    if restart == Restart::NewName { instance_name(machine, start_number) } else { instance_name(machine, 1) }
}

/// Four of five instances crash, which their gates detect, and restart. The source reports none of this.
#[rstest]
fn no_request_goes_to_an_instance_whose_end_its_gate_has_seen(
    #[values(Restart::NewName, Restart::SameName, Restart::SameNameNewIncarnation)] restart: Restart,
    #[values(Safe, Unsafe)] safety: RetrySafety,
) {
    run(async move {
        let fleet = new_fleet();
        let misdirected = Misdirected::default();
        let mut instances = Vec::new();
        for machine in RESTARTED.into_iter().chain([UNAFFECTED]) {
            list(&fleet, machine, 1, restart);
            instances.push(serve(&fleet, machine, instance_name(machine, 1), misdirected.clone()).await);
        }
        start_nodes(&fleet).await;
        crash_under_load(&fleet, &instances[..RESTARTED.len()]).await;
        tokio::time::sleep(RESTART_DELAY).await;
        let mut restarted = Vec::new();
        for machine in RESTARTED {
            restarted.push(serve(&fleet, machine, listed_name(machine, 2, restart), misdirected.clone()).await);
        }
        let served = count_served_promptly(&fleet, safety).await;
        assert_eq!((served, misdirected.get()), (CONCURRENT_REQUESTS, 0), "served, misdirected");
        // The restarted instances are used again before the source reports them.
        let mut attempts = 0;
        while restarted.iter().any(|instance| instance.runs() == 0) && attempts < 20 {
            count_served_promptly(&fleet, safety).await;
            attempts += 1;
        }
        let used = restarted.iter().filter(|instance| instance.runs() > 0).count();
        assert_eq!(used, restarted.len(), "restarted instances in use again");
    });
}

/// All machines lost power. Nodes and instances restart while the source still lists the old instances, and
/// the settings allow no retries.
#[rstest]
fn gates_that_start_beside_other_instances_than_listed_send_them_no_request_for_the_listed_ones(
    #[values(Safe, Unsafe)] safety: RetrySafety,
    #[values(false, true)] source_is_down: bool,
) {
    run(async move {
        let mut fleet = new_fleet();
        fleet.retry_ratio = 0.0;
        fleet.retry_slack = 0.0;
        let misdirected = Misdirected::default();
        let mut instances = Vec::new();
        for machine in RESTARTED.into_iter().chain([UNAFFECTED]) {
            list(&fleet, machine, 1, Restart::NewName);
            instances.push(serve(&fleet, machine, instance_name(machine, 2), misdirected.clone()).await);
        }
        start_nodes(&fleet).await;
        fleet.source.set_down(source_is_down);
        let served = count_served_promptly(&fleet, safety).await;
        assert_eq!((served, misdirected.get()), (CONCURRENT_REQUESTS, 0), "served, misdirected");
    });
}

/// Instances crash and restart one after the other while requests are sent one after the other.
#[rstest]
fn restarts_in_series_cost_no_request_while_a_healthy_instance_runs() {
    run(async {
        let fleet = new_fleet();
        let misdirected = Misdirected::default();
        let mut instances = Vec::new();
        for machine in RESTARTED.into_iter().chain([UNAFFECTED]) {
            list(&fleet, machine, 1, Restart::NewName);
            instances.push(serve(&fleet, machine, instance_name(machine, 1), misdirected.clone()).await);
        }
        start_nodes(&fleet).await;
        let restarts = async {
            for (instance, machine) in instances.iter().zip(RESTARTED) {
                instance.crash();
                tokio::time::sleep(RESTART_DELAY).await;
                serve(&fleet, machine, instance_name(machine, 2), misdirected.clone()).await;
            }
        };
        let requests = async {
            let mut served = 0;
            for number in 0..60 {
                let mut client = Client::connect(fleet.outbound(EDGE)).await;
                served += usize::from(client.request(&request(Safe, number)).await.head.status == 200);
                tokio::time::sleep(RESTART_DELAY / 10).await;
            }
            served
        };
        let ((), served) = futures::join!(restarts, requests);
        assert_eq!((served, misdirected.get()), (60, 0), "served, misdirected");
    });
}

/// An instance that does not answer identity checks must not be taken out of use for that.
#[rstest]
#[case::no_answer(vec![Action::Sleep(5_000)])]
#[case::refused(vec![Action::Send("HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n".into())])]
#[case::closed(vec![Action::Close])]
#[case::no_http(vec![Action::Send("what is this\r\n\r\n".into())])]
fn an_instance_that_does_not_answer_identity_checks_is_used_as_before(#[case] reply: Vec<Action>) {
    run(async move {
        let fleet = new_fleet();
        fleet.list(2, "books-2-1", BOOKS);
        let script = move |request: &ReceivedRequest, _: usize| match request.is_health_check() {
            true => reply.clone(),
            false => vec![Action::Send(response(200, &request.id(), "body"))],
        };
        let options = InstanceOptions { scripts_health_checks: true, ..InstanceOptions::default() };
        TestInstance::start_with(fleet.instance_address(2), options, script).await;
        Fleet::wait_until_ready(&fleet.start(2, BOOKS).await).await;
        Fleet::wait_until_ready(&fleet.start(EDGE, "desk").await).await;
        for number in 0..CONCURRENT_REQUESTS {
            let safety = if number % 2 == 0 { Safe } else { Unsafe };
            let sent_at = tokio::time::Instant::now();
            let response = Client::connect(fleet.outbound(EDGE)).await.request(&request(safety, number)).await;
            assert_eq!(response.head.status, 200, "request {number}");
            assert!(sent_at.elapsed() < PROMPT, "request {number} took {:?}", sent_at.elapsed());
        }
    });
}

/// The address of an instance that crashed while the source was away went to an instance of another service. The
/// gate took it for one of its own, and it ran requests of the wrong service under its own name.
#[rstest]
fn an_instance_of_another_service_at_the_address_gets_no_requests_of_this_one() {
    run(async {
        let fleet = new_fleet();
        let misdirected = Misdirected::default();
        fleet.list(2, "books-2-1", BOOKS);
        let first = serve(&fleet, 2, "books-2-1".to_string(), misdirected.clone()).await;
        let gate = fleet.start(2, BOOKS).await;
        Fleet::wait_until_ready(&gate).await;
        Fleet::wait_until_ready(&fleet.start(EDGE, "desk").await).await;
        fleet.source.set_down(true);
        first.crash();
        // The settings name the other service by then, and no signal has told the node.
        let mut settings = gate.settings().as_ref().clone();
        settings.service = ServiceName::new("shelf");
        gate.set_settings_reader(Box::new(move || Ok(settings.clone())));
        tokio::time::sleep(RESTART_DELAY).await;
        let other = serve(&fleet, 2, "shelf-2-1".to_string(), misdirected).await;
        for number in 0..6 {
            let status = Client::connect(fleet.outbound(EDGE)).await.request(&request(Unsafe, number)).await;
            assert_eq!(status.head.status, 503);
        }
        let runs = other.received.borrow();
        let foreign = runs.iter().filter(|request| request.field("x-expected") == "shelf-2-1").count();
        assert_eq!(foreign, 0, "requests of books that the instance of shelf ran");
    });
}

/// What an instance calls itself goes into the directory, to other nodes and back to instances.
#[rstest]
#[case::blank("books 2")]
#[case::field_separator("books:2")]
#[case::beyond_ascii("büch-2")]
fn an_instance_that_calls_itself_by_an_odd_name_is_not_known_by_it(
    #[case] odd_name: &'static str,
    #[values(true, false)] in_health_check: bool,
) {
    run(async move {
        let fleet = Fleet::new();
        fleet.source.configure(configuration(1, vec![route("/safe/", "books", Safe)]));
        fleet.list(1, "books-1", "books");
        let script = move |request: &ReceivedRequest, _| {
            if request.is_health_check() != in_health_check {
                return vec![Action::Close];
            }
            let head = format!("HTTP/1.1 421 X\r\nx-id: {}\r\nx-instance: {odd_name}\r\n", request.id());
            vec![Action::Send(head + "Content-Length: 0\r\n\r\n")]
        };
        let options = InstanceOptions { scripts_health_checks: true, ..InstanceOptions::default() };
        let instance = TestInstance::start_with(fleet.instance_address(1), options, script).await;
        let node = fleet.start(1, "books").await;
        Fleet::wait_until_ready(&node).await;
        let response = Client::connect(fleet.outbound(1)).await.request(&get("/safe/", "r1")).await;
        assert!(response.head.status >= 500, "status {}", response.head.status);
        let cluster = node.cluster.borrow();
        assert_eq!(cluster.directory.instance(&InstanceName::new(odd_name)), None);
        let received = instance.received.borrow();
        assert!(received.iter().all(|request| request.field("x-expected") == "books-1"), "{received:?}");
    });
}
