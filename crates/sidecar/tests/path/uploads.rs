//! Request bodies that are too long to be buffered: they arrive at the instance whole, or visibly incomplete.

use olivegate_sidecar::model::RetrySafety::Unsafe;
use olivegate_sidecar::model::{ClientLimits, Configuration};
use rstest::rstest;
use tokio::io::AsyncWriteExt;

use crate::client::{Client, ClientResponse};
use crate::instance::{Action, ReceivedRequest, TestInstance, response};
use crate::support::{Fleet, configuration, route, run};

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
    instance: TestInstance,
}

fn limited(max_body_bytes: usize) -> Configuration {
    let limits = ClientLimits { max_body_bytes: max_body_bytes as u64, ..ClientLimits::default() };
    Configuration { limits, ..configuration(1, vec![route("/upload/", "books", Unsafe)]) }
}

impl Upload {
    async fn start(place: Place) -> Self {
        let fleet = Fleet::new();
        fleet.source.configure(limited(MAX_BODY_BYTES));
        let (own_service, machine) = match place {
            Place::OwnMachine => ("books", 1),
            Place::OtherMachine => ("desk", 2),
        };
        fleet.list(machine, "books", "books");
        let script = |request: &ReceivedRequest, _| vec![Action::Send(response(200, &request.id(), "ok"))];
        let instance = TestInstance::start(fleet.instance_address(machine), script).await;
        Fleet::wait_until_ready(&fleet.start(1, own_service).await).await;
        if place == Place::OtherMachine {
            Fleet::wait_until_ready(&fleet.start(2, "books").await).await;
        }
        Upload { fleet, instance }
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
            if in_chunks {
                client.send(&head("whole", "Transfer-Encoding: chunked\r\n")).await;
                send_chunks(&mut client, &body).await;
                client.send("0\r\nx-trailer: a\r\n\r\n").await;
            } else {
                client.send(&head("whole", &format!("Content-Length: {length}\r\n"))).await;
                client.writer.write_all(&body).await.unwrap();
            }
            assert_eq!(client.next_response().await.unwrap().head.status, 200, "{length} bytes");
            assert!(upload.instance.received.borrow().last().unwrap().body == body, "{length} bytes");
        }
    });
}
