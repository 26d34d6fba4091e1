//! Instances with faulty responses: no client gets another request's response or a truncated one that looks
//! complete, and no request that may run once runs twice.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use olivegate_sidecar::model::RetrySafety::{Safe, Unsafe};
use rstest::rstest;

use crate::client::{Client, get, post};
use crate::instance::{Action, ReceivedRequest, TestInstance, response, with_status};
use crate::support::{Fleet, configuration, route, run};

/// Two machines: the edge that clients use on the first, the gate with its instance on the second.
async fn two_machines(script: impl Fn(&ReceivedRequest, usize) -> Vec<Action> + 'static) -> (Fleet, TestInstance) {
    let fleet = Fleet::new();
    let routes = vec![route("/safe/", "books", Safe), route("/once/", "books", Unsafe)];
    fleet.source.configure(configuration(1, routes));
    fleet.list(2, "books-1", "books");
    let instance = TestInstance::start(fleet.instance_address(2), script).await;
    let gate = fleet.start(2, "books").await;
    let edge = fleet.start(1, "desk").await;
    Fleet::wait_until_ready(&gate).await;
    Fleet::wait_until_ready(&edge).await;
    (fleet, instance)
}

fn respond_ok(request: &ReceivedRequest) -> Vec<Action> {
    vec![Action::Send(response(200, &request.id(), &format!("for {}", request.id())))]
}

#[rstest]
fn a_response_passes_two_nodes_unchanged() {
    run(async {
        let (fleet, instance) = two_machines(|request, _| respond_ok(request)).await;
        let mut client = Client::connect(fleet.outbound(1)).await;
        let response = client.request(&post("/once/a?b=c", "r1", "content")).await;
        assert_eq!((response.head.status, response.body.as_str()), (200, "for r1"));
        assert_eq!(response.field("x-signature").as_deref(), Some("s-r1"));
        let request = instance.received.borrow()[0].clone();
        assert_eq!((&request.head.method[..], &request.head.target[..]), (&b"POST"[..], &b"/once/a?b=c"[..]));
        assert_eq!(request.body, "content");
        assert_eq!(request.field("x-caller"), "desk");
        assert_eq!(request.field("x-expected"), "books-1");
        let time_left: u64 = request.field("x-time").parse().unwrap();
        assert!(time_left > 1_000 && time_left < 2_000, "time left {time_left}");
    });
}

#[rstest]
fn a_surplus_response_before_the_right_one_is_skipped() {
    run(async {
        let (fleet, instance) = two_machines(|request, before| match before {
            // A duplicate of the first response precedes the second response.
            1 => vec![Action::Send(response(200, "r0", "old")), Action::Send(response(200, &request.id(), "own"))],
            _ => respond_ok(request),
        })
        .await;
        let mut client = Client::connect(fleet.outbound(1)).await;
        client.request(&post("/once/", "r0", "x")).await;
        let second = client.request(&post("/once/", "r1", "x")).await;
        assert_eq!((second.head.status, second.body.as_str()), (200, "own"));
        assert_eq!(instance.runs(), 2);
    });
}

#[rstest]
#[case::surplus_response_while_idle("HTTP/1.1 200 OK\r\nx-id: r0\r\nContent-Length: 3\r\n\r\nold")]
#[case::bytes_that_are_no_response("\x01\x02garbage")]
fn bytes_after_a_complete_response_are_discarded(#[case] surplus: &'static str) {
    run(async move {
        let (fleet, instance) = two_machines(move |request, before| {
            let mut actions = respond_ok(request);
            if before == 0 {
                actions.push(Action::Send(surplus.to_string()));
            }
            actions
        })
        .await;
        let mut client = Client::connect(fleet.outbound(1)).await;
        client.request(&post("/once/", "r0", "x")).await;
        tokio::time::sleep(Duration::from_millis(30)).await;
        let second = client.request(&post("/once/", "r1", "x")).await;
        assert_eq!((second.head.status, second.body.as_str()), (200, "for r1"));
        assert_eq!(instance.runs(), 2);
    });
}

#[rstest]
#[case::closed(vec![Action::Close])]
#[case::reset(vec![Action::Reset])]
#[case::truncated_response(vec![Action::Send("HTTP/1.1 200 OK\r\nx-id: r1\r\nx-signature: s-r1\r\nContent-Length: 9\r\n\r\nhalf".into()), Action::Close])]
#[case::unframed_and_reset(vec![Action::Send("HTTP/1.1 200 OK\r\nx-id: r1\r\nx-signature: s-r1\r\n\r\nhalf".into()), Action::Sleep(30), Action::Reset])]
#[case::no_http_response(vec![Action::Send("\x01\x02\x03\x04".into())])]
fn what_may_have_run_is_not_run_again_nor_reported_as_not_run(#[case] actions: Vec<Action>) {
    run(async move {
        let (fleet, instance) = two_machines(move |_, _| actions.clone()).await;
        let mut client = Client::connect(fleet.outbound(1)).await;
        let response = client.request(&post("/once/", "r1", "x")).await;
        assert_eq!(response.head.status, 502);
        assert_eq!(response.field("x-signature"), None);
        assert_eq!(instance.runs(), 1);
    });
}

