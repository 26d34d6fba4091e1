//! A request whose content ends every instance that runs it.
//!
//! These tests guard against a client that sends the same path and body again and again, under a new id and
//! through another node each time. Where nodes identified a failed request only by the id of one attempt,
//! each new attempt was admitted like any new request, even when the retry budget stopped retries. All
//! instances of the service then crashed some tens of milliseconds after one another, nobody was served until
//! they had restarted, and then they crashed again. In logs this shows as
//! `exchange_failed reason=broken instance_ended=true content=...` with one content at every crash, beside
//! others that change, while `offer_refused reason=repeat-budget` already stops the retries.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use olivegate_sidecar::model::RetrySafety::{Safe, Unsafe};
use olivegate_sidecar::model::{InstanceState, Route};
use rstest::rstest;
use tokio::task::spawn_local;
use tokio::time::Instant;

use crate::client::{Client, get, post};
use crate::instance::{Action, ReceivedRequest, TestInstance, response};
use crate::support::{Fleet, configuration, route, run};
use crate::thread_stalls::{since_start, stalled_between};

/// Machines with an instance of the service.
const INSTANCES: u8 = 4;
/// Machines that clients connect to; they have no instance of the service.
const EDGES: [u8; 2] = [11, 12];
/// Time from the crash of an instance to its restart.
const RESTART_DELAY: Duration = Duration::from_millis(400);
/// Time within which all nodes have to know that a content has ended instances: `contact` of the tests.
const PROPAGATION_TIME: Duration = Duration::from_millis(300);
/// Arrivals of such a content that are tolerated after that.
const MAX_LATE_ARRIVALS: usize = 3;
/// Attempts of the deadly request, and the pause between them.
const ATTEMPTS: usize = 40;
const PAUSE: Duration = Duration::from_millis(100);
/// Maximum number of times that the last request is sent while the test's own thread keeps stalling.
const MAX_STALLED_ATTEMPTS: usize = 30;

/// What happened to the instances, and the running ones.
#[derive(Default)]
struct History {
    /// Machine and time of each arrival of the deadly request at an instance.
    deadly_arrivals: RefCell<Vec<(u8, Instant)>>,
    crashes: RefCell<Vec<Instant>>,
    alive: RefCell<HashMap<u8, TestInstance>>,
    /// Slow requests that are running, and their maximum since the last crash of an instance.
    slow_requests: Cell<(u32, u32)>,
}

impl History {
    fn begin_slow_request(&self) {
        let (now, max) = self.slow_requests.get();
        self.slow_requests.set((now + 1, max.max(now + 1)));
    }

    fn end_slow_request(&self) {
        let (now, max) = self.slow_requests.get();
        self.slow_requests.set((now.saturating_sub(1), max));
    }

    /// Arrivals of the deadly request later than [`PROPAGATION_TIME`] after the third crash.
    fn late_arrivals(&self) -> usize {
        let Some(third_crash) = self.crashes.borrow().get(2).copied() else { return 0 };
        self.deadly_arrivals
            .borrow()
            .iter()
            .filter(|(_, arrived)| *arrived > third_crash + PROPAGATION_TIME)
            .count()
    }
}

/// Actions for a request that does not crash the instance.
fn serve_normally(request: &ReceivedRequest, history: &Rc<History>) -> Vec<Action> {
    let path = request.head.path();
    let body = if path.contains("/large") { "body".repeat(30_000) } else { "body".into() };
    let response = Action::Send(response(200, &request.id(), &body));
    if !path.contains("/slow") {
        return vec![Action::Sleep(10), response];
    }
    history.begin_slow_request();
    let history = history.clone();
    let millis = if path.contains("/long") { 600 } else { 80 };
    vec![Action::Sleep(millis), Action::Invoke(Rc::new(move || history.end_slow_request())), response]
}

/// Runs the instance of `machine` and restarts it, under a new name, after each crash.
async fn run_restarting_instance(fleet: Rc<Fleet>, machine: u8, history: Rc<History>) {
    for start_number in 1.. {
        let name = format!("books-{machine}-{start_number}");
        fleet.list(machine, &name, "books");
        let (script_history, own_name) = (history.clone(), name.clone());
        let instance = TestInstance::start(fleet.instance_address(machine), move |request, _| {
            if request.field("x-expected") != own_name {
                let rejection = response(421, &request.id(), "");
                return vec![Action::Send(rejection.replacen(
                    "\r\n",
                    &format!("\r\nx-instance: {own_name}\r\n"),
                    1,
                ))];
            }
            let is_innocent = request.body.ends_with(b"innocent") || !request.head.path().ends_with("/deadly");
            if is_innocent {
                return serve_normally(request, &script_history);
            }
            script_history.deadly_arrivals.borrow_mut().push((machine, Instant::now()));
            vec![Action::Crash(20)]
        });
        let instance = instance.await;
        history.alive.borrow_mut().insert(machine, instance.clone());
        instance.crashed.notified().await;
        history.crashes.borrow_mut().push(Instant::now());
        history.slow_requests.set((0, 0));
        tokio::time::sleep(RESTART_DELAY).await;
        fleet.source.unlist(&name);
    }
}

