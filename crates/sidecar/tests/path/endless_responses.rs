//! Instances that send bytes without end: no client gets them as a whole response, what can't become a response is
//! given up on at once, and other requests go on.

use std::collections::HashSet;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use olivegate_sidecar::model::RetrySafety::{Safe, Unsafe};
use olivegate_sidecar::model::{Millis, Route};
use rstest::rstest;

use crate::client::{Client, ClientResponse, get, post};
use crate::instance::{TestInstance, response};
use crate::support::{Fleet, HEALTH_PATH, configuration, eventually, route, run};

/// Maximum size of the head of a request in bytes.
const MAX_HEAD_BYTES: usize = 4_096;
/// Bytes that an instance writes at a time.
const BLOCK_BYTES: usize = 64 << 10;
/// Time for which requests may run.
const ROUTE_TIMEOUT_MS: u32 = 10_000;
/// What can't become a response is given up on within this time, far before the request's own.
const GIVEN_UP_WITHIN: Duration = Duration::from_secs(4);
/// Requests at once.
const REQUESTS: usize = 9;

/// What an instance sends: a start, and then the same bytes again and again.
#[derive(Debug, Clone, Copy)]
struct Endless {
    start: &'static str,
    repeated: &'static str,
}

const fn endless(start: &'static str, repeated: &'static str) -> Endless {
    Endless { start, repeated }
}

/// An instance that sends endless bytes in response to requests whose path begins with `path`.
#[derive(Debug, Clone)]
struct EndlessInstance {
    endless: Endless,
    path: &'static str,
    /// Connections on which it sends.
    open: Arc<AtomicUsize>,
    /// Ids of the requests that it has received.
    received: Arc<Mutex<HashSet<String>>>,
}

impl EndlessInstance {
    fn start(address: SocketAddr, path: &'static str, endless: Endless) -> Self {
        let instance = EndlessInstance { endless, path, open: Arc::default(), received: Arc::default() };
        let listener = TcpListener::bind(address).unwrap();
        let server = instance.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let server = server.clone();
                // The node closes the connections.
                std::thread::spawn(move || stream.and_then(|stream| server.serve(stream)));
            }
        });
        instance
    }

    fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        loop {
            let mut head = vec![0; MAX_HEAD_BYTES];
            let read = stream.read(&mut head)?;
            if read == 0 {
                return stream.shutdown(Shutdown::Both);
            }
            let text = String::from_utf8_lossy(&head[..read]).into_owned();
            let id = text.lines().find_map(|line| line.strip_prefix("x-id: ")).unwrap_or_default();
            self.received.lock().unwrap().insert(id.to_string());
            let path = text.split(' ').nth(1).unwrap_or_default();
            if !path.starts_with(self.path) {
                stream.write_all(response(200, id, "ok").as_bytes())?;
                continue;
            }
            self.open.fetch_add(1, Ordering::SeqCst);
            let result = self.send_without_end(&mut stream, id);
            self.open.fetch_sub(1, Ordering::SeqCst);
            return result;
        }
    }

    fn send_without_end(&self, stream: &mut TcpStream, id: &str) -> std::io::Result<()> {
        stream.write_all(self.endless.start.replace("ID", id).as_bytes())?;
        let block = self.endless.repeated.repeat(BLOCK_BYTES / self.endless.repeated.len());
        loop {
            stream.write_all(block.as_bytes())?;
        }
    }
}

fn long_route(path: &str, safety: olivegate_sidecar::model::RetrySafety) -> Route {
    Route { timeout: Some(Millis(ROUTE_TIMEOUT_MS)), ..route(path, "books", safety) }
}

/// An edge on machine 1, a gate with an endless instance on machine 2, and a sound one of another service on 3.
async fn start(path: &'static str, endless: Endless) -> (Fleet, EndlessInstance) {
    let fleet = Fleet::new();
    let routes = vec![long_route("/safe/", Safe), long_route("/once/", Unsafe), route("/other/", "maps", Safe)];
    fleet.source.configure(configuration(1, routes));
    let mut listed = fleet.list(2, "books-1", "books");
    listed.slots = 2 * REQUESTS as u32;
    fleet.source.list(listed);
    fleet.list(3, "maps-1", "maps");
    let instance = EndlessInstance::start(fleet.instance_address(2), path, endless);
    TestInstance::start(fleet.instance_address(3), |request, _| {
        vec![crate::instance::Action::Send(response(200, &request.id(), "map"))]
    })
    .await;
    for (machine, service) in [(2, "books"), (3, "maps"), (1, "desk")] {
        Fleet::wait_until_ready(&fleet.start(machine, service).await).await;
    }
    (fleet, instance)
}

async fn request(edge: SocketAddr, text: String) -> (Option<ClientResponse>, Duration) {
    let began = Instant::now();
    let text = text.replace("x-time: 2000", &format!("x-time: {ROUTE_TIMEOUT_MS}"));
    let mut client = Client::connect(edge).await;
    client.send(&text).await;
    (client.next_response().await, began.elapsed())
}