/// A client got such a status as an instance's response, with its signature.
#[rstest]
fn a_status_that_is_none_is_no_response(
    #[values("000", "001", "099", "600", "999", "20", "2000", "abc", "101")] status: &'static str,
    #[values("/safe/", "/once/")] path: &'static str,
    #[values(true, false)] on_own_machine: bool,
) {
    run(async move {
        let script =
            move |request: &ReceivedRequest, _| vec![Action::Send(with_status(status, &request.id(), "body"))];
        assert_no_response(script, path, on_own_machine).await;
    });
}

/// Runs a request at an instance with this script: the client gets a failure of the node, and one run.
async fn assert_no_response(
    script: impl Fn(&ReceivedRequest, usize) -> Vec<Action> + 'static,
    path: &str,
    on_own_machine: bool,
) {
    let (fleet, instance) = two_machines(script).await;
    let edge = if on_own_machine { 2 } else { 1 };
    let mut client = Client::connect(fleet.outbound(edge)).await;
    let response = client.request(&post(path, "r1", "x")).await;
    assert_eq!(response.head.status, 502, "{response:?}");
    assert_eq!(response.field("x-signature"), None);
    assert_eq!(instance.runs(), 1);
}

/// Names of fields that are no tokens, folded lines, and lines that end with a bare line feed. With the last ones a
/// client got what followed the next empty line as the whole body.
#[rstest]
fn a_head_with_an_odd_line_is_no_response(
    #[values(
        "X A: b\r\n",
        "X-A : b\r\n",
        " X-A: b\r\n",
        "X\tA: b\r\n",
        "X\u{0}A: b\r\n",
        "X\u{1}A: b\r\n",
        "X\u{7f}A: b\r\n",
        "X\u{e9}A: b\r\n",
        ": b\r\n",
        "X-A: b\r\n folded\r\n",
        "X-A: b\u{1}\r\n",
        "X-A: b\n",
        "X-A: b\n\npart\r\n",
        "X-A: b\n\r\npart\r\n"
    )]
    line: &'static str,
    #[values("/safe/", "/once/")] path: &'static str,
    #[values(true, false)] on_own_machine: bool,
) {
    run(async move {
        let script = move |request: &ReceivedRequest, _| {
            let id = request.id();
            let head = format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signature: s-{id}\r\n{line}\r\n");
            vec![Action::Send(head + "more"), Action::Close]
        };
        assert_no_response(script, path, on_own_machine).await;
    });
}

/// Fields by which an instance describes its connection and itself: odd values cost no response.
#[rstest]
fn odd_values_of_fields_cost_no_response(
    #[values(
        "Keep-Alive: timeout=18446744073709551615",
        "Keep-Alive: timeout=99999999999999999999999999",
        "Keep-Alive: timeout=-1",
        "Keep-Alive: timeout=1e400",
        "Keep-Alive: timeout=",
        "x-rate: 1e400",
        "x-rate: -1",
        "x-rate: NaN",
        "x-rate: 1e308",
        "x-leaving: 99999999999999999999999999",
        "x-instance: \u{e9}"
    )]
    field: &'static str,
    #[values(true, false)] on_own_machine: bool,
) {
    run(async move {
        let script = move |request: &ReceivedRequest, _| {
            let id = request.id();
            let head =
                format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signature: s\r\n{field}\r\nContent-Length: 2\r\n\r\n");
            vec![Action::Send(head + "ok")]
        };
        let (fleet, _instance) = two_machines(script).await;
        let edge = if on_own_machine { 2 } else { 1 };
        let mut client = Client::connect(fleet.outbound(edge)).await;
        for number in 0..3 {
            let response = client.request(&post("/once/", &format!("r{number}"), "x")).await;
            assert_eq!((response.head.status, response.body.as_str()), (200, "ok"));
        }
    });
}

