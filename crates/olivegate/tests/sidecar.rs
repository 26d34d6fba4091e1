//! A sidecar as a process of its own: start, reload by signal and without, planned stop.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

use rstest::rstest;

const IP: &str = "127.78.1.1";

fn settings(service: &str) -> String {
    format!(
        "node = \"sidecar-1\"\nzone = \"north\"\nservice = \"{service}\"\ninstance = \"{IP}:18401\"\n\
         [listen]\noutbound = \"{IP}:18404\"\ninbound = \"{IP}:18400\"\nreadiness = \"{IP}:18402\"\n\
         peers_port = 18420\n[source]\naddress = \"{IP}:18409\"\n[bounds]\ngrace_period_s = 6\n"
    )
}

struct Sidecar {
    process: Child,
    lines: Receiver<String>,
}

impl Sidecar {
    fn start(file: &Path) -> Self {
        let mut process = Command::new(env!("CARGO_BIN_EXE_olivegate"))
            .args(["sidecar", "--settings"])
            .arg(file)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let output = BufReader::new(process.stdout.take().unwrap());
        let (sender, lines) = channel();
        std::thread::spawn(move || output.lines().map_while(Result::ok).try_for_each(|line| sender.send(line)));
        Sidecar { process, lines }
    }

    fn signal(&self, name: &str) {
        let sent = Command::new("kill").args([name, &self.process.id().to_string()]).status().unwrap();
        assert!(sent.success());
    }

    fn wait_for(&self, event: &str) -> String {
        let until = Instant::now() + Duration::from_secs(15);
        loop {
            let left = until.saturating_duration_since(Instant::now());
            let line = self.lines.recv_timeout(left).unwrap_or_else(|_| panic!("never logged: {event}"));
            if line.contains(event) {
                return line;
            }
        }
    }
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.process.kill();
    }
}

fn readiness() -> String {
    let mut stream = TcpStream::connect(format!("{IP}:18402")).unwrap();
    let path = olivegate_platform::VOCABULARY.readiness_path;
    write!(stream, "GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    answer
}

#[rstest]
fn a_sidecar_starts_reloads_and_stops() {
    let file: PathBuf = Path::new(env!("CARGO_TARGET_TMPDIR")).join("sidecar.toml");
    std::fs::write(&file, settings("books")).unwrap();
    let mut sidecar = Sidecar::start(&file);
    sidecar.wait_for("event=started");
    sidecar.wait_for("event=source_lost");
    assert!(readiness().starts_with("HTTP/1.1 503"), "without configuration it is not ready");
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
