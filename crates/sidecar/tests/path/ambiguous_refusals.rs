//! Instances that respond with a status which promises that the request has not run, without saying so: they may have
//! run it.

use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use olivegate_sidecar::model::RetrySafety::{Safe, Unsafe};
use rstest::rstest;

use crate::client::{Client, call, get, post, request_once};
use crate::instance::{Action, ReceivedRequest, TestInstance, response};
use crate::support::{Fleet, configuration, route, run};

/// Machine of the clients.
const EDGE: u8 = 1;

/// Starts an edge, and an instance of the service on each of `machines`, all with this response.
async fn start(
    machines: &[u8],
    response: impl Fn(&ReceivedRequest) -> String + Clone + 'static,
) -> (Fleet, Vec<TestInstance>) {
    start_with(machines, move |request| vec![Action::Send(response(request))]).await
}

/// Starts an edge, and an instance of the service on each of `machines`, all with this script.
async fn start_with(
    machines: &[u8],
    script: impl Fn(&ReceivedRequest) -> Vec<Action> + Clone + 'static,
) -> (Fleet, Vec<TestInstance>) {
    let fleet = Fleet::new();
    let routes = vec![route("/safe/", "books", Safe), route("/once/", "books", Unsafe)];
    fleet.source.configure(configuration(1, routes));
    let mut instances = Vec::new();
    for &machine in machines {
        fleet.list(machine, &format!("books-{machine}"), "books");
        let script = script.clone();
        let actions = move |request: &ReceivedRequest, _| script(request);
        instances.push(TestInstance::start(fleet.instance_address(machine), actions).await);
    }
    for &machine in machines {
        Fleet::wait_until_ready(&fleet.start(machine, "books").await).await;
    }
    if !machines.contains(&EDGE) {
        Fleet::wait_until_ready(&fleet.start(EDGE, "desk").await).await;
    }
    (fleet, instances)
}

/// Guards against a client that takes an instance's failure for the promise that its request has not run, and repeats
/// what may run once: a book was reserved twice.
#[rstest]
fn a_request_that_may_have_run_is_not_reported_as_not_run(
    #[values(408, 429, 503)] status: u16,
    #[values("", "failed")] body: &'static str,
    #[values("/safe/", "/once/")] path: &'static str,
    #[values(EDGE, 2)] instance_machine: u8,
) {
    run(async move {
        let (fleet, instances) =
            start(&[instance_machine], move |request| response(status, &request.id(), body)).await;
        let request = if path == "/once/" { post(path, "r1", "x") } else { get(path, "r1") };
        let response = Client::connect(fleet.outbound(EDGE)).await.request(&request).await;
        assert_eq!((response.head.status, response.body.as_str()), (502, "ambiguous-refusal\n"));
        assert_eq!((response.field("x-signature"), response.field("retry-after")), (None, None));
        assert_eq!(instances[0].runs(), 1);
    });
}

/// The rest of a response after its status and the request's id: framing, body, and what may be told with it.
const FORMS: [&str; 7] = [
    "x-signature: s\r\nContent-Length: 0\r\n\r\n",
    "x-signature: s\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nfailed\r\n0\r\n\r\n",
    "x-signature: s\r\nConnection: close\r\n\r\nfailed",
    "x-signature: s\r\n\r\n",
    "x-signature: s\r\nretry-after: 1\r\nContent-Length: 6\r\n\r\nfailed",
    "Content-Length: 6\r\n\r\nfailed",
    "x-not-running: 1\r\nx-signature: s\r\nContent-Length: 6\r\n\r\nfailed",
];

