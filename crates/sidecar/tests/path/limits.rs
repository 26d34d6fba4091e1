//! Instances that declare in their responses the request rate that they accept.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use olivegate_sidecar::model::Instance;
use olivegate_sidecar::model::RetrySafety::Safe;
use rstest::rstest;
use tokio::task::spawn_local;
use tokio::time::Instant;

use crate::client::call;
use crate::instance::{Action, ReceivedRequest, TestInstance, response};
use crate::load::{Arrivals, ClientResult, KillableNode, run_clients};
use crate::support::{Fleet, configuration, route, run};

const BOOKS: &str = "books";
/// Machines that clients connect to.
const EDGES: [u8; 2] = [1, 4];
/// Number of clients of each of them.
const CLIENTS: usize = 6;
/// Slots of an instance; enough for all clients at once.
const SLOTS: u32 = 16;
/// Length of the window over which arrivals are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Tolerance of the arrivals in a window over those that the rate allows: a factor and a constant.
const ALLOWED_FACTOR: f64 = 1.5;
const ALLOWED_SLACK: f64 = 5.0;

/// Minimum fraction of the declared rate that has to arrive when the load exceeds it.
const MIN_UTILIZATION: f64 = 0.8;
/// Time within which the end or the rise of a declared rate takes effect.
const RECOVERY_TIME: Duration = Duration::from_secs(4);

/// Time that an instance works on a request, in milliseconds.
const WORK_MS: u64 = 10;
/// The same for a slow instance, at which many more requests could arrive before its first response.
const SLOW_WORK_MS: u64 = 300;

/// The rate that an instance declares in its responses, if any.
type DeclaredRate = Rc<Cell<Option<&'static str>>>;

/// Responds after [`WORK_MS`], with the declared rate if there is one.
fn declare_rate(declared: DeclaredRate, arrivals: Arrivals) -> impl Fn(&ReceivedRequest, usize) -> Vec<Action> {
    declare_rate_after(WORK_MS, declared, arrivals)
}

fn declare_rate_after(
    work_ms: u64,
    declared: DeclaredRate,
    arrivals: Arrivals,
) -> impl Fn(&ReceivedRequest, usize) -> Vec<Action> {
    move |request, _| {
        arrivals.record();
        let plain = response(200, &request.id(), "body");
        let text = match declared.get() {
            Some(rate) => plain.replacen("\r\n\r\n", &format!("\r\nx-rate: {rate}\r\n\r\n"), 1),
            None => plain,
        };
        vec![Action::Sleep(work_ms), Action::Send(text)]
    }
}

/// The edges, and instances on machines 2 and 3 with these declared rates; their gates are not started yet.
async fn fleet_with_declared_rates(declared: [DeclaredRate; 2]) -> (Rc<Fleet>, [Arrivals; 2]) {
    let fleet = Rc::new(Fleet::new());
    fleet.source.configure(configuration(1, vec![route("/safe/", BOOKS, Safe)]));
    let arrivals: [Arrivals; 2] = Default::default();
    for (number, (machine, declared)) in [2, 3].into_iter().zip(declared).enumerate() {
        let listed = fleet.list(machine, &format!("books-{number}"), BOOKS);
        fleet.source.list(Instance { slots: SLOTS, ..listed });
        let script = declare_rate(declared, arrivals[number].clone());
        TestInstance::start(fleet.instance_address(machine), script).await;
    }
    for machine in EDGES {
        Fleet::wait_until_ready(&fleet.start(machine, "desk").await).await;
    }
    (fleet, arrivals)
}

async fn start_gates(fleet: &Fleet) {
    for machine in [2, 3] {
        Fleet::wait_until_ready(&fleet.start(machine, BOOKS).await).await;
    }
}

fn allowed(rate: f64) -> usize {
    (ALLOWED_FACTOR * rate * WINDOW.as_secs_f64() + ALLOWED_SLACK) as usize
}

/// The rate holds for both edges together, not for each of them.
#[rstest]
#[case::some("13", 13.0)]
#[case::few("2.8", 2.8)]
#[case::very_few("0.2", 0.2)]
#[case::none("0", 0.0)]
fn an_instance_gets_no_more_than_the_rate_that_it_declares(
    #[case] declared: &'static str,
    #[case] rate: f64,
    #[values(2, CLIENTS)] clients: usize,
) {
    run(async move {
        let (fleet, [limited, _]) =
            fleet_with_declared_rates([Rc::new(Cell::new(Some(declared))), DeclaredRate::default()]).await;
        start_gates(&fleet).await;
        let began = Instant::now();
        let edges = EDGES.map(|edge| fleet.outbound(edge));
        let results = run_clients(&edges, clients, "/safe/a", Duration::from_millis(5_000)).await;
        let max_arrivals = limited.max_within(WINDOW, began + fleet.contact);
        assert!(max_arrivals <= allowed(rate), "{max_arrivals} in {WINDOW:?}, {} allowed", allowed(rate));
        let used = limited.count_between(began + WINDOW / 4, began + WINDOW);
        let min_used = MIN_UTILIZATION * rate * WINDOW.as_secs_f64() * 0.75;
        assert!(used as f64 >= min_used.floor(), "only {used} arrived, {min_used:.1} at the least");
        let unserved: Vec<&ClientResult> = results.iter().filter(|response| response.status != 200).collect();
        assert!(unserved.is_empty(), "{} of {}: {unserved:?}", unserved.len(), results.len());
    });
}

