//! Client requests: pipelining, limits, early disconnects, invalid requests, long bodies.

use std::time::Duration;

use olivegate_sidecar::model::RetrySafety::{Safe, Unsafe};
use rstest::rstest;
use tokio::time::Instant;

use crate::client::{Client, get, post};
use crate::instance::{Action, ReceivedRequest, TestInstance, response};
use crate::support::{Fleet, configuration, eventually, route, run};

async fn one_machine(script: impl Fn(&ReceivedRequest, usize) -> Vec<Action> + 'static) -> (Fleet, TestInstance) {
    let fleet = Fleet::new();
    let routes = vec![route("/safe/", "books", Safe), route("/once/", "books", Unsafe)];
    fleet.source.configure(configuration(1, routes));
    fleet.list(1, "books-1", "books");
    let instance = TestInstance::start(fleet.instance_address(1), script).await;
    Fleet::wait_until_ready(&fleet.start(1, "books").await).await;
    (fleet, instance)
}

fn respond_after(millis: u64) -> impl Fn(&ReceivedRequest, usize) -> Vec<Action> {
    move |request, _| vec![Action::Sleep(millis), Action::Send(response(200, &request.id(), &request.id()))]
}

#[rstest]
fn pipelined_requests_run_together_and_are_answered_in_order() {
    run(async {
        let script = |request: &ReceivedRequest, before: usize| {
            let millis = if before == 0 { 300 } else { 100 };
            vec![Action::Sleep(millis), Action::Send(response(200, &request.id(), &request.id()))]
        };
        let (fleet, _instance) = one_machine(script).await;
        let mut client = Client::connect(fleet.outbound(1)).await;
        let began = Instant::now();
        client.send(&(get("/safe/", "a") + &get("/safe/", "b") + &get("/safe/", "c"))).await;
        for id in ["a", "b", "c"] {
            assert_eq!(client.next_response().await.unwrap().body, id);
        }
        assert!(began.elapsed() < Duration::from_millis(480), "took {:?}", began.elapsed());
    });
}

#[rstest]
fn a_client_that_leaves_frees_the_instance() {
    run(async {
        let (fleet, instance) = one_machine(respond_after(1_500)).await;
        let mut client = Client::connect(fleet.outbound(1)).await;
        client.send(&get("/safe/", "a")).await;
        eventually("the instance runs it", || instance.runs() == 1).await;
        drop(client);
        eventually("its connection is closed", || instance.abandoned.get() == 1).await;
    });
}

#[rstest]
fn a_client_that_leaves_frees_the_instance_behind_another_node() {
    run(async {
        let (fleet, instance) = one_machine(respond_after(1_500)).await;
        Fleet::wait_until_ready(&fleet.start(2, "desk").await).await;
        let mut client = Client::connect(fleet.outbound(2)).await;
        client.send(&get("/safe/", "a")).await;
        eventually("the instance runs it", || instance.runs() == 1).await;
        drop(client);
        eventually("its connection is closed", || instance.abandoned.get() == 1).await;
    });
}

/// The request announces that it is the last one; the node still has to detect that its client disconnects.
#[rstest]
fn a_client_that_leaves_after_its_last_request_frees_the_instance() {
    run(async {
        let (fleet, instance) = one_machine(respond_after(1_500)).await;
        let mut client = Client::connect(fleet.outbound(1)).await;
        let last = get("/safe/", "a").replacen("\r\n", "\r\nConnection: close\r\n", 1);
        client.send(&last).await;
        eventually("the instance runs it", || instance.runs() == 1).await;
        drop(client);
        tokio::time::sleep(Duration::from_millis(500)).await;
        assert_eq!(instance.abandoned.get(), 1);
    });
}

/// While a response was written, nobody watched whether its client was still there.
#[rstest]
#[case::beside_the_instance(1)]
#[case::on_another_machine(2)]
fn a_client_that_leaves_in_the_middle_of_a_long_response_frees_the_instance(#[case] edge: u8) {
    run(async {
        let (fleet, instance) = one_machine(|request: &ReceivedRequest, _| {
            let whole = response(200, &request.id(), &"x".repeat(200_000));
            vec![Action::Send(whole[..100_000].to_string()), Action::Sleep(1_500)]
        })
        .await;
        if edge == 2 {
            Fleet::wait_until_ready(&fleet.start(2, "desk").await).await;
        }
        let mut client = Client::connect(fleet.outbound(edge)).await;
        client.send(&get("/safe/", "a")).await;
        eventually("the instance runs it", || instance.runs() == 1).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
        drop(client);
        tokio::time::sleep(Duration::from_millis(500)).await;
        assert_eq!(instance.abandoned.get(), 1);
    });
}