/// Guards against a form of the response on which its status isn't looked at.
#[rstest]
fn no_form_of_such_a_response_is_a_promise(
    #[values(408, 429, 503)] status: u16,
    #[values(FORMS[0], FORMS[1], FORMS[2], FORMS[3], FORMS[4], FORMS[5], FORMS[6])] form: &'static str,
    #[values(EDGE, 2)] instance_machine: u8,
) {
    run(async move {
        let (fleet, instances) = start_with(&[instance_machine], move |request| {
            vec![Action::Send(format!("HTTP/1.1 {status} X\r\nx-id: {}\r\n{form}", request.id())), Action::Close]
        })
        .await;
        let requests = [("POST", "/once/"), ("GET", "/once/"), ("HEAD", "/once/"), ("HEAD", "/safe/")];
        for (number, (method, path)) in requests.into_iter().enumerate() {
            let response = request_once(fleet.outbound(EDGE), method, path, &format!("r{number}")).await;
            assert_eq!(response.head.status, 502, "{method} {path}: {response:?}");
            assert_eq!(response.field("retry-after"), None, "{method} {path}");
            assert_eq!(instances[0].runs(), number + 1, "{method} {path}");
        }
    });
}

/// A large response is passed on while it arrives.
#[rstest]
fn a_large_response_is_no_promise_either(
    #[values(408, 429, 503)] status: u16,
    #[values(EDGE, 2)] instance_machine: u8,
) {
    run(async move {
        let large = "x".repeat(300_000);
        let (fleet, instances) =
            start(&[instance_machine], move |request| response(status, &request.id(), &large)).await;
        let response = request_once(fleet.outbound(EDGE), "POST", "/once/", "r1").await;
        assert_eq!((response.head.status, response.body.as_str()), (502, "ambiguous-refusal\n"));
        assert_eq!(instances[0].runs(), 1);
    });
}

/// A request in the middle of others on its connection gets the failure in its place, and the others their responses.
#[rstest]
fn a_pipelined_request_is_not_reported_as_not_run(
    #[values(408, 429, 503)] status: u16,
    #[values(EDGE, 2)] instance_machine: u8,
) {
    run(async move {
        let (fleet, _) = start(&[instance_machine], move |request| {
            response(if request.id() == "r2" { status } else { 200 }, &request.id(), "body")
        })
        .await;
        let mut client = Client::connect(fleet.outbound(EDGE)).await;
        let requests = ["r1", "r2", "r3"].map(|id| get(&format!("/once/{id}"), id));
        client.send(&requests.concat()).await;
        for (id, expected) in [("r1", 200), ("r2", 502), ("r3", 200)] {
            let response = client.next_response().await.expect("a response");
            assert_eq!((response.field("x-id").as_deref(), response.head.status), (Some(id), expected));
        }
    });
}

/// An instance's call that may run once is no more repeated than a client's request.
#[rstest]
fn a_call_is_not_reported_as_not_run(#[values(408, 429, 503)] status: u16) {
    run(async move {
        let fleet = Fleet::new();
        let routes = vec![route("/desk/", "desk", Safe), route("/once/", "books", Unsafe)];
        fleet.source.configure(configuration(1, routes));
        fleet.list(2, "desk-1", "desk");
        fleet.list(3, "books-1", "books");
        let desk = |request: &ReceivedRequest, _: usize| {
            vec![Action::Sleep(400), Action::Send(response(200, &request.id(), "body"))]
        };
        let books =
            move |request: &ReceivedRequest, _: usize| vec![Action::Send(response(status, &request.id(), ""))];
        let _desk = TestInstance::start(fleet.instance_address(2), desk).await;
        let books = TestInstance::start(fleet.instance_address(3), books).await;
        for (machine, service) in [(2, "desk"), (3, "books")] {
            Fleet::wait_until_ready(&fleet.start(machine, service).await).await;
        }
        let mut parent = Client::connect(fleet.outbound(2)).await;
        parent.send(&get("/desk/", "parent")).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
        let mut instance = Client::connect(fleet.outbound(2)).await;
        for number in 1..=3 {
            let response = instance.request(&call("/once/", &format!("parent.{number}"), 700)).await;
            assert_eq!((response.head.status, response.body.as_str()), (502, "ambiguous-refusal\n"));
            assert_eq!(books.runs(), number);
        }
    });
}