/// The service accepts the sum of the declared rates: that many requests are served, and refusals say when to
/// retry.
#[rstest]
fn where_all_instances_declare_rates_their_sum_is_served_and_refusals_say_when_to_retry() {
    run(async move {
        let declared = || Rc::new(Cell::new(Some("12")));
        let (fleet, arrivals) = fleet_with_declared_rates([declared(), declared()]).await;
        start_gates(&fleet).await;
        let began = Instant::now();
        let edges = EDGES.map(|edge| fleet.outbound(edge));
        let span = Duration::from_millis(6_000);
        let results = run_clients(&edges, CLIENTS, "/safe/a", span).await;
        for arrivals in &arrivals {
            let max_arrivals = arrivals.max_within(WINDOW, began + fleet.contact);
            assert!(max_arrivals <= allowed(12.0), "{max_arrivals} in {WINDOW:?}, {} allowed", allowed(12.0));
            let used = arrivals.count_between(began + WINDOW / 2, began + WINDOW);
            assert!(used as f64 >= MIN_UTILIZATION * 12.0 * WINDOW.as_secs_f64() / 2.0, "only {used} arrived");
        }
        let is_expected = |response: &&ClientResult| match response.status {
            200 => true,
            503 => response.retry_after_s.is_some_and(|seconds| seconds > 0.0),
            _ => false,
        };
        let unexpected: Vec<&ClientResult> = results.iter().filter(|response| !is_expected(response)).collect();
        assert!(unexpected.is_empty(), "{unexpected:?}");
    });
}

/// Also after a declared rate so low that no response could announce its end.
#[rstest]
#[case::some("5")]
#[case::none("0")]
fn an_instance_whose_limit_has_ended_has_its_share_again(#[case] rate: &'static str) {
    run(async move {
        let declared: DeclaredRate = Rc::new(Cell::new(Some(rate)));
        let (fleet, [limited, other]) =
            fleet_with_declared_rates([declared.clone(), DeclaredRate::default()]).await;
        start_gates(&fleet).await;
        let edges = EDGES.map(|edge| fleet.outbound(edge));
        run_clients(&edges, CLIENTS, "/safe/a", Duration::from_millis(1_500)).await;
        declared.set(None);
        let ended_at = Instant::now();
        run_clients(&edges, CLIENTS, "/safe/a", RECOVERY_TIME + Duration::from_secs(1)).await;
        let (from, until) = (ended_at + RECOVERY_TIME, ended_at + RECOVERY_TIME + Duration::from_secs(1));
        let (own, others) = (limited.count_between(from, until), other.count_between(from, until));
        assert!(own * 2 >= others, "{own} arrived at it, {others} at the other one");
    });
}

/// An unreadable rate leaves the declared one in force, and requests are served.
#[rstest]
#[case::negative("-1")]
#[case::not_a_number("NaN")]
#[case::infinite("1e400")]
#[case::empty("")]
#[case::a_list("3, 4")]
fn a_rate_that_cannot_be_read_changes_nothing(#[case] unreadable: &'static str) {
    run(async move {
        let declared: DeclaredRate = Rc::new(Cell::new(Some("5")));
        let (fleet, [limited, _]) = fleet_with_declared_rates([declared.clone(), DeclaredRate::default()]).await;
        start_gates(&fleet).await;
        let edges = EDGES.map(|edge| fleet.outbound(edge));
        run_clients(&edges, CLIENTS, "/safe/a", Duration::from_millis(500)).await;
        declared.set(Some(unreadable));
        let began = Instant::now();
        let results = run_clients(&edges, CLIENTS, "/safe/a", WINDOW).await;
        let max_arrivals = limited.max_within(WINDOW, began);
        assert!(max_arrivals <= allowed(5.0), "{max_arrivals} in {WINDOW:?}");
        assert!(results.iter().all(|response| response.status == 200));
    });
}

/// An instance that never declared a readable rate is not limited.
#[rstest]
fn an_instance_that_never_declares_a_readable_rate_has_its_share() {
    run(async move {
        let declared: DeclaredRate = Rc::new(Cell::new(Some("-1")));
        let (fleet, [unreadable, other]) = fleet_with_declared_rates([declared, DeclaredRate::default()]).await;
        start_gates(&fleet).await;
        let began = Instant::now();
        let edges = EDGES.map(|edge| fleet.outbound(edge));
        run_clients(&edges, CLIENTS, "/safe/a", Duration::from_millis(1_500)).await;
        let (own, others) =
            (unreadable.count_between(began, Instant::now()), other.count_between(began, Instant::now()));
        assert!(own * 2 >= others, "{own} arrived at it, {others} at the other one");
    });
}

