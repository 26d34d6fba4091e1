//! A planned stop cuts off no request, even if clients keep sending new ones.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use olivegate_sidecar::model::RetrySafety::{Safe, Unsafe};
use olivegate_sidecar::model::{Millis, RetrySafety, Route};
use olivegate_sidecar::state::Node;
use olivegate_sidecar::stop::CLIENTS_LEAVE_WITHIN;
use rstest::rstest;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::Instant;

use crate::client::{Client, get, post, request_once};
use crate::instance::{Action, ReceivedRequest, TestInstance, response};
use crate::support::{Fleet, configuration, eventually, route, run};

async fn readiness_status(fleet: &Fleet) -> u16 {
    let mut client = Client::connect(fleet.readiness(1)).await;
    client.request("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").await.head.status
}

#[rstest]
fn a_stop_ends_readiness_first_and_requests_last() {
    run(async {
        let fleet = Fleet::new();
        fleet.source.configure(configuration(1, vec![route("/safe/", "books", Safe)]));
        fleet.list(1, "books-1", "books");
        fleet.list(2, "books-2", "books");
        let script = |request: &ReceivedRequest, _| {
            vec![Action::Sleep(800), Action::Send(response(200, &request.id(), "ok"))]
        };
        let instance = TestInstance::start(fleet.instance_address(1), script).await;
        let other = TestInstance::start(fleet.instance_address(2), script).await;
        let node = fleet.start(1, "books").await;
        Fleet::wait_until_ready(&node).await;
        Fleet::wait_until_ready(&fleet.start(2, "books").await).await;
        assert_eq!(readiness_status(&fleet).await, 200);
        let mut early = Client::connect(fleet.outbound(1)).await;
        early.send(&get("/safe/", "early")).await;
        eventually("the request runs", || instance.runs() + other.runs() == 1).await;
        let stopping = spawn_local({
            let node = node.clone();
            async move { node.stop.run(Duration::from_secs(6)).await }
        });
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert_eq!(readiness_status(&fleet).await, 503);
        let response = early.next_response().await.unwrap();
        assert_eq!((response.head.status, response.field("connection").as_deref()), (200, Some("close")));
        let mut late = Client::connect(fleet.outbound(1)).await;
        assert_eq!(late.request(&get("/safe/", "late")).await.head.status, 200);
        assert!(stopping.await.unwrap(), "nothing is cut off");
    });
}