/// Guards against a client that gets a failure although a sound instance could run its request: 408 and 429 were tried
/// nowhere else, and their instance went on to get its whole share.
#[rstest]
fn a_safe_request_is_tried_elsewhere(#[values(408, 429, 503)] status: u16) {
    run(async move {
        let (fleet, instances) = start(&[2, 3], move |request| {
            let is_sound = request.field("x-expected") == "books-3";
            response(if is_sound { 200 } else { status }, &request.id(), "body")
        })
        .await;
        for number in 0..40 {
            let response = request_once(fleet.outbound(EDGE), "GET", "/safe/", &format!("r{number}")).await;
            assert_eq!((response.head.status, response.body.as_str()), (200, "body"), "request {number}");
        }
        let faulty = instances[0].runs();
        assert!((1..=10).contains(&faulty), "{faulty} of 40 requests were sent to the instance that fails all");
    });
}

/// The first instance that gets a request says that it has not run it, the second one does not.
#[rstest]
fn a_refusal_before_it_is_no_promise_for_the_one_after(#[values(408, 429, 503)] status: u16) {
    run(async move {
        let seen = Rc::new(RefCell::new(HashSet::new()));
        let (fleet, instances) = start(&[2, 3], move |request| {
            let is_first = seen.borrow_mut().insert(request.id());
            let refusal = response(503, &request.id(), "").replace("x-signature", "x-not-run");
            if is_first { refusal } else { response(status, &request.id(), "") }
        })
        .await;
        let mut client = Client::connect(fleet.outbound(EDGE)).await;
        for number in 1..=6 {
            let response = client.request(&post("/once/", &format!("r{number}"), "x")).await;
            assert_eq!(
                (response.head.status, response.body.as_str()),
                (502, "ambiguous-refusal\n"),
                "request {number}"
            );
            let runs: usize = instances.iter().map(TestInstance::runs).sum();
            assert_eq!(runs, 2 * number, "two instances got each request");
        }
    });
}

/// An instance that says that it has not run the request, or that it is another one, is believed.
#[rstest]
fn a_refusal_that_says_so_stays_a_promise(
    #[values((503, "x-not-run: 1\r\n"), (429, "x-not-run: 1\r\n"), (408, "x-not-run: 1\r\n"), (421, ""))]
    (status, field): (u16, &'static str),
    #[values("/safe/", "/once/")] path: &'static str,
    #[values(EDGE, 2)] instance_machine: u8,
) {
    run(async move {
        let (fleet, _) = start(&[instance_machine], move |request| {
            format!("HTTP/1.1 {status} X\r\nx-id: {}\r\n{field}Content-Length: 0\r\n\r\n", request.id())
        })
        .await;
        let request = if path == "/once/" { post(path, "r1", "x") } else { get(path, "r1") };
        let response = Client::connect(fleet.outbound(EDGE)).await.request(&request).await;
        assert_eq!(response.head.status, 503);
        assert!(response.field("retry-after").is_some());
    });
}

/// Every other failure is the instance's own, and stays as it is.
#[rstest]
fn a_failure_that_promises_nothing_is_unchanged(
    #[values(400, 404, 409, 410, 422, 425, 500, 501, 502, 504, 507)] status: u16,
    #[values("/safe/", "/once/")] path: &'static str,
) {
    run(async move {
        let (fleet, _) = start(&[2], move |request| response(status, &request.id(), "why")).await;
        let request = if path == "/once/" { post(path, "r1", "x") } else { get(path, "r1") };
        let response = Client::connect(fleet.outbound(EDGE)).await.request(&request).await;
        assert_eq!((response.head.status, response.body.as_str()), (status, "why"));
        assert_eq!(response.field("x-signature").as_deref(), Some("s-r1"));
    });
}