/// How the deadly request is sent; its content is the same each time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestKind {
    /// Without a body; may be retried.
    Plain,
    /// With a body of 4 KB, which may run once; chunked or with a length by turns.
    Body,
    /// With a body that is too long to be buffered before it is forwarded.
    Streamed,
    /// As a call by an instance of another service.
    Call,
    /// By a client that disconnects before the instance crashes.
    Leaving,
}

impl RequestKind {
    fn request(self, number: usize) -> String {
        let id = format!("d{number}");
        match self {
            RequestKind::Plain | RequestKind::Leaving => get("/safe/deadly", &id),
            RequestKind::Body if number.is_multiple_of(2) => post("/once/deadly", &id, &"x".repeat(4_096)),
            RequestKind::Body => chunked("/once/deadly", &id, &"x".repeat(4_096)),
            RequestKind::Streamed => post("/once/deadly", &id, &"x".repeat(200_000)),
            RequestKind::Call => get("/front/", &id),
        }
    }
}

/// A request with a body in two chunks and its own timeout.
fn chunked(path: &str, id: &str, body: &str) -> String {
    let (first, second) = body.split_at(1_000);
    format!(
        "POST {path} HTTP/1.1\r\nHost: shop\r\nx-id: {id}\r\nx-time: 1500\r\n\
         Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{first}\r\n{:x}\r\n{second}\r\n0\r\n\r\n",
        first.len(),
        second.len()
    )
}

/// Sends other requests, each on its own connection; returns how many of them were served, and their total.
async fn request_others(fleet: Rc<Fleet>, path: impl Fn(usize) -> String, total: usize) -> (usize, usize) {
    let mut served = 0;
    for number in 0..total {
        let edge = fleet.outbound(EDGES[number % EDGES.len()]);
        let mut client = Client::connect(edge).await;
        let response = client.request(&get(&path(number), &format!("o{number}"))).await;
        served += usize::from(response.head.status == 200);
        tokio::time::sleep(PAUSE / 3).await;
    }
    (served, total)
}

fn routes() -> Vec<Route> {
    vec![route("/safe/", "books", Safe), route("/once/", "books", Unsafe), route("/front/", "desk", Safe)]
}

async fn start() -> (Rc<Fleet>, Rc<History>) {
    start_with(INSTANCES).await
}

async fn start_with(instances: u8) -> (Rc<Fleet>, Rc<History>) {
    let fleet = Rc::new(Fleet::new());
    let history = Rc::new(History::default());
    fleet.source.configure(configuration(1, routes()));
    for machine in 1..=instances {
        spawn_local(run_restarting_instance(fleet.clone(), machine, history.clone()));
    }
    for machine in EDGES {
        fleet.list(machine, &format!("desk-{machine}"), "desk");
        let outbound = fleet.outbound(machine);
        let calls = move |_: &_, before| vec![Action::Call(outbound, get("/safe/deadly", &format!("c{before}")))];
        TestInstance::start(fleet.instance_address(machine), calls).await;
    }
    for machine in 1..=instances {
        Fleet::wait_until_ready(&fleet.start(machine, "books").await).await;
    }
    for machine in EDGES {
        Fleet::wait_until_ready(&fleet.start(machine, "desk").await).await;
    }
    (fleet, history)
}

/// Sends the deadly request `attempts` times through both edges and returns the status of the last response.
/// A client that disconnects early proves nothing if the test's own thread stalled meanwhile, so the last one
/// sends its request again then.
async fn send_deadly(fleet: &Fleet, kind: RequestKind, attempts: usize) -> Option<u16> {
    for number in 0..attempts - 1 {
        send_deadly_once(fleet, kind, number).await;
    }
    for _ in 0..MAX_STALLED_ATTEMPTS {
        let sent = send_deadly_once(fleet, kind, attempts - 1).await;
        let was_stalled = kind == RequestKind::Leaving && stalled_between(sent.from, sent.until);
        if !was_stalled {
            return sent.status;
        }
        println!("the test's own thread stalled, sending the request again");
    }
    None
}

/// A request: when it was sent and had ended, counted from the start of the test, and the status of the
/// response if that came before the client disconnected.
struct SentRequest {
    from: Duration,
    until: Duration,
    status: Option<u16>,
}