#[rstest]
fn the_last_gate_of_a_service_serves_on_while_clients_leave() {
    run(async {
        let fleet = Fleet::new();
        fleet.source.configure(configuration(1, vec![route("/safe/", "books", Safe)]));
        fleet.list(1, "books-1", "books");
        let script = |request: &ReceivedRequest, _| vec![Action::Send(response(200, &request.id(), "ok"))];
        TestInstance::start(fleet.instance_address(1), script).await;
        let node = fleet.start(1, "books").await;
        Fleet::wait_until_ready(&node).await;
        Fleet::wait_until_ready(&fleet.start(2, "desk").await).await;
        let stopping = spawn_local({
            let node = node.clone();
            async move { node.stop.run(Duration::from_secs(6)).await }
        });
        let mut client = Client::connect(fleet.outbound(2)).await;
        for number in 0..15 {
            assert_eq!(client.request(&get("/safe/", &format!("r{number}"))).await.head.status, 200);
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        assert!(stopping.await.unwrap());
        assert_eq!(client.request(&get("/safe/", "after")).await.head.status, 503);
    });
}

#[rstest]
fn clients_that_go_on_coming_are_told_to_come_back_and_not_cut_off() {
    run(async {
        let fleet = Fleet::new();
        fleet.source.configure(configuration(1, vec![route("/safe/", "books", Safe)]));
        fleet.list(1, "books-1", "books");
        fleet.list(2, "books-2", "books");
        let script = |request: &ReceivedRequest, _| {
            vec![Action::Sleep(400), Action::Send(response(200, &request.id(), "ok"))]
        };
        TestInstance::start(fleet.instance_address(2), script).await;
        let node = fleet.start(1, "books").await;
        Fleet::wait_until_ready(&node).await;
        Fleet::wait_until_ready(&fleet.start(2, "books").await).await;
        let began = Instant::now();
        let stopping = spawn_local({
            let node = node.clone();
            async move { node.stop.run(Duration::from_secs(6)).await }
        });
        let statuses = Rc::new(RefCell::new(Vec::new()));
        let clients: Vec<_> = (0..4)
            .map(|number| spawn_local(keep_requesting(fleet.outbound(1), number, statuses.clone())))
            .collect();
        assert!(stopping.await.unwrap(), "nothing is cut off");
        assert!(began.elapsed() < Duration::from_secs(5), "the stop ends once no request is in flight");
        clients.iter().for_each(tokio::task::JoinHandle::abort);
        let statuses = statuses.borrow();
        assert_eq!(statuses.first(), Some(&200));
        assert!(statuses.contains(&503), "clients are told to retry: {statuses:?}");
        assert!(statuses.iter().all(|status| [200, 503].contains(status)), "{statuses:?}");
    });
}

/// Sends requests in a loop, with a delay per client so that some request is always in flight.
async fn keep_requesting(address: SocketAddr, number: u64, statuses: Rc<RefCell<Vec<u16>>>) {
    tokio::time::sleep(Duration::from_millis(100 * number)).await;
    loop {
        let mut client = Client::connect(address).await;
        let response = client.request(&get("/safe/", "again")).await;
        statuses.borrow_mut().push(response.head.status);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Grace period of the stops below.
const GRACE_PERIOD: Duration = Duration::from_secs(4);
/// When late requests come in it: clients are turned away by then, and 1.15 s are left.
const LATE: Duration = Duration::from_millis(2_300);
/// When 0.55 s are left, less than the target latency.
const TOO_LATE: Duration = Duration::from_millis(2_900);
/// Target latency of the routes.
const TARGET_LATENCY: Duration = Duration::from_millis(700);
/// Time of a request that outlasts any stop.
const LONG_MS: u64 = 60_000;

/// A node beside an instance whose requests outlast any stop, and which calls a service on machine 2.
struct StoppingNode {
    fleet: Fleet,
    node: Rc<Node>,
    called: TestInstance,
    /// Time that the called service takes for a request.
    call_ms: Rc<Cell<u64>>,
}

impl StoppingNode {
    async fn start() -> Self {
        let fleet = Fleet::new();
        let long = |path: &str, service: &str, safety: RetrySafety| Route {
            timeout: Some(Millis(LONG_MS as u32)),
            target_latency: Millis::from_duration(TARGET_LATENCY),
            ..route(path, service, safety)
        };
        let routes =
            vec![long("/desk/", "desk", Unsafe), long("/once/", "books", Unsafe), long("/safe/", "books", Safe)];
        fleet.source.configure(configuration(1, routes));
        fleet.list(1, "desk-1", "desk");
        fleet.list(2, "books-1", "books");
        let pause = |millis: Rc<Cell<u64>>| {
            move |request: &ReceivedRequest, _: usize| {
                vec![Action::Sleep(millis.get()), Action::Send(response(200, &request.id(), "ok"))]
            }
        };
        TestInstance::start(fleet.instance_address(1), pause(Rc::new(Cell::new(LONG_MS)))).await;
        let call_ms = Rc::new(Cell::new(10));
        let called = TestInstance::start(fleet.instance_address(2), pause(call_ms.clone())).await;
        let node = fleet.start(1, "desk").await;
        for node in [node.clone(), fleet.start(2, "books").await] {
            Fleet::wait_until_ready(&node).await;
        }
        StoppingNode { fleet, node, called, call_ms }
    }

    /// A connection of a client on which a request runs that outlasts any stop.
    async fn long_request(&self) -> Client {
        let mut client = Client::connect(self.fleet.outbound(1)).await;
        client.send(&with_time(&post("/desk/", "parent", "x"), LONG_MS)).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
        client
    }

    /// A new connection of the instance. The node recognizes its calls, because earlier ones came on the same
    /// routes while a request ran.
    async fn calling_instance(&self) -> Client {
        Client::connect(self.fleet.outbound(1)).await
    }

    /// Lets the node learn which routes the instance calls.
    async fn make_calls(&self) {
        let mut instance = self.calling_instance().await;
        for number in 0..10 {
            for path in ["/once/", "/safe/"] {
                let call = call_of_parent(path, &format!("early-{number}"));
                assert_eq!(instance.request(&call).await.head.status, 200);
            }
        }
    }

    /// Stops the node; the result tells whether all requests were completed.
    fn stop(&self) -> JoinHandle<bool> {
        let node = self.node.clone();
        spawn_local(async move { node.stop.run(GRACE_PERIOD).await })
    }
}

fn with_time(request: &str, millis: u64) -> String {
    request.replace("x-time: 2000", &format!("x-time: {millis}"))
}

/// A call made for the request of [`StoppingNode::long_request`].
fn call_of_parent(path: &str, name: &str) -> String {
    with_time(&post(path, &format!("parent.{name}"), "x"), 5_000)
}

/// Calls that came late in a stop were passed on and cut at its end without a response.
#[rstest]
fn a_late_call_gets_its_response_before_the_process_ends(#[values("/once/", "/safe/")] path: &'static str) {
    run(async move {
        let stopping = StoppingNode::start().await;
        let _parent = stopping.long_request().await;
        stopping.make_calls().await;
        let stop = stopping.stop();
        tokio::time::sleep(LATE).await;
        let mut instance = stopping.calling_instance().await;
        let short = instance.request(&call_of_parent(path, "short")).await;
        assert_eq!(short.head.status, 200, "a call for which there is time is served");
        stopping.call_ms.set(LONG_MS);
        let mut instance = stopping.calling_instance().await;
        let late = spawn_local(async move { instance.request(&call_of_parent(path, "long")).await });
        stop.await.unwrap();
        assert!(late.is_finished(), "the process ends and the call has no response");
        let response = late.await.unwrap();
        assert!([502, 503, 504].contains(&response.head.status), "{response:?}");
    });
}

/// The instance stops working at the time that it is given.
#[rstest]
fn a_late_call_is_given_no_more_time_than_the_process_has() {
    run(async {
        let stopping = StoppingNode::start().await;
        let _parent = stopping.long_request().await;
        stopping.make_calls().await;
        let _stop = stopping.stop();
        tokio::time::sleep(LATE).await;
        let mut instance = stopping.calling_instance().await;
        assert_eq!(instance.request(&call_of_parent("/once/", "late")).await.head.status, 200);
        let received = stopping.called.received.borrow().last().cloned().unwrap();
        let time_left: u64 = received.field("x-time").parse().unwrap();
        assert!(Duration::from_millis(time_left) < GRACE_PERIOD - LATE, "time left {time_left}");
    });
}

/// A call that may run once only is refused when there is less than its target latency: it may be made again.
#[rstest]
fn a_late_call_for_which_there_is_no_time_is_refused_and_does_not_run() {
    run(async {
        let stopping = StoppingNode::start().await;
        let _parent = stopping.long_request().await;
        stopping.make_calls().await;
        let stop = stopping.stop();
        tokio::time::sleep(TOO_LATE).await;
        let refused = stopping.calling_instance().await.request(&call_of_parent("/once/", "late")).await;
        assert_eq!(refused.head.status, 503, "{refused:?}");
        assert!(refused.field("retry-after").is_some());
        let served = stopping.calling_instance().await.request(&call_of_parent("/safe/", "late-too")).await;
        assert_eq!(served.head.status, 200, "what may be repeated is served");
        stop.await.unwrap();
        let received = stopping.called.received.borrow();
        assert!(received.iter().all(|request| request.id() != "parent.late"), "it never runs");
    });
}

/// A request that is still open at the end gets its response, too.
#[rstest]
fn a_request_that_outlasts_the_grace_gets_a_response(#[values(true, false)] on_own_machine: bool) {
    run(async move {
        let stopping = StoppingNode::start().await;
        stopping.call_ms.set(LONG_MS);
        let path = if on_own_machine { "/desk/" } else { "/once/" };
        let mut client = Client::connect(stopping.fleet.outbound(1)).await;
        client.send(&with_time(&post(path, "r1", "x"), LONG_MS)).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
        let stop = stopping.stop();
        let open = spawn_local(async move { client.next_response().await });
        stop.await.unwrap();
        assert!(open.is_finished(), "the process ends and the request has no response");
        assert_eq!(open.await.unwrap().map(|response| response.head.status), Some(504));
    });
}

/// An upload that is in progress when the stop begins is completed.
#[rstest]
fn an_upload_that_arrives_during_a_stop_is_completed(#[values("/once/", "/safe/")] path: &'static str) {
    run(async move {
        let stopping = StoppingNode::start().await;
        let mut client = Client::connect(stopping.fleet.outbound(1)).await;
        let chunk = "a".repeat(32 << 10);
        let chunks = 16;
        client
            .send(&format!(
                "POST {path} HTTP/1.1\r\nHost: shop\r\nx-id: upload\r\nx-time: 5000\r\nContent-Length: {}\r\n\r\n",
                chunks * chunk.len()
            ))
            .await;
        client.send(&chunk.repeat(4)).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
        let stop = stopping.stop();
        for _ in 4..chunks {
            tokio::time::sleep(LATE / chunks as u32).await;
            client.send(&chunk).await;
        }
        let response = client.next_response().await.expect("a response");
        assert_eq!((response.head.status, response.body.as_str()), (200, "ok"));
        assert_eq!(stopping.called.received.borrow()[0].body.len(), chunks * chunk.len());
        assert!(stop.await.unwrap(), "nothing is cut off");
    });
}

/// Processor time within which a node answers a readiness check. All that it does runs on the thread of the test; how
/// long the thread waits for a processor on a busy machine does not count.
const READINESS_LIMIT: Duration = Duration::from_millis(100);
/// Offers that one request may need: six arrivals, and four refusals.
const MAX_OFFERS: u64 = 10;
/// Clients that send a request shortly before the gate of the stopping node refuses all offers.
const CLIENTS: usize = 8;
/// How long before that they send it, and how long the instances take to refuse it.
const SENT_BEFORE: Duration = Duration::from_millis(80);
const REFUSED_AFTER_MS: u64 = 160;

/// Processor time that this thread has used.
fn processor_time() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// Checks readiness until it is aborted; keeps the longest processor time that an answer took.
async fn watch_readiness(address: SocketAddr, longest: Rc<Cell<Duration>>) {
    loop {
        let began = processor_time();
        let mut client = Client::connect(address).await;
        client.request("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").await;
        longest.set(longest.get().max(processor_time() - began));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against a stopping node that offers a request again and again to a gate which refuses it at once: it kept the
/// processor for as long as the request had time, and answered nobody. As many instances as the route allows refuse
/// the request; one of them is beside the stopping node.
#[rstest]
fn a_request_beside_a_stopping_gate_is_offered_a_few_times(
    #[values(1, 2)] attempts: u32,
    #[values(1, 2)] stopping_machine: u8,
) {
    run(async move {
        let fleet = Fleet::new();
        let route = Route { attempts, timeout: Some(Millis(1_500)), ..route("/safe/", "books", Safe) };
        fleet.source.configure(configuration(1, vec![route]));
        let machines: Vec<u8> = [stopping_machine, 3].into_iter().take(attempts as usize).collect();
        for &machine in &machines {
            fleet.list(machine, &format!("books-{machine}"), "books");
            let script = |request: &ReceivedRequest, _| {
                let refusal = format!("HTTP/1.1 503 X\r\nx-id: {}\r\nx-not-run: 1\r\n", request.id());
                vec![Action::Sleep(REFUSED_AFTER_MS), Action::Send(refusal + "Content-Length: 0\r\n\r\n")]
            };
            TestInstance::start(fleet.instance_address(machine), script).await;
        }
        let node = fleet.start(stopping_machine, "books").await;
        Fleet::wait_until_ready(&node).await;
        for machine in [1, 3].into_iter().filter(|machine| *machine != stopping_machine) {
            let service = if machine == 3 { "books" } else { "desk" };
            Fleet::wait_until_ready(&fleet.start(machine, service).await).await;
        }
        let longest = Rc::new(Cell::new(Duration::ZERO));
        let watching = spawn_local(watch_readiness(fleet.readiness(stopping_machine), longest.clone()));
        let stopping = spawn_local({
            let node = node.clone();
            async move { node.stop.run(Duration::from_secs(6)).await }
        });
        tokio::time::sleep(CLIENTS_LEAVE_WITHIN - SENT_BEFORE).await;
        let ids: Vec<String> = (0..CLIENTS).map(|number| format!("r{number}")).collect();
        let requests = (0..CLIENTS).map(|number| request_once(fleet.outbound(1), "GET", "/safe/", &ids[number]));
        for response in futures::future::join_all(requests).await {
            assert_eq!(response.head.status, 503);
        }
        stopping.await.unwrap();
        watching.abort();
        let refused = node.metrics.refusals.with_label_values(&["node-not-ready"]).get();
        assert!(refused <= CLIENTS as u64 * MAX_OFFERS, "{refused} refusals of {CLIENTS} requests");
        assert!(longest.get() < READINESS_LIMIT, "readiness took {:?}", longest.get());
    });
}
