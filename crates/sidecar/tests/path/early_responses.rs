//! Responses to uploads that are still being written: they arrive whole, or visibly incomplete.

use std::collections::HashSet;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use olivegate_sidecar::model::RetrySafety::Unsafe;
use rstest::rstest;
use tokio::io::AsyncWriteExt;
use tokio::task::spawn_local;

use crate::client::{Client, ClientResponse};
use crate::support::{Fleet, configuration, route, run};

/// Bytes of an upload: more than the sockets between client and instance hold.
const UPLOAD_BYTES: usize = 5 << 20;
/// Number of uploads at once. The order in which a node learns of a reset differs from one to the next.
const UPLOADS: usize = 24;
/// Maximum size of the head of an upload in bytes.
const MAX_HEAD_BYTES: usize = 4_096;

/// Responses to requests that have waited, or would wait, for a slot for too long.
const WAITED_TOO_LONG: [&str; 2] = ["predicted-wait\n", "queue-timeout\n"];

/// How an instance ends its connection after the response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ending {
    /// With a reset.
    Reset,
    /// In order, and it reads the rest of the upload.
    InOrder,
}

/// The ids of the requests that an instance has received.
type ReceivedIds = Arc<Mutex<HashSet<String>>>;

/// An instance that responds to each upload as soon as it has read its head.
#[derive(Debug, Clone, Copy)]
struct EarlyResponder {
    version: &'static str,
    status: u16,
    fields: &'static str,
    body_bytes: usize,
    pause: Duration,
    ending: Ending,
}

impl EarlyResponder {
    /// Serves `address` on threads of its own, so that a reset may come while a node writes.
    /// Returns the ids of the requests that it has received.
    fn start(self, address: SocketAddr) -> ReceivedIds {
        let listener = TcpListener::bind(address).unwrap();
        let received = ReceivedIds::default();
        let returned = received.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let received = received.clone();
                // The connection may fail while the response is written.
                std::thread::spawn(move || stream.and_then(|stream| self.respond(stream, &received)));
            }
        });
        returned
    }

    fn respond(self, mut stream: TcpStream, received: &ReceivedIds) -> std::io::Result<()> {
        let mut head = vec![0; MAX_HEAD_BYTES];
        let read = stream.read(&mut head)?;
        let text = String::from_utf8_lossy(&head[..read]).into_owned();
        let id = text.lines().find_map(|line| line.strip_prefix("x-id: ")).unwrap_or_default();
        received.lock().unwrap().insert(id.to_string());
        let (version, status, fields) = (self.version, self.status, self.fields);
        let head = format!("{version} {status} X\r\nx-id: {id}\r\nx-signature: s-{id}\r\n{fields}\r\n");
        stream.write_all(head.as_bytes())?;
        stream.write_all(&vec![b'a'; self.body_bytes])?;
        std::thread::sleep(self.pause);
        match self.ending {
            Ending::Reset => socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)),
            Ending::InOrder => {
                stream.shutdown(Shutdown::Write)?;
                std::io::copy(&mut stream, &mut std::io::sink()).map(drop)
            }
        }
    }
}

/// Sends an upload and returns the response, if there is any. The node may close the connection before it has
/// taken the whole upload.
async fn upload(edge: SocketAddr, number: usize) -> Option<ClientResponse> {
    let mut client = Client::connect(edge).await;
    let head = format!(
        "POST /upload/ HTTP/1.1\r\nHost: shop\r\nx-id: r{number}\r\nx-time: 5000\r\n\
         Content-Length: {UPLOAD_BYTES}\r\n\r\n"
    );
    client.send(&head).await;
    let Client { mut writer, mut responses } = client;
    let sending = spawn_local(async move { writer.write_all(&vec![b'u'; UPLOAD_BYTES]).await.map(|()| writer) });
    let response = Client::read_response(&mut responses).await;
    sending.abort();
    response
}

/// The responses to uploads through the edge on machine 1 to the instance on machine `machine`.
async fn responses(machine: u8, instance: EarlyResponder) -> Vec<ClientResponse> {
    responses_and_received(machine, instance).await.0
}

/// The same, with the ids of the uploads that the instance has received.
async fn responses_and_received(machine: u8, instance: EarlyResponder) -> (Vec<ClientResponse>, ReceivedIds) {
    let fleet = Fleet::new();
    fleet.source.configure(configuration(1, vec![route("/upload/", "books", Unsafe)]));
    let mut listed = fleet.list(machine, "books-1", "books");
    listed.slots = UPLOADS as u32;
    fleet.source.list(listed);
    let received = instance.start(fleet.instance_address(machine));
    let mut services = [(1, if machine == 1 { "books" } else { "desk" }), (2, "books")].into_iter();
    for (machine, service) in services.by_ref().take(usize::from(machine)) {
        Fleet::wait_until_ready(&fleet.start(machine, service).await).await;
    }
    let uploads = (0..UPLOADS).map(|number| upload(fleet.outbound(1), number));
    (futures::future::join_all(uploads).await.into_iter().flatten().collect(), received)
}