#[rstest]
fn what_does_not_fit_is_refused_at_once_and_never_runs() {
    run(async {
        let (fleet, instance) = one_machine(respond_after(900)).await;
        let mut clients = Vec::new();
        for number in 0..3 {
            let mut client = Client::connect(fleet.outbound(1)).await;
            client.send(&get("/safe/", &format!("fill-{number}"))).await;
            clients.push(client);
        }
        eventually("the slots are full", || instance.runs() == 3).await;
        let mut client = Client::connect(fleet.outbound(1)).await;
        let began = Instant::now();
        let response = client.request(&post("/once/", "late", "x")).await;
        assert_eq!(response.head.status, 503);
        assert!(response.field("retry-after").is_some());
        assert!(began.elapsed() < Duration::from_millis(400), "took {:?}", began.elapsed());
        tokio::time::sleep(Duration::from_millis(1_000)).await;
        assert!(instance.received.borrow().iter().all(|request| request.id() != "late"));
    });
}

#[rstest]
fn a_request_that_outlasts_its_route_is_answered_then() {
    run(async {
        let (fleet, _instance) = one_machine(respond_after(10_000)).await;
        let mut client = Client::connect(fleet.outbound(1)).await;
        let request = get("/safe/", "a").replace("x-time: 2000", "x-time: 9000");
        let began = Instant::now();
        assert_eq!(client.request(&request).await.head.status, 504);
        let took = began.elapsed();
        assert!(took > Duration::from_millis(1_900) && took < Duration::from_millis(2_200), "took {took:?}");
    });
}

#[rstest]
#[case::no_route("GET /nowhere/ HTTP/1.1\r\nHost: shop\r\nx-id: a\r\n\r\n", 404)]
#[case::no_host("GET /safe/ HTTP/1.1\r\nx-id: a\r\n\r\n", 400)]
#[case::no_id("GET /safe/ HTTP/1.1\r\nHost: shop\r\n\r\n", 400)]
#[case::odd_time("GET /safe/ HTTP/1.1\r\nHost: shop\r\nx-id: a\r\nx-time: soon\r\n\r\n", 400)]
#[case::bare_line_feed("GET /safe/ HTTP/1.1\r\nHost: shop\r\nx-id: a\nx-time: 2000\r\n\r\n", 400)]
#[case::two_bare_line_feeds("GET /safe/ HTTP/1.1\r\nHost: shop\r\nx-id: a\n\nGET /safe/ HTTP/1.1\r\n\r\n", 400)]
#[case::blank_in_field_name("GET /safe/ HTTP/1.1\r\nHost: shop\r\nx-id: a\r\nX A: b\r\n\r\n", 400)]
#[case::two_lengths("POST /safe/ HTTP/1.1\r\nHost: shop\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", 400)]
fn a_request_at_fault_never_reaches_an_instance(#[case] text: &'static str, #[case] status: u16) {
    run(async move {
        let (fleet, instance) = one_machine(respond_after(0)).await;
        let mut client = Client::connect(fleet.outbound(1)).await;
        assert_eq!(client.request(text).await.head.status, status);
        assert_eq!(instance.runs(), 0);
    });
}

#[rstest]
#[case::one_machine(1)]
#[case::two_machines(2)]
fn a_long_body_arrives_whole(#[case] edge: u8) {
    run(async move {
        let (fleet, instance) = one_machine(respond_after(0)).await;
        if edge == 2 {
            Fleet::wait_until_ready(&fleet.start(2, "desk").await).await;
        }
        let body: String = (0..300_000).map(|number| char::from(b'a' + (number % 23) as u8)).collect();
        let mut client = Client::connect(fleet.outbound(edge)).await;
        let response = client.request(&post("/once/", "long", &body)).await;
        assert_eq!(response.head.status, 200);
        assert_eq!(instance.received.borrow()[0].body.len(), body.len());
        assert_eq!(instance.received.borrow()[0].body, body);
    });
}

#[rstest]
fn headers_of_one_connection_stay_there() {
    run(async {
        let (fleet, instance) = one_machine(respond_after(0)).await;
        let mut client = Client::connect(fleet.outbound(1)).await;
        let request = "GET /safe/ HTTP/1.1\r\nHost: shop\r\nx-id: a\r\nConnection: X-Private\r\nX-Private: 1\r\nX-Public: 2\r\nx-caller: forged\r\nx-expected: forged\r\n\r\n";
        assert_eq!(client.request(request).await.head.status, 200);
        let request = instance.received.borrow()[0].clone();
        assert_eq!((request.field("x-private").as_str(), request.field("x-public").as_str()), ("", "2"));
        assert_eq!(
            (request.field("x-caller").as_str(), request.field("x-expected").as_str()),
            ("books", "books-1")
        );
    });
}