/// Sends the deadly request once, then pauses.
async fn send_deadly_once(fleet: &Fleet, kind: RequestKind, number: usize) -> SentRequest {
    let from = since_start();
    let mut client = Client::connect(fleet.outbound(EDGES[number % EDGES.len()])).await;
    client.send(&kind.request(number)).await;
    let timeout = if kind == RequestKind::Leaving { PAUSE / 10 } else { PAUSE * 20 };
    let response = tokio::time::timeout(timeout, client.next_response()).await;
    drop(client);
    let until = since_start();
    let status = response.ok().flatten().map(|response| response.head.status);
    tokio::time::sleep(PAUSE).await;
    println!("{kind:?} {number}: {status:?}, sent {from:?} after the start of the test");
    SentRequest { from, until, status }
}

/// Guards against a content that keeps crashing instances because it is known only by the id of one attempt.
#[rstest]
#[case::plain(RequestKind::Plain, Some(503))]
#[case::with_a_body(RequestKind::Body, Some(503))]
#[case::streamed(RequestKind::Streamed, Some(503))]
#[case::as_a_call(RequestKind::Call, Some(500))]
#[case::clients_that_leave(RequestKind::Leaving, Some(503))]
fn a_content_that_crashes_its_instances_is_soon_sent_to_none(
    #[case] kind: RequestKind,
    #[case] expected_last_status: Option<u16>,
) {
    run(async move {
        let (fleet, history) = start().await;
        let others = spawn_local(request_others(fleet.clone(), |number| format!("/safe/{number}"), ATTEMPTS * 3));
        let last_status = send_deadly(&fleet, kind, ATTEMPTS).await;
        let (served, total) = others.await.unwrap();
        let (crashes, late) = (history.crashes.borrow().len(), history.late_arrivals());
        println!("{kind:?}: {late} late arrivals, {crashes} instances ended, {served} of {total} others served");
        assert!(
            late <= MAX_LATE_ARRIVALS,
            "{late} late arrivals, {crashes} instances ended, {served} of {total} served"
        );
        assert_eq!(last_status, expected_last_status, "a quarantined request is refused as not run");
        assert!(served * 100 >= total * 95, "{served} of {total} others served, {crashes} instances ended");
    });
}

/// A gate that starts later has seen no crash itself and has to get the reports of its peers first.
#[rstest]
fn a_gate_that_starts_later_gets_reports_before_it_admits_requests() {
    run(async {
        let (fleet, history) = start().await;
        send_deadly(&fleet, RequestKind::Plain, 6).await;
        let late = INSTANCES + 1;
        spawn_local(run_restarting_instance(fleet.clone(), late, history.clone()));
        Fleet::wait_until_ready(&fleet.start(late, "books").await).await;
        tokio::time::sleep(PAUSE).await;
        let (served, total) = request_others(fleet.clone(), |number| format!("/safe/{number}"), 30).await;
        assert_eq!(served, total, "other requests");
        send_deadly(&fleet, RequestKind::Plain, 20).await;
        let arrivals = history.deadly_arrivals.borrow().iter().filter(|(machine, _)| *machine == late).count();
        assert_eq!(arrivals, 0, "arrivals at the instance that started later");
    });
}

/// All instances crash at the same moment, twice, and no request has caused it. Every client sends the same
/// request, which is running in each of the instances.
#[rstest]
fn what_every_client_requests_is_served_again_after_all_instances_were_ended_from_outside() {
    run(async {
        let (fleet, history) = start().await;
        for _ in 0..2 {
            request_concurrently(&fleet, &["/safe/slow"; 3]).await;
            let requests = request_concurrently(&fleet, &["/safe/slow"; 12]);
            let crash = async {
                tokio::time::sleep(PAUSE / 2).await;
                let alive = history.alive.take();
                alive.values().for_each(TestInstance::crash);
            };
            futures::join!(requests, crash);
            tokio::time::sleep(RESTART_DELAY + PAUSE).await;
        }
        let (served, total) = request_others(fleet.clone(), |_| "/safe/slow".into(), 30).await;
        assert!(served * 100 >= total * 95, "{served} of {total} served");
    });
}

