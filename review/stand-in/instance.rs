//! An instance of a service. It runs what it is sent, and records it.

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Head, Reader, Summary, pattern};
use crate::record::Record;

/// A request that an instance ran, with the body as the instance received it.
#[derive(Clone)]
pub struct Run {
    pub id: String,
    pub path: String,
    pub body: Summary,
    pub began: Instant,
}

/// How an instance answers.
#[derive(Clone, Copy)]
pub struct Answer {
    /// How long it works on a request.
    pub work: Duration,
    /// Length of the body of its answer.
    pub length: usize,
    /// What it does instead of sending the rest, after so many bytes of the body.
    pub fault: Option<(usize, Fault)>,
}

/// A fault in the middle of an answer.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// It breaks off: the connection is closed after this time.
    BreaksOff(Duration),
    /// It falls silent.
    Silent,
}

/// An instance; clones share its record of runs.
#[derive(Clone)]
pub struct Instance {
    pub name: String,
    pub address: SocketAddr,
    answer: Answer,
    runs: Arc<Mutex<Vec<Run>>>,
    open: Arc<Mutex<Vec<TcpStream>>>,
    has_crashed: Arc<AtomicBool>,
    is_leaving: Arc<AtomicBool>,
    record: Record,
}

impl Instance {
    /// Starts an instance at `address`.
    pub fn start(name: &str, address: SocketAddr, answer: Answer, record: &Record) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let instance = Instance {
            name: name.into(),
            address,
            answer,
            runs: Arc::default(),
            open: Arc::default(),
            has_crashed: Arc::default(),
            is_leaving: Arc::default(),
            record: record.clone(),
        };
        let serving = instance.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.has_crashed.load(Ordering::SeqCst) {
                    return;
                }
                if let Ok(clone) = stream.try_clone() {
                    serving.open.lock().expect("no holder panics").push(clone);
                }
                let instance = serving.clone();
                std::thread::spawn(move || instance.connection(stream));
            }
        });
        Ok(instance)
    }

    /// Crashes: the port and all connections are closed.
    pub fn crash(&self) {
        self.has_crashed.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts connections, which then closes the port.
        let _ = TcpStream::connect(self.address);
        for stream in self.open.lock().expect("no holder panics").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Begins to leave: it serves on, and its answers close their connections.
    pub fn leave(&self) {
        self.is_leaving.store(true, Ordering::SeqCst);
    }

    /// What it has run so far.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("no holder panics").clone()
    }

    /// True once it has begun to run the request `id`.
    pub fn has_run(&self, id: &str) -> bool {
        self.runs().iter().any(|run| run.id == id)
    }

    fn connection(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        if let (Ok(reading), Ok(writing)) = (stream.try_clone(), stream.try_clone()) {
            self.serve_connection(reading, writing);
        }
        // `open` holds the connection, too, so it has to be closed explicitly.
        let _ = stream.shutdown(Shutdown::Both);
    }

    fn serve_connection(&self, reading: TcpStream, mut stream: TcpStream) {
        let mut reader = Reader::new(reading);
        while let Ok(head) = reader.head() {
            let (body, result) = reader.body(&head);
            if result.is_err() {
                self.record.note(&format!("{}: request broke off after {} bytes", self.name, body.length));
                return;
            }
            if !self.serve(&mut stream, &head, body) {
                return;
            }
        }
    }

    /// Serves one request. Returns false when the connection is to be closed.
    fn serve(&self, stream: &mut TcpStream, head: &Head, body: Summary) -> bool {
        let id = head.field("x-request-id").unwrap_or_default().to_string();
        let expected = head.field("x-expected-instance");
        if expected.is_some_and(|expected| expected != self.name) {
            return self.send(stream, 421, &id, "X-Not-Executed: 1\r\n", b"");
        }
        if head.word(1) == "/healthz" {
            return self.send(stream, 200, &id, "", b"ok");
        }
        if id.is_empty() {
            return self.send(stream, 400, &id, "X-Not-Executed: 1\r\n", b"");
        }
        self.record.note(&format!(
            "{}: runs {id} ({} {}), body of {} bytes, checksum {:016x}",
            self.name,
            head.word(0),
            head.word(1),
            body.length,
            body.checksum
        ));
        self.runs.lock().expect("no holder panics").push(Run {
            id: id.clone(),
            path: head.word(1).to_string(),
            body,
            began: Instant::now(),
        });
        std::thread::sleep(self.answer.work);
        let content = pattern(self.answer.length);
        let signature = format!("X-Server-Signature: {}.{id}\r\n", self.name);
        let Some((sent, fault)) = self.answer.fault else {
            return self.send(stream, 200, &id, &signature, &content);
        };
        let head = response_head(200, &id, &signature, content.len());
        if stream.write_all(head.as_bytes()).is_err() || stream.write_all(&content[..sent]).is_err() {
            return false;
        }
        match fault {
            Fault::BreaksOff(after) => std::thread::sleep(after),
            Fault::Silent => loop {
                std::thread::sleep(Duration::from_secs(3_600));
            },
        }
        self.record.note(&format!("{}: breaks off its answer to {id} after {sent} bytes", self.name));
        false
    }

    fn send(&self, stream: &mut TcpStream, status: u16, id: &str, fields: &str, body: &[u8]) -> bool {
        let is_leaving = self.is_leaving.load(Ordering::SeqCst);
        let close = if is_leaving { "Connection: close\r\n" } else { "" };
        let fields = format!("X-Instance-Id: {}\r\n{close}{fields}", self.name);
        let mut message = response_head(status, id, &fields, body.len()).into_bytes();
        message.extend_from_slice(body);
        stream.write_all(&message).is_ok() && !is_leaving
    }
}

fn response_head(status: u16, id: &str, fields: &str, length: usize) -> String {
    let id = if id.is_empty() { String::new() } else { format!("X-Request-Id: {id}\r\n") };
    format!("HTTP/1.1 {status} X\r\n{id}{fields}Content-Length: {length}\r\n\r\n")
}
