//! A node that starts while the store holds an entry of another writer.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use olivegate_platform::WIRE_NAMES;
use olivegate_platform_stand_in::odd_values::odd_values;
use olivegate_platform_stand_in::{InMemoryStore, records};
use olivegate_sidecar::model::{Incarnation, Instance};
use rstest::rstest;
use serde_json::json;

use crate::support::{
    HOST, Sidecar, configuration, instance_at, request, settings_file, settings_for, start_store, wait_until_ready,
};

/// Items in a page of the store. Each name is the last of its page, after which the next page begins.
const PAGE_SIZE: usize = 1;
/// Requests that are sent to the node.
const REQUESTS: usize = 5;

/// Starts an instance that answers every request with 200.
fn start_instance(address: SocketAddr) {
    let listener = TcpListener::bind(address).unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            // A connection that the node has given up is of no interest.
            std::thread::spawn(move || stream.and_then(answer_requests));
        }
    });
}

/// Answers the requests of one connection, which have no bodies.
fn answer_requests(mut stream: TcpStream) -> std::io::Result<()> {
    let lines = BufReader::new(stream.try_clone()?).lines();
    let mut id = String::new();
    for line in lines {
        let line = line?;
        if let Some((name, value)) = line.split_once(": ")
            && name.eq_ignore_ascii_case(WIRE_NAMES.request_id)
        {
            id = value.to_string();
        }
        if line.is_empty() {
            let id_name = WIRE_NAMES.request_id;
            let signature = WIRE_NAMES.signature;
            write!(stream, "HTTP/1.1 200 OK\r\n{id_name}: {id}\r\n{signature}: s\r\nContent-Length: 2\r\n\r\nok")?;
        }
    }
    Ok(())
}

/// Callers got 503 from all nodes until the entry went: none that started could read past its page.
#[rstest]
#[case::ampersand(1, "i-1&")]
#[case::plus(2, "i-1+")]
#[case::hash(3, "i-1#")]
#[case::percent(4, "i-1%21")]
#[case::blank(5, "i-1 x")]
#[case::control_byte(6, "i-1\u{1}")]
#[case::beyond_ascii(7, "i-1é")]
fn a_node_that_starts_beside_an_odd_name_serves(#[case] machine: u8, #[case] odd_name: &'static str) {
    let ip = format!("127.78.2.{machine}");
    let served = instance_at(&ip, "i-2", "books");
    start_instance(served.address);
    let store = start_store(served, PAGE_SIZE, move |store| {
        store.put("servers/i-1", &json!({"note": "of another writer, too"}));
        store.put(&format!("servers/{odd_name}"), &json!({"note": "of another writer"}));
    });
    let file = settings_file(&format!("odd-{machine}.toml"), &settings_for(&ip, "books", &store.to_string()));
    for start in ["first", "second"] {
        let sidecar = Sidecar::start(&file);
        sidecar.wait_for("event=started");
        wait_until_ready(&ip);
        for number in 0..REQUESTS {
            let response = request(&ip, HOST, &format!("{start}-{number}"));
            assert!(response.starts_with("HTTP/1.1 200"), "{start} start: {response}");
        }
    }
}

/// Time after which odd values are written while the node runs, and then a change that it has to follow.
const WRITE_AFTER: Duration = Duration::from_secs(3);
/// Host that the later configuration routes.
const LATER_HOST: &str = "later";

fn write_odd_values(store: &InMemoryStore, prefix: &str) {
    for (number, value) in odd_values("127.78.2.200", "books").iter().enumerate() {
        store.put_bytes(&format!("servers/{prefix}-{number}"), value);
    }
}

/// A process must neither end nor stop following because of a value that it reads. Those with a start time also
/// took away the instances that told none, where they were read like instances'.
#[rstest]
fn a_node_beside_odd_values_goes_on_and_follows_changes() {
    let ip = "127.78.2.20";
    let served = instance_at(ip, "i-2", "books");
    let service = served.service.clone();
    start_instance(served.address);
    let store = start_store(served, PAGE_SIZE, move |store| {
        write_odd_values(store, "before");
        let store = store.clone();
        tokio::task::spawn_local(async move {
            tokio::time::sleep(WRITE_AFTER).await;
            write_odd_values(&store, "while-running");
            records::put_configuration(&store, &configuration(2, LATER_HOST, &service));
        });
    });
    let file = settings_file("odd-values.toml", &settings_for(ip, "books", &store.to_string()));
    let mut sidecar = Sidecar::start(&file);
    sidecar.wait_for("event=started");
    wait_until_ready(ip);
    let deadline = Instant::now() + Duration::from_secs(15);
    while !request(ip, LATER_HOST, "later").starts_with("HTTP/1.1 200") {
        assert!(Instant::now() < deadline, "the node does not follow");
        assert!(sidecar.is_running());
        std::thread::sleep(Duration::from_millis(50));
    }
    let mut again = Sidecar::start(&settings_file(
        "odd-values-again.toml",
        &settings_for("127.78.2.21", "desk", &store.to_string()),
    ));
    again.wait_for("event=started");
    wait_until_ready("127.78.2.21");
    for number in 0..REQUESTS {
        let response = request("127.78.2.21", LATER_HOST, &format!("again-{number}"));
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    }
    assert!(sidecar.is_running() && again.is_running());
}

/// Where instances tell no start times, a single entry of another writer that told one took all of them away:
/// callers got 503 for want of instances.
#[rstest]
fn a_node_beside_a_foreign_start_time_serves() {
    let ip = "127.78.2.30";
    let served = instance_at(ip, "i-2", "books");
    start_instance(served.address);
    let store = start_store(served, PAGE_SIZE, |store| {
        records::put_instance(store, &instance_at("127.78.2.31", "i-1", "maps"), 1);
        let foreign = instance_at("127.78.2.32", "odd", "other");
        records::put_instance(store, &Instance { incarnation: Incarnation(1_764_700_000_000), ..foreign }, 1);
    });
    let file = settings_file("foreign-start.toml", &settings_for(ip, "books", &store.to_string()));
    let sidecar = Sidecar::start(&file);
    sidecar.wait_for("event=started");
    wait_until_ready(ip);
    for number in 0..REQUESTS {
        let response = request(ip, HOST, &format!("r{number}"));
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    }
}
