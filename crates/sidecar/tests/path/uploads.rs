//! Request bodies that are too long to be buffered: they arrive at the instance whole, or visibly incomplete.

use std::rc::Rc;

use olivegate_sidecar::model::RetrySafety::Unsafe;
use olivegate_sidecar::model::{ClientLimits, Configuration};
use olivegate_sidecar::state::Node;
use rstest::rstest;
use tokio::io::AsyncWriteExt;

use crate::client::{Client, ClientResponse};
use crate::instance::{Action, ReceivedRequest, TestInstance, response};
use crate::support::{Fleet, configuration, eventually, route, run};

/// Limit on bodies in force.
const MAX_BODY_BYTES: usize = 256 << 10;
/// Size of the chunks that clients send.
const CHUNK_BYTES: usize = 8 << 10;

/// Where the instance that runs the uploads is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Place {
    /// Beside the node of the clients.
    OwnMachine,
    /// Behind the gate of another node.
    OtherMachine,
}

/// How an upload goes wrong after its first chunks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    /// More chunks follow than the limit allows.
    OverLimit,
    /// The line with the size of a chunk is malformed.
    MalformedChunkSize,
    /// A chunk does not end where its size says.
    MalformedChunkEnd,
    /// The lines after the last chunk are too long.
    OversizedTrailers,
}

struct Upload {
    fleet: Fleet,
    node: Rc<Node>,
    instance: TestInstance,
}

fn limited(version: u64, max_body_bytes: usize) -> Configuration {
    let limits = ClientLimits { max_body_bytes: max_body_bytes as u64, ..ClientLimits::default() };
    Configuration { limits, ..configuration(version, vec![route("/upload/", "books", Unsafe)]) }
}

impl Upload {
    async fn start(place: Place) -> Self {
        let fleet = Fleet::new();
        fleet.source.configure(limited(1, MAX_BODY_BYTES));
        let (own_service, machine) = match place {
            Place::OwnMachine => ("books", 1),
            Place::OtherMachine => ("desk", 2),
        };
        fleet.list(machine, "books", "books");
        let script = |request: &ReceivedRequest, _| vec![Action::Send(response(200, &request.id(), "ok"))];
        let instance = TestInstance::start(fleet.instance_address(machine), script).await;
        let node = fleet.start(1, own_service).await;
        Fleet::wait_until_ready(&node).await;
        if place == Place::OtherMachine {
            Fleet::wait_until_ready(&fleet.start(2, "books").await).await;
        }
        Upload { fleet, node, instance }
    }
}

fn head(id: &str, framing: &str) -> String {
    format!("POST /upload/x HTTP/1.1\r\nHost: shop\r\nx-id: {id}\r\nx-time: 2000\r\n{framing}\r\n")
}

/// A body whose bytes differ from place to place.
fn pattern(length: usize) -> Vec<u8> {
    (0..length).map(|position| (position * 31 + position / 251) as u8).collect()
}

/// Sends `bytes` in chunks, without the last, empty chunk. A node that has ended the connection is ignored.
async fn send_chunks(client: &mut Client, bytes: &[u8]) {
    for chunk in bytes.chunks(CHUNK_BYTES) {
        let _ = client.writer.write_all(format!("{:x};part=1\r\n", chunk.len()).as_bytes()).await;
        let _ = client.writer.write_all(chunk).await;
        let _ = client.writer.write_all(b"\r\n").await;
    }
}

/// Sends an upload in chunks that goes wrong midway, and returns the response.
async fn send_faulty(client: &mut Client, id: &str, fault: Fault) -> Option<ClientResponse> {
    client.send(&head(id, "Transfer-Encoding: chunked\r\n")).await;
    send_chunks(client, &pattern(MAX_BODY_BYTES / 2)).await;
    let rest = match fault {
        Fault::OverLimit => {
            send_chunks(client, &pattern(MAX_BODY_BYTES)).await;
            "0\r\n\r\n".to_string()
        }
        Fault::MalformedChunkSize => "no size\r\n".to_string(),
        Fault::MalformedChunkEnd => "2\r\nabc\r\n0\r\n\r\n".to_string(),
        Fault::OversizedTrailers => format!("0\r\nx-trailer: {}\r\n\r\n", "x".repeat(64 << 10)),
    };
    let _ = client.writer.write_all(rest.as_bytes()).await;
    client.next_response().await
}

