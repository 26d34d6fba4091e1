//! The network between zones, on loopback: delay and cuts.
//!
//! Each node reaches the nodes of other zones through forwarders of its own zone.
//! Forwarding runs on threads of its own, whose sleeps are finer than the runtime's
//! timers. A cut link holds back TCP bytes, as lost segments would be, and drops
//! datagrams.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use crate::error::BenchError;

/// Time between two looks at a cut link.
const CUT_POLL: Duration = Duration::from_millis(5);
/// Largest datagram or chunk, in bytes.
const CHUNK: usize = 64 << 10;

/// One direction between two zones.
#[derive(Default)]
pub struct Link {
    cut: AtomicBool,
}

/// All links between zones.
pub struct Links {
    delay: Duration,
    links: HashMap<(String, String), Arc<Link>>,
}

impl Links {
    /// Whole links between all pairs of zones.
    pub fn new(zones: &[String], delay: Duration) -> Self {
        let mut links = HashMap::new();
        for from in zones {
            for to in zones.iter().filter(|to| *to != from) {
                links.insert((from.clone(), to.clone()), Arc::default());
            }
        }
        Links { delay, links }
    }

    /// Cuts the links from `zone`, and to it too unless `one_way`.
    pub fn cut(&self, zone: &str, one_way: bool) {
        for ((from, to), link) in &self.links {
            if from == zone || (to == zone && !one_way) {
                link.cut.store(true, Ordering::SeqCst);
            }
        }
    }

    /// Makes all links whole.
    pub fn heal(&self) {
        for link in self.links.values() {
            link.cut.store(false, Ordering::SeqCst);
        }
    }

    fn link(&self, from: &str, to: &str) -> Arc<Link> {
        self.links.get(&(from.to_string(), to.to_string())).cloned().unwrap_or_default()
    }

    /// A TCP port through which `from` reaches `target` in `to`.
    pub fn tcp(&self, from: &str, to: &str, target: SocketAddr) -> Result<SocketAddr, BenchError> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(process)?;
        let address = listener.local_addr().map_err(process)?;
        self.tcp_on(listener, from, to, target);
        Ok(address)
    }

    fn tcp_on(&self, listener: TcpListener, from: &str, to: &str, target: SocketAddr) {
        let (there, back, delay) = (self.link(from, to), self.link(to, from), self.delay);
        thread::spawn(move || {
            for accepted in listener.incoming().flatten() {
                let (there, back) = (there.clone(), back.clone());
                thread::spawn(move || connect(accepted, target, there, back, delay));
            }
        });
    }

    /// One port, TCP and UDP, through which `from` reaches the control port of a node in `to`.
    pub fn control(&self, from: &str, to: &str, target: SocketAddr) -> Result<SocketAddr, BenchError> {
        let (listener, socket) = bind_both()?;
        let address = listener.local_addr().map_err(process)?;
        self.tcp_on(listener, from, to, target);
        let (link, delay) = (self.link(from, to), self.delay);
        let out = UdpSocket::bind("127.0.0.1:0").map_err(process)?;
        let (sender, receiver) = channel::<(Instant, Vec<u8>)>();
        thread::spawn(move || receive_datagrams(&socket, &link, delay, &sender));
        thread::spawn(move || {
            while let Ok((due, bytes)) = receiver.recv() {
                sleep_until(due);
                let _ = out.send_to(&bytes, target);
            }
        });
        Ok(address)
    }
}

fn process(error: std::io::Error) -> BenchError {
    BenchError::Process(error.to_string())
}

/// A TCP and a UDP socket with the same port.
fn bind_both() -> Result<(TcpListener, UdpSocket), BenchError> {
    loop {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(process)?;
        let address = listener.local_addr().map_err(process)?;
        if let Ok(socket) = UdpSocket::bind(address) {
            return Ok((listener, socket));
        }
    }
}

fn receive_datagrams(socket: &UdpSocket, link: &Link, delay: Duration, sender: &Sender<(Instant, Vec<u8>)>) {
    let mut buffer = vec![0; CHUNK];
    while let Ok((length, _)) = socket.recv_from(&mut buffer) {
        if link.cut.load(Ordering::SeqCst) {
            continue;
        }
        if sender.send((Instant::now() + delay, buffer[..length].to_vec())).is_err() {
            return;
        }
    }
}

fn sleep_until(due: Instant) {
    let wait = due.saturating_duration_since(Instant::now());
    if !wait.is_zero() {
        thread::sleep(wait);
    }
}

fn connect(accepted: TcpStream, target: SocketAddr, there: Arc<Link>, back: Arc<Link>, delay: Duration) {
    while there.cut.load(Ordering::SeqCst) {
        thread::sleep(CUT_POLL);
    }
    let Ok(other) = TcpStream::connect(target) else {
        let _ = accepted.shutdown(Shutdown::Both);
        return;
    };
    let _ = accepted.set_nodelay(true);
    let _ = other.set_nodelay(true);
    if let (Ok(accepted_copy), Ok(other_copy)) = (accepted.try_clone(), other.try_clone()) {
        pump(accepted, other_copy, there, delay);
        pump(other, accepted_copy, back, delay);
    }
}

fn pump(mut from: TcpStream, mut to: TcpStream, link: Arc<Link>, delay: Duration) {
    let (sender, receiver): (Sender<(Instant, Vec<u8>)>, Receiver<_>) = channel();
    thread::spawn(move || {
        let mut buffer = vec![0; CHUNK];
        while let Ok(length) = from.read(&mut buffer) {
            if length == 0 || sender.send((Instant::now() + delay, buffer[..length].to_vec())).is_err() {
                break;
            }
        }
    });
    thread::spawn(move || {
        while let Ok((due, bytes)) = receiver.recv() {
            sleep_until(due);
            while link.cut.load(Ordering::SeqCst) {
                thread::sleep(CUT_POLL);
            }
            if to.write_all(&bytes).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Both);
    });
}