/// An instance that shuts down as planned may cut off its running requests, which is no reason to suspect
/// them.
#[rstest]
fn an_instance_that_was_about_to_leave_leaves_no_suspects() {
    run(async {
        let (fleet, history) = start_with(1).await;
        tokio::time::sleep(PAUSE * 20).await;
        let paths = ["/safe/slow/1", "/safe/slow/2", "/safe/slow/3"];
        let announce_leaving = async {
            tokio::time::sleep(PAUSE / 2).await;
            let name = history.alive.borrow().keys().map(|machine| format!("books-{machine}-1")).next().unwrap();
            fleet.list_in_state(1, &name, "books", InstanceState::Draining);
        };
        let crash = async {
            // The source's change takes up to 150 ms to arrive; requests that began before still run then.
            tokio::time::sleep(PAUSE * 4).await;
            history.alive.borrow()[&1].crash();
        };
        let paths_of_long_runs = ["/safe/slow/long/1", "/safe/slow/long/2", "/safe/slow/long/3"];
        futures::join!(request_concurrently(&fleet, &paths_of_long_runs), announce_leaving, crash);
        tokio::time::sleep(RESTART_DELAY + PAUSE * 20).await;
        request_concurrently(&fleet, &paths).await;
        assert_eq!(request_concurrently(&fleet, &paths_of_long_runs).await, [200; 3]);
        assert_eq!(history.slow_requests.get().1, 3, "requests running at a time");
    });
}

/// Sends requests for all paths at the same time and returns their statuses.
async fn request_concurrently(fleet: &Fleet, paths: &[&str]) -> Vec<u16> {
    let send_request = |(number, path): (usize, &&str)| {
        let (edge, request) = (fleet.outbound(EDGES[0]), get(path, &format!("s{number}")));
        async move { Client::connect(edge).await.request(&request).await.head.status }
    };
    futures::future::join_all(paths.iter().enumerate().map(send_request)).await
}

/// Requests that ran beside the one that crashed the instance must not be cut off together with it again.
#[rstest]
#[case::small_responses(["/safe/slow/1", "/safe/slow/2", "/safe/slow/3"])]
#[case::streamed_responses(["/safe/slow/large/1", "/safe/slow/large/2", "/safe/slow/large/3"])]
fn suspects_run_one_at_a_time_until_they_are_cleared(#[case] paths: [&str; 3]) {
    run(async move {
        let (fleet, history) = start_with(1).await;
        let crash = async {
            tokio::time::sleep(PAUSE / 2).await;
            history.alive.borrow()[&1].crash();
        };
        futures::join!(request_concurrently(&fleet, &paths), crash);
        // Waits until the source is read again and the restarted instance is known.
        tokio::time::sleep(RESTART_DELAY + PAUSE * 20).await;
        assert_eq!(request_concurrently(&fleet, &paths).await, [200; 3]);
        assert_eq!(history.slow_requests.get().1, 1, "suspects running at a time");
        assert_eq!(request_concurrently(&fleet, &paths).await, [200; 3]);
        assert_eq!(history.slow_requests.get().1, 3, "cleared requests running at a time");
    });
}

/// Two long bodies with the same prefix, which only their full content distinguishes.
#[rstest]
fn a_long_body_that_begins_like_a_deadly_one_is_served() {
    run(async {
        let (fleet, history) = start().await;
        send_deadly(&fleet, RequestKind::Streamed, 6).await;
        // A request with a long body can be offered only once, so crashed instances must not be listed any
        // more.
        tokio::time::sleep(RESTART_DELAY + PAUSE * 20).await;
        let arrivals = history.deadly_arrivals.borrow().len();
        for number in 0..6 {
            let body = "x".repeat(199_992) + "innocent";
            let mut client = Client::connect(fleet.outbound(EDGES[number % EDGES.len()])).await;
            let served = client.request(&post("/once/deadly", &format!("i{number}"), &body)).await;
            assert_eq!((served.head.status, served.body.as_str()), (200, "body"), "request {number}");
        }
        assert_eq!(history.deadly_arrivals.borrow().len(), arrivals);
    });
}

/// Instances that break off responses but keep running are no reason to quarantine the request.
#[rstest]
fn broken_responses_of_a_running_instance_do_not_count_as_its_end() {
    run(async {
        let fleet = Fleet::new();
        fleet.source.configure(configuration(1, routes()));
        let breaks_off = Rc::new(Cell::new(true));
        fleet.list(1, "books-1", "books");
        fleet.list(2, "books-2", "books");
        for machine in [1, 2] {
            let breaks_off = breaks_off.clone();
            let script = move |request: &ReceivedRequest, _| match breaks_off.get() {
                true => vec![Action::Sleep(5), Action::Close],
                false => vec![Action::Send(response(200, &request.id(), "body"))],
            };
            TestInstance::start(fleet.instance_address(machine), script).await;
            Fleet::wait_until_ready(&fleet.start(machine, "books").await).await;
        }
        let send_request = |number: usize| {
            let edge = fleet.outbound(1 + (number % 2) as u8);
            async move { Client::connect(edge).await.request(&get("/safe/same", &format!("r{number}"))).await }
        };
        for number in 0..8 {
            assert_eq!(send_request(number).await.head.status, 502, "request {number}");
        }
        breaks_off.set(false);
        assert_eq!(send_request(8).await.head.status, 200);
    });
}