#[rstest]
fn a_safe_request_with_a_broken_response_is_retried_elsewhere() {
    run(async {
        let fleet = Fleet::new();
        fleet.source.configure(configuration(1, vec![route("/safe/", "books", Safe)]));
        fleet.list(2, "books-1", "books");
        fleet.list(3, "books-2", "books");
        // The instance that gets the first request closes the connection; all later requests are answered.
        let closed = Rc::new(Cell::new(false));
        let script = |closed: Rc<Cell<bool>>| {
            move |request: &ReceivedRequest, _| {
                let responds = request.is_health_check() || closed.replace(true);
                if responds { respond_ok(request) } else { vec![Action::Close] }
            }
        };
        let first = TestInstance::start(fleet.instance_address(2), script(closed.clone())).await;
        let second = TestInstance::start(fleet.instance_address(3), script(closed)).await;
        for machine in [2, 3] {
            Fleet::wait_until_ready(&fleet.start(machine, "books").await).await;
        }
        Fleet::wait_until_ready(&fleet.start(1, "desk").await).await;
        let mut client = Client::connect(fleet.outbound(1)).await;
        for number in 0..6 {
            let response = client.request(&get("/safe/", &format!("r{number}"))).await;
            assert_eq!(response.head.status, 200);
        }
        assert_eq!(first.runs() + second.runs(), 7);
    });
}

#[rstest]
fn a_response_without_length_is_complete_when_its_connection_closes() {
    run(async {
        let script = |request: &ReceivedRequest, _| {
            let text = format!("HTTP/1.1 200 OK\r\nx-id: {}\r\nx-signature: s\r\n\r\nall of it", request.id());
            vec![Action::Send(text), Action::Close]
        };
        let (fleet, _instance) = two_machines(script).await;
        let mut client = Client::connect(fleet.outbound(1)).await;
        let response = client.request(&get("/safe/", "r1")).await;
        assert_eq!((response.head.status, response.body.as_str(), response.is_complete), (200, "all of it", true));
    });
}

#[rstest]
fn a_large_response_that_breaks_off_does_not_look_complete() {
    run(async {
        let script = |request: &ReceivedRequest, _| {
            let head = format!(
                "HTTP/1.1 200 OK\r\nx-id: {}\r\nx-signature: s\r\nTransfer-Encoding: chunked\r\n\r\n",
                request.id()
            );
            let chunk = format!("{:x}\r\n{}\r\n", 50_000, "a".repeat(50_000));
            vec![
                Action::Send(head),
                Action::Send(chunk.clone()),
                Action::Send(chunk),
                Action::Sleep(50),
                Action::Reset,
            ]
        };
        let (fleet, _instance) = two_machines(script).await;
        let mut client = Client::connect(fleet.outbound(1)).await;
        let response = client.request(&get("/safe/", "r1")).await;
        assert_eq!(response.head.status, 200);
        assert!(!response.is_complete);
    });
}

#[rstest]
fn a_failure_keeps_its_status_and_signature() {
    run(async {
        let (fleet, _instance) =
            two_machines(|request, _| vec![Action::Send(response(500, &request.id(), "no"))]).await;
        let mut client = Client::connect(fleet.outbound(1)).await;
        let response = client.request(&get("/safe/", "r1")).await;
        assert_eq!((response.head.status, response.field("x-signature").as_deref()), (500, Some("s-r1")));
    });
}

#[rstest]
fn a_refusal_of_the_instance_is_passed_on_with_a_retry_time() {
    run(async {
        let refusal = |request: &ReceivedRequest, _| {
            vec![Action::Send(format!(
                "HTTP/1.1 503 X\r\nx-id: {}\r\nx-not-run: 1\r\nContent-Length: 0\r\n\r\n",
                request.id()
            ))]
        };
        let (fleet, _instance) = two_machines(refusal).await;
        let mut client = Client::connect(fleet.outbound(1)).await;
        let response = client.request(&post("/once/", "r1", "x")).await;
        assert_eq!(response.head.status, 503);
        assert!(response.field("retry-after").is_some());
    });
}

#[rstest]
fn a_restarted_instance_is_served_before_the_source_lists_it() {
    run(async {
        let script = |request: &ReceivedRequest, _| {
            if request.field("x-expected") == "books-2" {
                return respond_ok(request);
            }
            let head = format!("HTTP/1.1 421 X\r\nx-id: {}\r\nx-instance: books-2\r\n", request.id());
            vec![Action::Send(head + "Content-Length: 0\r\n\r\n")]
        };
        let (fleet, _instance) = two_machines(script).await;
        fleet.source.set_down(true);
        let mut client = Client::connect(fleet.outbound(1)).await;
        let mut statuses = Vec::new();
        for number in 0..3 {
            statuses.push(client.request(&post("/once/", &format!("r{number}"), "x")).await.head.status);
        }
        assert_eq!(statuses.last(), Some(&200), "{statuses:?}");
        assert!(!statuses.contains(&502), "421 says that the request did not run: {statuses:?}");
    });
}