const HEAD: &str = "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-signature: s-ID\r\n";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-signature: s-ID\r\nTransfer-Encoding: chunked\r\n\r\n";
const OTHER: &str = "HTTP/1.1 200 OK\r\nx-id: other\r\nContent-Length: 4\r\n\r\nbody";
const OTHER_CHUNKED: &str = "HTTP/1.1 200 OK\r\nx-id: other\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Bytes of which no response can come any more.
#[rstest]
#[case::head(endless(HEAD, "x-more: more\r\n"))]
#[case::line(endless(HEAD, "a"))]
#[case::status_line(endless("HTTP/1.1 200 ", "a"))]
#[case::empty_lines(endless("", "\r\n"))]
#[case::garbage(endless("", "\u{1}\u{2}"))]
#[case::printable_garbage(endless("", "garbage "))]
#[case::interim_responses(endless("", "HTTP/1.1 100 Continue\r\n\r\n"))]
#[case::trailers(endless(
    "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-signature: s-ID\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
    "x-more: more\r\n"
))]
#[case::chunk_extension(endless(CHUNKED, "4;more=more"))]
#[case::responses_to_other_requests(endless("", OTHER))]
#[case::empty_responses_to_other_requests(endless("", "HTTP/1.1 204 X\r\nx-id: other\r\n\r\n"))]
#[case::response_to_another_request(endless(OTHER_CHUNKED, "4\r\nmore\r\n"))]
fn what_cannot_become_a_response_is_given_up_on(
    #[case] endless: Endless,
    #[values("/safe/", "/once/")] path: &'static str,
    #[values(1, 2)] edge: u8,
) {
    run(async move {
        let (fleet, instance) = start(path, endless).await;
        let requests =
            (0..REQUESTS).map(|number| request(fleet.outbound(edge), post(path, &format!("r{number}"), "x")));
        for (response, took) in futures::future::join_all(requests).await {
            let response = response.expect("a response of the node");
            let id = response.field("x-id").expect("the id of the request");
            // A request that waits for too long beside other load is refused before the instance gets it.
            let expected = if instance.received.lock().unwrap().contains(&id) { 502 } else { 503 };
            assert_eq!((response.head.status, response.field("x-signature")), (expected, None), "{response:?}");
            assert!(took < GIVEN_UP_WITHIN, "after {took:?}");
        }
        assert!(!instance.received.lock().unwrap().is_empty(), "no request has arrived");
        eventually("the connections are closed", || instance.open.load(Ordering::SeqCst) == 0).await;
        let (other, _) = request(fleet.outbound(edge), get("/other/", "o")).await;
        assert_eq!(other.unwrap().body, "map");
    });
}

/// A body without an end can't be told from a long one until the request's time is over.
#[rstest]
#[case::until_close(endless("HTTP/1.1 200 OK\r\nx-id: ID\r\nx-signature: s-ID\r\n\r\n", "more"))]
#[case::in_chunks(endless(CHUNKED, "4\r\nmore\r\n"))]
fn a_body_without_end_is_cut_visibly_at_the_deadline(#[case] endless: Endless, #[values(1, 2)] edge: u8) {
    run(async move {
        let (fleet, instance) = start("/safe/", endless).await;
        let mut client = Client::connect(fleet.outbound(edge)).await;
        let began = Instant::now();
        client.send(&get("/safe/", "r1").replace("x-time: 2000", "x-time: 1000")).await;
        let (other, _) = request(fleet.outbound(edge), get("/other/", "o")).await;
        assert_eq!(other.unwrap().body, "map");
        let is_complete = skip_response(&mut client).await;
        assert!(!is_complete, "it does not look complete");
        assert!(began.elapsed() < GIVEN_UP_WITHIN, "after {:?}", began.elapsed());
        eventually("the connection is closed", || instance.open.load(Ordering::SeqCst) == 0).await;
    });
}

/// Reads a response without keeping its body; true if it is complete.
async fn skip_response(client: &mut Client) -> bool {
    use futures::StreamExt;
    use olivegate_http1::Frame;
    loop {
        match client.responses.next().await {
            Some(Ok(Frame::Head(..) | Frame::Data(_))) => {}
            Some(Ok(Frame::End)) => return true,
            Some(Err(_)) | None => return false,
        }
    }
}

/// A health check identifies an instance and nothing more: without an end it is inconclusive.
#[rstest]
#[case::body(endless("HTTP/1.1 200 OK\r\nx-instance: books-2\r\n\r\n", "more"))]
#[case::head(endless("HTTP/1.1 200 OK\r\nx-instance: books-2\r\n", "x-more: more\r\n"))]
#[case::interim_responses(endless("", "HTTP/1.1 100 Continue\r\n\r\n"))]
fn a_health_response_without_end_identifies_nobody(#[case] endless: Endless) {
    run(async move {
        let (fleet, instance) = start(HEALTH_PATH, endless).await;
        for number in 0..REQUESTS {
            let (response, _) = request(fleet.outbound(1), get("/safe/", &format!("r{number}"))).await;
            assert_eq!(response.unwrap().head.status, 200, "request {number}");
        }
        eventually("the connections are closed", || instance.open.load(Ordering::SeqCst) == 0).await;
    });
}
