//! Instances that stop in the middle of the head of a response, or send one whose status is none: no client gets any
//! of it as a response, and no request that may run once runs twice or is reported as not run.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use olivegate_sidecar::model::RetrySafety::{Safe, Unsafe};
use rstest::rstest;

use crate::client::{Client, ClientResponse, call, get, request_once};
use crate::instance::{Action, InstanceOptions, ReceivedRequest, TestInstance, response};
use crate::support::{Fleet, configuration, route, run};

/// Machine of the clients.
const EDGE: u8 = 1;
/// Places at which each head breaks off. A node admits fewer requests when many have failed in a row.
const PLACES: usize = 9;
/// Time between two writes of a response in milliseconds: more than a node takes to read the first one.
const BETWEEN_WRITES_MS: u64 = 3;

/// How an instance ends its connection after a part of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ending {
    /// In order, right after the part.
    Close,
    /// In order, after the part was written in two halves.
    CloseAfterTwoWrites,
    /// With a reset, which may overtake the part.
    Reset,
    /// With a reset, after the node has read the part.
    LateReset,
}

impl Ending {
    fn actions(self, part: &str) -> Vec<Action> {
        let (first, second) = part.split_at(part.len() / 2);
        let whole = Action::Send(part.to_string());
        let pause = Action::Sleep(BETWEEN_WRITES_MS);
        match self {
            Ending::Close => vec![whole, Action::Close],
            Ending::CloseAfterTwoWrites => {
                vec![Action::Send(first.to_string()), pause, Action::Send(second.to_string()), Action::Close]
            }
            Ending::Reset => vec![whole, Action::Reset],
            Ending::LateReset => vec![whole, pause, Action::Reset],
        }
    }
}

/// A response to the request `id`, from its template: `{id}` stands for the id.
fn from_template(template: &str, id: &str) -> String {
    template.replace("{id}", id)
}

/// Lengths of parts of a response that are no whole head, spread over it. The longest one lacks the last byte.
fn broken_head_lengths(response: &str) -> Vec<usize> {
    let final_head = response.rfind("HTTP/1.").expect("a status line");
    let end = response[final_head..].find("\r\n\r\n").expect("an empty line") + final_head;
    let longest = end + "\r\n\r".len();
    let last_line = [end, end + "\r\n".len(), longest];
    let spread = (1..=PLACES - last_line.len()).map(|place| place * end / (PLACES - last_line.len() + 1));
    spread.chain(last_line).collect()
}

/// An edge, and an instance on the same machine or behind the gate of another one.
struct Deployment {
    fleet: Fleet,
    instance: TestInstance,
}

impl Deployment {
    async fn start(
        instance_machine: u8,
        script: impl Fn(&ReceivedRequest, usize) -> Vec<Action> + 'static,
    ) -> Self {
        let fleet = Fleet::new();
        let routes = vec![route("/safe/", "books", Safe), route("/once/", "books", Unsafe)];
        fleet.source.configure(configuration(1, routes));
        fleet.list(instance_machine, "books-1", "books");
        let instance = TestInstance::start(fleet.instance_address(instance_machine), script).await;
        if instance_machine != EDGE {
            Fleet::wait_until_ready(&fleet.start(instance_machine, "books").await).await;
        }
        let edge_service = if instance_machine == EDGE { "books" } else { "desk" };
        Fleet::wait_until_ready(&fleet.start(EDGE, edge_service).await).await;
        Deployment { fleet, instance }
    }

    /// Sends a request. Its content is its own: content that is at work when an instance seems to end is held back.
    async fn request(&self, method: &str, path: &str, id: &str) -> ClientResponse {
        request_once(self.fleet.outbound(EDGE), method, path, id).await
    }
}

