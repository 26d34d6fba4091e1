//! Start, reload by signal and by file change, graceful stop.

use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

use olivegate_types::Release;
use rstest::rstest;

use crate::support::{
    HOST, Sidecar, instance_at, readiness, request, settings_file, settings_for, start_store, wait_until_ready,
};

const IP: &str = "127.78.1.1";
/// Address of another machine, whose instance accepts connections and never responds.
const SILENT_IP: &str = "127.78.1.2";
/// Address of a machine whose instance never responds, and whose node stops.
const OUTLASTED_IP: &str = "127.78.1.3";
/// Number of requests whose clients disconnect; a cancellation is logged for one in 32.
const DISCONNECTING_CLIENTS: usize = 400;

fn settings(service: &str) -> String {
    settings_for(IP, service, &format!("{IP}:18409"))
}

#[rstest]
fn a_sidecar_starts_reloads_and_stops() {
    let file = settings_file("sidecar.toml", &settings("books"));
    let mut sidecar = Sidecar::start(&file);
    // A log tells which code its process ran.
    let Release { version, commit } = olivegate::RELEASE;
    sidecar.wait_for(&format!("event=started version={version} commit={commit} node="));
    sidecar.wait_for("event=source_lost");
    assert!(readiness(IP).starts_with("HTTP/1.1 503"), "without configuration it is not ready");
    sidecar.signal("-HUP");
    sidecar.wait_for("event=reloaded changed=false");
    std::fs::write(&file, settings("desk")).unwrap();
    sidecar.wait_for("event=reloaded changed=true");
    std::fs::write(&file, "no settings").unwrap();
    sidecar.signal("-HUP");
    sidecar.wait_for("event=reload_failed");
    sidecar.signal("-TERM");
    sidecar.wait_for("event=stop_begun");
    sidecar.wait_for("event=stopped drained=true");
    assert_eq!(sidecar.process.wait().unwrap().code(), Some(0));
}

#[rstest]
fn requests_of_clients_that_disconnect_are_logged_as_cancelled() {
    let instance = instance_at(SILENT_IP, "i-1", "books");
    let _silent = TcpListener::bind(instance.address).unwrap();
    let store = start_store(instance, 10, |_| ());
    let file = settings_file("sidecar-silent.toml", &settings_for(SILENT_IP, "books", &store.to_string()));
    let sidecar = Sidecar::start(&file);
    sidecar.wait_for("event=directory_changed");
    wait_until_ready(SILENT_IP);
    let wire_names = olivegate_platform::WIRE_NAMES;
    let (id, time) = (wire_names.request_id, wire_names.time_left_ms);
    for number in 0..DISCONNECTING_CLIENTS {
        let mut client = TcpStream::connect(format!("{SILENT_IP}:18404")).unwrap();
        write!(client, "GET / HTTP/1.1\r\nHost: shop\r\n{id}: r{number}\r\n{time}: 9000\r\n\r\n").unwrap();
        std::thread::sleep(Duration::from_millis(2));
    }
    let line = sidecar.wait_for("event=cancelled");
    assert!(line.contains("request=r") && line.contains("after_ms="), "{line}");
}

/// A request that outlasts the grace period was cut off with the process.
#[rstest]
fn a_request_that_outlasts_the_grace_is_answered_before_the_process_ends() {
    let instance = instance_at(OUTLASTED_IP, "i-1", "books");
    let _silent = TcpListener::bind(instance.address).unwrap();
    let store = start_store(instance, 10, |_| ());
    let settings = settings_for(OUTLASTED_IP, "books", &store.to_string());
    let settings = settings.replace("grace_period_s = 6", "grace_period_s = 2");
    let mut sidecar = Sidecar::start(&settings_file("sidecar-outlasted.toml", &settings));
    sidecar.wait_for("event=started");
    wait_until_ready(OUTLASTED_IP);
    let client = std::thread::spawn(|| request(OUTLASTED_IP, HOST, "r1"));
    std::thread::sleep(Duration::from_millis(200));
    sidecar.signal("-TERM");
    sidecar.wait_for("event=stop_begun in_flight=1");
    let response = client.join().unwrap();
    assert!(response.starts_with("HTTP/1.1 504"), "{response:?}");
    sidecar.wait_for("event=stopped drained=false");
    sidecar.process.wait().unwrap();
}
