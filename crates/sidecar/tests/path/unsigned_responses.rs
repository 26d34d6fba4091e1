//! Successful responses without the signature by which an instance makes them its own.

use olivegate_sidecar::model::RetrySafety::{Safe, Unsafe};
use rstest::rstest;

use crate::client::request_once;
use crate::instance::{Action, ReceivedRequest, TestInstance, response};
use crate::support::{Fleet, configuration, route, run};

/// Machine of the clients.
const EDGE: u8 = 1;

/// Starts an edge, and instances on `machines`; `script` responds to the requests of the first one, the others sign.
async fn start(
    machines: &[u8],
    script: impl Fn(&ReceivedRequest) -> Vec<Action> + 'static,
) -> (Fleet, Vec<TestInstance>) {
    let fleet = Fleet::new();
    let routes = vec![route("/safe/", "books", Safe), route("/once/", "books", Unsafe)];
    fleet.source.configure(configuration(1, routes));
    machines.iter().for_each(|&machine| drop(fleet.list(machine, &format!("books-{machine}"), "books")));
    let faulty = move |request: &ReceivedRequest, _: usize| script(request);
    let sound = |request: &ReceivedRequest, _: usize| vec![Action::Send(response(200, &request.id(), "sound"))];
    let mut instances = vec![TestInstance::start(fleet.instance_address(machines[0]), faulty).await];
    for &machine in &machines[1..] {
        instances.push(TestInstance::start(fleet.instance_address(machine), sound).await);
    }
    for &machine in machines {
        Fleet::wait_until_ready(&fleet.start(machine, "books").await).await;
    }
    if !machines.contains(&EDGE) {
        Fleet::wait_until_ready(&fleet.start(EDGE, "desk").await).await;
    }
    (fleet, instances)
}

/// The forms of a body, with their framing.
const BODIES: [&str; 5] = [
    "Content-Length: 4\r\n\r\nbody",
    "Content-Length: 0\r\n\r\n",
    "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
    "Connection: close\r\n\r\nbody",
    "\r\n",
];

/// Guards against a client that gets as a success what its instance has not made: a well-formed message with the id of
/// the request and a status of success, but without the signature.
#[rstest]
fn a_success_without_its_signature_is_no_response(
    #[values(200, 204, 299)] status: u16,
    #[values("", "x-signature: \r\n", "x-signature: s-1\r\nx-signature: s-2\r\n")] signature: &'static str,
    #[values(BODIES[0], BODIES[1], BODIES[2], BODIES[3], BODIES[4])] body: &'static str,
    #[values(EDGE, 2)] instance_machine: u8,
) {
    run(async move {
        let (fleet, instances) = start(&[instance_machine], move |request| {
            let head = format!("HTTP/1.1 {status} X\r\nx-id: {}\r\n{signature}", request.id());
            vec![Action::Send(head + body), Action::Close]
        })
        .await;
        let requests = [("POST", "/once/"), ("GET", "/safe/"), ("HEAD", "/safe/")];
        for (number, (method, path)) in requests.into_iter().enumerate() {
            let response = request_once(fleet.outbound(EDGE), method, path, &format!("r{number}")).await;
            assert_eq!(response.head.status, 502, "{method}: {response:?}");
            assert_eq!(response.field("x-signature"), None, "{method}");
            assert_eq!(instances[0].runs(), number + 1, "{method}");
        }
    });
}

/// A large response is passed on while it arrives.
#[rstest]
fn a_large_success_without_its_signature_is_no_response(#[values(EDGE, 2)] instance_machine: u8) {
    run(async move {
        let (fleet, _) = start(&[instance_machine], |request| {
            let signed = response(200, &request.id(), &"x".repeat(300_000));
            vec![Action::Send(signed.replace("x-signature", "x-other"))]
        })
        .await;
        for (method, path) in [("POST", "/once/"), ("GET", "/safe/")] {
            assert_eq!(
                request_once(fleet.outbound(EDGE), method, path, "large").await.head.status,
                502,
                "{method}"
            );
        }
    });
}

#[rstest]
fn a_safe_request_whose_response_is_unsigned_is_tried_elsewhere() {
    run(async {
        let (fleet, instances) = start(&[2, 3], |request| {
            let signed = response(200, &request.id(), "spoilt");
            vec![Action::Send(signed.replace("x-signature", "x-other"))]
        })
        .await;
        for number in 0..8 {
            let response = request_once(fleet.outbound(EDGE), "GET", "/safe/", &format!("r{number}")).await;
            assert_eq!((response.head.status, response.body.as_str()), (200, "sound"), "request {number}");
        }
        assert!(instances[0].runs() > 0, "the faulty instance got no request");
    });
}

/// What is no success needs no signature, and a failure keeps the one that it has.
#[rstest]
#[case::redirect(304, "")]
#[case::failure(500, "")]
#[case::signed_failure(500, "x-signature: s-1\r\n")]
#[case::not_found(404, "")]
fn other_responses_need_no_signature(#[case] status: u16, #[case] signature: &'static str) {
    run(async move {
        let (fleet, _) = start(&[2], move |request| {
            let head = format!("HTTP/1.1 {status} X\r\nx-id: {}\r\n{signature}", request.id());
            vec![Action::Send(head + "Content-Length: 0\r\n\r\n")]
        })
        .await;
        let response = request_once(fleet.outbound(EDGE), "POST", "/once/", "r1").await;
        assert_eq!(response.head.status, status);
        assert_eq!(response.field("x-signature").is_some(), !signature.is_empty());
    });
}