/// The responses to the uploads that have arrived at the instance. One that waits for too long beside other load is
/// refused before the instance gets any of it; each other has to be.
fn arrived<'a>(responses: &'a [ClientResponse], received: &ReceivedIds) -> Vec<&'a ClientResponse> {
    let received = received.lock().unwrap();
    assert!(!received.is_empty(), "no upload has arrived");
    let has_arrived =
        |response: &&ClientResponse| received.contains(&response.field("x-id").expect("the id of the upload"));
    let (arrived, waited): (Vec<_>, Vec<_>) = responses.iter().partition(has_arrived);
    for refused in waited {
        assert_eq!(refused.head.status, 503, "{refused:?}");
        assert!(WAITED_TOO_LONG.contains(&refused.body.as_str()), "{refused:?}");
        assert!(refused.field("retry-after").is_some(), "{refused:?}");
    }
    arrived
}

/// Clients got a part of a response as the whole one: the half of the connection that writes took the error of
/// the reset, and the half that reads then saw an orderly end.
#[rstest]
fn an_early_response_that_is_reset_does_not_look_complete(
    #[values(1, 2)] machine: u8,
    #[values(2 << 10, 150 << 10)] body_bytes: usize,
    #[values(0, 20)] pause_ms: u64,
    #[values(("HTTP/1.1", ""), ("HTTP/1.1", "Connection: close\r\n"), ("HTTP/1.0", ""))] (version, fields): (
        &'static str,
        &'static str,
    ),
) {
    run(async move {
        let pause = Duration::from_millis(pause_ms);
        let instance = EarlyResponder { version, status: 200, fields, body_bytes, pause, ending: Ending::Reset };
        let responses = responses(machine, instance).await;
        let complete = |response: &&ClientResponse| response.head.status == 200 && response.is_complete;
        let complete = responses.iter().filter(complete).count();
        assert_eq!(complete, 0, "of {} responses", responses.len());
    });
}

/// An upload that may have run is not reported as not run, however its response and its connection end. The field
/// `x-not-run` would say that it has not.
#[rstest]
fn an_early_failure_is_no_promise_that_the_upload_has_not_run(
    #[values(1, 2)] machine: u8,
    #[values(408, 429, 503)] status: u16,
    #[values(0, 150 << 10)] body_bytes: usize,
    #[values(Ending::Reset, Ending::InOrder)] ending: Ending,
) {
    run(async move {
        let pause = Duration::from_millis(20);
        let instance = EarlyResponder { version: "HTTP/1.1", status, fields: "", body_bytes, pause, ending };
        let (responses, received) = responses_and_received(machine, instance).await;
        for response in arrived(&responses, &received) {
            assert_eq!(response.head.status, 502, "{response:?}");
        }
        assert!(ending == Ending::Reset || responses.len() == UPLOADS, "{responses:?}");
    });
}

/// An instance that does not wait for the rest of an upload has answered it all the same.
#[rstest]
#[case::beside_the_node(1, 2 << 10)]
#[case::long_beside_the_node(1, 150 << 10)]
#[case::on_another_machine(2, 2 << 10)]
#[case::long_on_another_machine(2, 150 << 10)]
fn an_early_response_that_ends_in_order_is_complete(#[case] machine: u8, #[case] body_bytes: usize) {
    run(async move {
        let pause = Duration::ZERO;
        let instance = EarlyResponder {
            version: "HTTP/1.1",
            status: 200,
            fields: "",
            body_bytes,
            pause,
            ending: Ending::InOrder,
        };
        let (responses, received) = responses_and_received(machine, instance).await;
        assert_eq!(responses.len(), UPLOADS);
        for response in arrived(&responses, &received) {
            assert_eq!((response.head.status, response.is_complete), (200, true), "{response:?}");
            assert_eq!(response.body.len(), body_bytes);
        }
    });
}

/// Guards against a head that breaks off, or whose status is none, while the upload is still being written, and that a
/// client gets as a response.
#[rstest]
fn an_early_head_that_is_no_response_reaches_no_client(
    #[values(1, 2)] machine: u8,
    #[values(0, 2 << 10)] body_bytes: usize,
    #[values(0, 20)] pause_ms: u64,
    #[values(Ending::Reset, Ending::InOrder)] ending: Ending,
    #[values(("HTTP/1.1", "X-Unfinished: "), ("HTTP/1.1 000 X\r\nX-Status:", ""))] (version, fields): (
        &'static str,
        &'static str,
    ),
) {
    run(async move {
        let pause = Duration::from_millis(pause_ms);
        let instance = EarlyResponder { version, status: 200, fields, body_bytes, pause, ending };
        let (responses, received) = responses_and_received(machine, instance).await;
        for response in arrived(&responses, &received) {
            assert_eq!(response.head.status, 502, "{response:?}");
            assert_eq!(response.field("x-signature"), None);
        }
    });
}
