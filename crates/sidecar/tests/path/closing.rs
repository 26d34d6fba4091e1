//! The node closes connections whose clients have not received all of a large response yet.

use std::rc::Rc;
use std::time::Duration;

use olivegate_sidecar::model::RetrySafety::Safe;
use olivegate_sidecar::model::{ClientLimits, Configuration, Millis};
use olivegate_sidecar::state::Node;
use rstest::rstest;
use tokio::io::AsyncWriteExt;
use tokio::task::spawn_local;

use crate::client::{Client, get};
use crate::instance::{Action, ReceivedRequest, TestInstance, response};
use crate::support::{Fleet, configuration, eventually, route, run};

/// More than the kernel of a client takes in unread.
const LARGE_RESPONSE_BYTES: usize = 1_500_000;
/// Time for a response to be written, and for a close to reach the client.
const SETTLE_TIME: Duration = Duration::from_millis(200);

struct Fixture {
    fleet: Fleet,
    node: Rc<Node>,
    instance: TestInstance,
}

impl Fixture {
    async fn start(limits: ClientLimits) -> Self {
        let fleet = Fleet::new();
        fleet
            .source
            .configure(Configuration { limits, ..configuration(1, vec![route("/plates/", "scans", Safe)]) });
        fleet.list(1, "scans", "scans");
        let script = |request: &ReceivedRequest, _| {
            vec![Action::Send(response(200, &request.id(), &"x".repeat(LARGE_RESPONSE_BYTES)))]
        };
        let instance = TestInstance::start(fleet.instance_address(1), script).await;
        let node = fleet.start(1, "scans").await;
        Fleet::wait_until_ready(&node).await;
        Fixture { fleet, node, instance }
    }

    /// A client that has sent a request and reads nothing of its response yet.
    async fn slow_reader(&self, request: &str) -> Client {
        let runs = self.instance.runs();
        let mut client = Client::connect(self.fleet.outbound(1)).await;
        client.send(request).await;
        eventually("the request runs", || self.instance.runs() > runs).await;
        tokio::time::sleep(SETTLE_TIME).await;
        client
    }
}

/// Sends more input on a connection that may have been closed.
async fn send_more(client: &mut Client, text: &str) {
    let _ = client.writer.write_all(text.as_bytes()).await;
    tokio::time::sleep(SETTLE_TIME).await;
}

async fn assert_whole(client: &mut Client) {
    let response = client.next_response().await.expect("a response");
    assert!(response.is_complete, "cut after {} bytes", response.body.len());
    assert_eq!((response.head.status, response.body.len()), (200, LARGE_RESPONSE_BYTES));
}

/// The socket was closed with unread input, which resets the connection, and the process ended.
#[rstest]
fn a_stop_does_not_cut_a_response_that_its_client_reads_slowly() {
    run(async {
        let fixture = Fixture::start(ClientLimits::default()).await;
        let mut client = Client::connect(fixture.fleet.outbound(1)).await;
        let node = fixture.node.clone();
        let stopping = spawn_local(async move { node.stop.run(Duration::from_secs(6)).await });
        tokio::task::yield_now().await;
        client.send(&get("/plates/", "first")).await;
        tokio::time::sleep(SETTLE_TIME).await;
        send_more(&mut client, &get("/plates/", "second")).await;
        tokio::time::sleep(Duration::from_millis(2_500)).await;
        assert!(!stopping.is_finished(), "the process ends after the response is delivered");
        assert_whole(&mut client).await;
        drop(client);
        assert!(stopping.await.unwrap(), "nothing is cut off");
    });
}

/// As above, with a connection that is idle for the node once the response is written.
#[rstest]
fn a_stop_does_not_cut_a_response_on_an_idle_connection() {
    run(async {
        let fixture = Fixture::start(ClientLimits::default()).await;
        let mut client = fixture.slow_reader(&get("/plates/", "first")).await;
        let node = fixture.node.clone();
        let stopping = spawn_local(async move { node.stop.run(Duration::from_secs(6)).await });
        tokio::time::sleep(Duration::from_millis(2_600)).await;
        send_more(&mut client, &get("/plates/", "second")).await;
        assert!(!stopping.is_finished(), "the process ends after the response is delivered");
        assert_whole(&mut client).await;
        assert!(stopping.await.unwrap(), "nothing is cut off");
    });
}