/// Sends a complete upload and returns the status of its response.
async fn send_whole(client: &mut Client, body: &[u8], in_chunks: bool) -> u16 {
    if in_chunks {
        client.send(&head("whole", "Transfer-Encoding: chunked\r\n")).await;
        send_chunks(client, body).await;
        let _ = client.writer.write_all(b"0\r\nx-trailer: a\r\n\r\n").await;
    } else {
        client.send(&head("whole", &format!("Content-Length: {}\r\n", body.len()))).await;
        let _ = client.writer.write_all(body).await;
    }
    client.next_response().await.expect("a response").head.status
}

/// The body was passed on as complete where it broke off: the instance ran the shortened request.
#[rstest]
fn an_upload_that_is_rejected_midway_is_not_run_shortened(
    #[values(Place::OwnMachine, Place::OtherMachine)] place: Place,
    #[values(
        (Fault::OverLimit, 413),
        (Fault::MalformedChunkSize, 400),
        (Fault::MalformedChunkEnd, 400),
        (Fault::OversizedTrailers, 431)
    )]
    (fault, status): (Fault, u16),
) {
    run(async {
        let upload = Upload::start(place).await;
        let mut client = Client::connect(upload.fleet.outbound(1)).await;
        let rejection = send_faulty(&mut client, "faulty", fault).await.expect("a response");
        assert_eq!(rejection.head.status, status);
        assert_eq!(rejection.field("x-id").as_deref(), Some("faulty"), "it belongs to the upload");
        assert_eq!(rejection.field("x-signature"), None);
        assert!(client.next_response().await.is_none(), "one response for one request");
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
        assert_eq!(upload.instance.runs(), 0);
    });
}

#[rstest]
#[case::in_chunks(true)]
#[case::with_a_length(false)]
fn uploads_up_to_the_limit_arrive_whole(
    #[values(Place::OwnMachine, Place::OtherMachine)] place: Place,
    #[case] in_chunks: bool,
) {
    run(async {
        let upload = Upload::start(place).await;
        let mut client = Client::connect(upload.fleet.outbound(1)).await;
        for length in [1, 64 << 10, (64 << 10) + 1, MAX_BODY_BYTES - 1, MAX_BODY_BYTES] {
            let body = pattern(length);
            assert_eq!(send_whole(&mut client, &body, in_chunks).await, 200, "{length} bytes");
            assert!(upload.instance.received.borrow().last().unwrap().body == body, "{length} bytes");
        }
    });
}

/// A connection kept the limits with which it was accepted.
#[rstest]
fn a_kept_connection_follows_a_limit_that_rises(#[values(true, false)] in_chunks: bool) {
    run(async {
        let upload = Upload::start(Place::OwnMachine).await;
        let mut client = Client::connect(upload.fleet.outbound(1)).await;
        assert_eq!(send_whole(&mut client, &pattern(100), in_chunks).await, 200);
        upload.fleet.source.configure(limited(2, 4 * MAX_BODY_BYTES));
        eventually("the limit is in force", || upload.node.known_state().configuration.0 == 2).await;
        let body = pattern(2 * MAX_BODY_BYTES);
        assert_eq!(send_whole(&mut client, &body, in_chunks).await, 200);
        assert!(upload.instance.received.borrow().last().unwrap().body == body);
    });
}

/// A connection that was accepted before the first configuration kept the default limits.
#[rstest]
fn a_connection_from_before_the_configuration_follows_its_limits() {
    run(async {
        let fleet = Fleet::new();
        fleet.source.set_down(true);
        let node = fleet.start(1, "books").await;
        let mut client = Client::connect(fleet.outbound(1)).await;
        assert_eq!(send_whole(&mut client, b"early", false).await, 503);
        fleet.list(1, "books", "books");
        fleet.source.configure(limited(1, MAX_BODY_BYTES));
        fleet.source.set_down(false);
        Fleet::wait_until_ready(&node).await;
        assert_eq!(send_whole(&mut client, &pattern(MAX_BODY_BYTES + 1), false).await, 413);
    });
}
