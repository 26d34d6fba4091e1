//! A node that starts while the store holds an entry of another writer.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

use olivegate_platform::WIRE_NAMES;
use rstest::rstest;
use serde_json::json;

use crate::support::{Sidecar, instance_at, request, settings_file, settings_for, start_store, wait_until_ready};

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
            write!(stream, "HTTP/1.1 200 OK\r\n{id_name}: {id}\r\nContent-Length: 2\r\n\r\nok")?;
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
            let response = request(&ip, &format!("{start}-{number}"));
            assert!(response.starts_with("HTTP/1.1 200"), "{start} start: {response}");
        }
    }
}