/// A stop waited for each client to notice that its connection closes, and there was always one that had not.
#[rstest]
fn a_stop_does_not_wait_for_clients_that_do_not_close() {
    run(async {
        let fixture = Fixture::start(ClientLimits::default()).await;
        let node = fixture.node.clone();
        let stopping = spawn_local(async move { node.stop.run(Duration::from_secs(6)).await });
        let mut open = Vec::new();
        while !stopping.is_finished() {
            let mut client = Client::connect(fixture.fleet.outbound(1)).await;
            client.send("GET /unknown/ HTTP/1.1\r\nHost: shop\r\nx-id: a\r\nx-time: 2000\r\n\r\n").await;
            assert!(client.next_response().await.is_some());
            open.push(client);
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        assert!(stopping.await.unwrap(), "the stop lasted for the whole grace period");
    });
}

#[rstest]
fn an_idle_timeout_does_not_cut_a_response() {
    run(async {
        let limits =
            ClientLimits { head_timeout: Millis(100), idle_timeout: Millis(300), ..ClientLimits::default() };
        let fixture = Fixture::start(limits).await;
        let mut client = fixture.slow_reader(&get("/plates/", "first")).await;
        tokio::time::sleep(Duration::from_millis(500)).await;
        send_more(&mut client, &get("/plates/", "second")).await;
        assert_whole(&mut client).await;
        assert!(client.next_response().await.is_none());
    });
}

#[rstest]
#[case::to_leave("Connection: close\r\n", "GET /plates/ HTTP/1.1\r\nHost: shop\r\n")]
#[case::malformed("", "no request\r\n\r\n and more")]
fn input_behind_the_last_request_does_not_cut_its_response(#[case] field: &str, #[case] more: &str) {
    run(async {
        let fixture = Fixture::start(ClientLimits::default()).await;
        let request = format!("GET /plates/ HTTP/1.1\r\nHost: shop\r\nx-id: first\r\nx-time: 9000\r\n{field}\r\n");
        let mut client = fixture.slow_reader(&request).await;
        send_more(&mut client, more).await;
        send_more(&mut client, more).await;
        assert_whole(&mut client).await;
    });
}

/// A client that sends all of its body before it reads must get the rejection of the body, not a reset.
#[rstest]
fn a_rejection_reaches_a_client_that_is_still_sending() {
    run(async {
        let limits = ClientLimits { max_body_bytes: 1_000, ..ClientLimits::default() };
        let fixture = Fixture::start(limits).await;
        let mut client = Client::connect(fixture.fleet.outbound(1)).await;
        let body = "x".repeat(4 << 20);
        client.send(&format!("POST /plates/ HTTP/1.1\r\nHost: shop\r\nx-id: a\r\nx-time: 2000\r\nContent-Length: {}\r\n\r\n{body}", body.len())).await;
        tokio::time::sleep(SETTLE_TIME).await;
        assert_eq!(client.next_response().await.expect("a response").head.status, 413);
    });
}

#[rstest]
fn an_eviction_does_not_cut_a_response() {
    run(async {
        let fixture = Fixture::start(ClientLimits::default()).await;
        let mut client = fixture.slow_reader(&get("/plates/", "first")).await;
        let mut others = Vec::new();
        for _ in 0..fixture.fleet.machine_limits().max_connections() {
            others.push(Client::connect(fixture.fleet.outbound(1)).await);
        }
        tokio::time::sleep(SETTLE_TIME).await;
        send_more(&mut client, &get("/plates/", "second")).await;
        assert_whole(&mut client).await;
        assert!(client.next_response().await.is_none(), "its connection was evicted");
    });
}