/// Guards against a response whose head broke off and that a client gets as a whole one, with an empty or short
/// body.
#[rstest]
fn a_head_that_breaks_off_is_no_response(
    #[values(
        "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signature: s-{id}\r\nContent-Length: 4\r\n\r\nbody",
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nx-signature: s-{id}\r\nx-id: {id}\r\n\r\n",
        "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signature: s-{id}\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signature: s-{id}\r\nConnection: close\r\n\r\nbody",
        "HTTP/1.0 200 OK\r\nx-id: {id}\r\nx-signature: s-{id}\r\n\r\nbody",
        "HTTP/1.1 204 No Content\r\nx-id: {id}\r\nx-signature: s-{id}\r\n\r\n",
        "HTTP/1.1 503 X\r\nx-id: {id}\r\nx-not-run: 1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signature: s-{id}\r\n\r\nbody"
    )]
    template: &'static str,
    #[values(Ending::Close, Ending::CloseAfterTwoWrites, Ending::Reset, Ending::LateReset)] ending: Ending,
    #[values(EDGE, 2)] instance_machine: u8,
) {
    run(async move {
        for (method, path) in [("POST", "/once/"), ("GET", "/safe/"), ("HEAD", "/safe/")] {
            let kept_bytes = Rc::new(Cell::new(0));
            let script_bytes = kept_bytes.clone();
            let script = move |request: &ReceivedRequest, _| {
                ending.actions(&from_template(template, &request.id())[..script_bytes.get()])
            };
            let deployment = Deployment::start(instance_machine, script).await;
            for place in 0..PLACES {
                let id = format!("r{place}");
                let response_text = from_template(template, &id);
                kept_bytes.set(broken_head_lengths(&response_text)[place]);
                let part = &response_text[..kept_bytes.get()];
                let response = deployment.request(method, path, &id).await;
                assert_eq!(response.head.status, 502, "{method}, {part:?}: {response:?}");
                assert_eq!(response.field("x-signature"), None, "{method}, {part:?}");
                assert_eq!(deployment.instance.runs(), place + 1, "{method}, {part:?}");
            }
        }
    });
}

/// Guards against a part of a head on a connection that is reused, whose end is taken for that of an idle connection:
/// the request would count as not sent, and run again or be reported as not run.
#[rstest]
fn a_head_that_breaks_off_on_a_reused_connection_is_no_response(
    #[values("H", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 503 X\r\nx-id: {id}\r\nx-not-run: 1\r\n")] part: &'static str,
    #[values(Ending::Close, Ending::CloseAfterTwoWrites, Ending::LateReset)] ending: Ending,
    #[values(EDGE, 2)] instance_machine: u8,
) {
    run(async move {
        let script = move |request: &ReceivedRequest, before: usize| match before % 2 {
            0 => vec![Action::Send(response(200, &request.id(), "whole"))],
            _ => ending.actions(&from_template(part, &request.id())),
        };
        let deployment = Deployment::start(instance_machine, script).await;
        let methods = [("GET", "/safe/"), ("POST", "/once/"), ("HEAD", "/safe/"), ("POST", "/once/")];
        for (number, (method, path)) in methods.into_iter().enumerate() {
            let whole = deployment.request(method, path, &format!("w{number}")).await;
            assert_eq!(whole.head.status, 200, "{method} {path}");
            let broken = deployment.request(method, path, &format!("b{number}")).await;
            assert_eq!(broken.head.status, 502, "{method} {path}: {broken:?}");
            assert_eq!(deployment.instance.runs(), 2 * (number + 1), "{method} {path}");
        }
        let received = deployment.instance.received.borrow();
        let reused = received.iter().filter(|request| request.idle_for.is_some()).count();
        assert!(reused > 0, "no connection was reused");
    });
}

/// Guards against a client that gets the status 000 as an instance's response, in each form of body and framing.
#[rstest]
fn a_status_of_000_is_no_response(
    #[values(
        "HTTP/1.1 000 X\r\nx-id: {id}\r\nx-signature: s-{id}\r\n\r\n",
        "HTTP/1.1 000\r\nx-id: {id}\r\nx-signature: s-{id}\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.0 000 X\r\nx-id: {id}\r\nx-signature: s-{id}\r\n\r\nbody",
        "HTTP/1.1 000 X\r\nx-id: {id}\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
        "HTTP/1.1 000 X\r\nx-id: {id}\r\nx-not-run: 1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 X\r\nx-id: {id}\r\nContent-Length: 4\r\n\r\nbody",
        "HTTP/1.1 000 X\r\n\r\nHTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signature: s-{id}\r\nContent-Length: 4\r\n\r\nbody"
    )]
    template: &'static str,
    #[values(Ending::Close, Ending::CloseAfterTwoWrites, Ending::LateReset)] ending: Ending,
    #[values(EDGE, 2)] instance_machine: u8,
) {
    run(async move {
        let script = move |request: &ReceivedRequest, _| ending.actions(&from_template(template, &request.id()));
        let deployment = Deployment::start(instance_machine, script).await;
        let requests = [("POST", "/once/"), ("GET", "/safe/"), ("HEAD", "/safe/")];
        for (number, (method, path)) in requests.into_iter().enumerate() {
            let response = deployment.request(method, path, &format!("r{number}")).await;
            assert_eq!(response.head.status, 502, "{method}: {response:?}");
            assert_eq!(response.field("x-signature"), None, "{method}");
            assert_eq!(deployment.instance.runs(), number + 1, "{method}");
        }
    });
}