/// The edges know the declared rate and have not restarted, so they keep to it although the gate has lost it.
#[rstest]
#[case::once(1)]
#[case::again_and_again(4)]
fn a_gate_that_starts_again_keeps_to_the_rate_that_edges_were_told(#[case] restarts: u32) {
    run(async move {
        let fleet = Rc::new(Fleet::new());
        fleet.source.configure(configuration(1, vec![route("/safe/", BOOKS, Safe)]));
        let (limited, declared) = (Arrivals::default(), Rc::new(Cell::new(Some("2"))));
        let listed = fleet.list(2, "books-1", BOOKS);
        fleet.source.list(Instance { slots: 40, ..listed });
        let script = declare_rate_after(SLOW_WORK_MS, declared, limited.clone());
        TestInstance::start(fleet.instance_address(2), script).await;
        let mut gate = KillableNode::start(&fleet, 2, BOOKS).await;
        for machine in EDGES {
            Fleet::wait_until_ready(&fleet.start(machine, "desk").await).await;
        }
        let edges = EDGES.map(|edge| fleet.outbound(edge));
        run_clients(&edges, 2, "/safe/a", Duration::from_secs(1)).await;
        let began = Instant::now();
        let clients_task = spawn_local(async move { run_clients(&edges, 12, "/safe/a", WINDOW).await });
        for _ in 0..restarts {
            gate.kill().await;
            tokio::time::sleep(Duration::from_millis(300)).await;
            gate = KillableNode::start(&fleet, 2, BOOKS).await;
            tokio::time::sleep(Duration::from_millis(400)).await;
        }
        clients_task.await.unwrap();
        let max_arrivals = limited.max_within(WINDOW, began);
        assert!(max_arrivals <= allowed(2.0), "{max_arrivals} in {WINDOW:?}, {} allowed", allowed(2.0));
    });
}

/// Requests that wait because of the earlier declared rate are served at the new one.
#[rstest]
fn a_rate_that_rises_is_used() {
    run(async move {
        let declared: DeclaredRate = Rc::new(Cell::new(Some("0")));
        let (fleet, [limited, other]) = fleet_with_declared_rates([declared.clone(), declared.clone()]).await;
        start_gates(&fleet).await;
        let edges = EDGES.map(|edge| fleet.outbound(edge));
        let clients_task =
            spawn_local(async move { run_clients(&edges, CLIENTS, "/safe/a", Duration::from_secs(10)).await });
        tokio::time::sleep(Duration::from_millis(4_500)).await;
        declared.set(Some("20"));
        let raised_at = Instant::now();
        clients_task.await.unwrap();
        for arrivals in [&limited, &other] {
            let from = raised_at + RECOVERY_TIME;
            let used = arrivals.count_between(from, from + Duration::from_secs(1));
            assert!(used as f64 >= MIN_UTILIZATION * 20.0, "only {used} arrived in a second");
        }
    });
}

/// Requests are held back before they make their calls, so that the calls of admitted requests fit into the
/// rate.
#[rstest]
fn where_a_called_service_declares_rates_requests_are_held_back_at_the_first_node() {
    run(async move {
        let fleet = Rc::new(Fleet::new());
        let routes = vec![route("/front/", "front", Safe), route("/safe/", BOOKS, Safe)];
        fleet.source.configure(configuration(1, routes));
        fleet.list(2, "front-1", "front");
        fleet.list(3, "books-1", BOOKS);
        let own_node = fleet.outbound(2);
        let script = move |request: &ReceivedRequest, before: usize| {
            let request = call("/safe/a", &format!("{}-call-{before}", request.id()), 1_000);
            vec![Action::Call(own_node, request)]
        };
        TestInstance::start(fleet.instance_address(2), script).await;
        let script = declare_rate(Rc::new(Cell::new(Some("12"))), Arrivals::default());
        TestInstance::start(fleet.instance_address(3), script).await;
        for (machine, service) in [(1, "desk"), (2, "front"), (3, BOOKS)] {
            Fleet::wait_until_ready(&fleet.start(machine, service).await).await;
        }
        let edges = [fleet.outbound(1)];
        run_clients(&edges, CLIENTS, "/front/a", Duration::from_secs(2)).await;
        let results = run_clients(&edges, CLIENTS, "/front/a", WINDOW).await;
        let count = |status: u16| results.iter().filter(|response| response.status == status).count();
        let (served, failed) = (count(200), count(500));
        assert!(
            served as f64 >= MIN_UTILIZATION * 12.0 * WINDOW.as_secs_f64(),
            "{served} served of {}",
            results.len()
        );
        assert!(failed * 4 <= served, "{failed} began and failed, {served} were served");
        assert_eq!(count(502) + count(504), 0, "{results:?}");
    });
}