/// Parts of responses and responses whose status is none, without anything that tells which request they are for.
const NO_RESPONSES: [&str; 3] = [
    "HTTP/1.1 200 OK\r\nx-instance: other-1\r\nContent-Length: 0\r\n",
    "HTTP/1.1 421 X\r\nx-instance: other-1\r\nContent-Length: 0\r\n\r",
    "HTTP/1.1 000 X\r\nx-instance: other-1\r\nContent-Length: 0\r\n\r\n",
];

/// Guards against a gate that takes a part of a response to its identity check, or one with the status 000, for the
/// word of another instance, and refuses what its own instance would run.
#[rstest]
fn a_health_response_that_breaks_off_tells_nothing(
    #[values(NO_RESPONSES[0], NO_RESPONSES[1], NO_RESPONSES[2])] health_response: &'static str,
    #[values(Ending::Close, Ending::CloseAfterTwoWrites, Ending::Reset)] ending: Ending,
) {
    run(async move {
        let fleet = Fleet::new();
        fleet.source.configure(configuration(1, vec![route("/once/", "books", Unsafe)]));
        fleet.list(EDGE, "books-1", "books");
        let checks = Rc::new(Cell::new(0));
        let script_checks = checks.clone();
        let script = move |request: &ReceivedRequest, _| {
            if !request.is_health_check() {
                return vec![Action::Send(response(200, &request.id(), "ok")), Action::Close];
            }
            script_checks.set(script_checks.get() + 1);
            ending.actions(health_response)
        };
        let options = InstanceOptions { scripts_health_checks: true, ..InstanceOptions::default() };
        let instance = TestInstance::start_with(fleet.instance_address(EDGE), options, script).await;
        Fleet::wait_until_ready(&fleet.start(EDGE, "books").await).await;
        for number in 0..6 {
            let mut client = Client::connect(fleet.outbound(EDGE)).await;
            let response = client.request(&get("/once/", &format!("r{number}"))).await;
            assert_eq!((response.head.status, response.body.as_str()), (200, "ok"), "request {number}");
            // The node finds the connection closed and checks who is there.
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        assert!(checks.get() > 0, "no identity check");
        let received = instance.received.borrow();
        let expected: Vec<String> = received.iter().map(|request| request.field("x-expected")).collect();
        assert!(expected.iter().all(|name| name == "books-1"), "{expected:?}");
    });
}

/// Guards against a call that breaks off on its way and counts as answered, or runs again although it may run once.
#[rstest]
fn a_call_whose_response_breaks_off_has_failed(
    #[values(
        "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signature: s-{id}\r\n",
        "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signature: s-{id}\r\nContent-Length: 0\r\n\r",
        "HTTP/1.1 000 X\r\nx-id: {id}\r\nContent-Length: 0\r\n\r\n"
    )]
    template: &'static str,
    #[values(Ending::Close, Ending::CloseAfterTwoWrites, Ending::Reset)] ending: Ending,
) {
    run(async move {
        let fleet = Fleet::new();
        let routes = vec![route("/desk/", "desk", Safe), route("/once/", "books", Unsafe)];
        fleet.source.configure(configuration(1, routes));
        fleet.list(2, "desk-1", "desk");
        fleet.list(3, "books-1", "books");
        let outbound = fleet.outbound(2);
        let desk = move |request: &ReceivedRequest, _: usize| {
            vec![Action::Call(outbound, call("/once/", &format!("{}.1", request.id()), 700))]
        };
        let books =
            move |request: &ReceivedRequest, _: usize| ending.actions(&from_template(template, &request.id()));
        TestInstance::start(fleet.instance_address(2), desk).await;
        let books = TestInstance::start(fleet.instance_address(3), books).await;
        for (machine, service) in [(2, "desk"), (3, "books"), (EDGE, "front")] {
            Fleet::wait_until_ready(&fleet.start(machine, service).await).await;
        }
        let response = Client::connect(fleet.outbound(EDGE)).await.request(&get("/desk/", "parent")).await;
        assert_eq!((response.head.status, response.field("x-signature").as_deref()), (500, Some("s-parent")));
        assert_eq!(books.runs(), 1);
    });
}
