//! Emulated network between zones on loopback, with delay and partitions.
//!
//! Each node reaches the nodes of other zones through proxies of its own zone. The proxies run
//! on threads of their own, because a thread's sleep is more precise than the async runtime's
//! timers. A cut link holds back TCP bytes, as if segments were lost and retransmitted later, and
//! drops datagrams.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use crate::error::BenchError;

/// Interval at which a waiting connection checks whether its link is still cut.
const CUT_POLL: Duration = Duration::from_millis(5);
/// Size of the largest datagram and of the largest relayed piece of a TCP stream, in bytes.
const MAX_CHUNK: usize = 64 << 10;

/// One direction of the link between two zones.
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
    /// Creates links between all pairs of zones.
    pub fn new(zones: &[String], delay: Duration) -> Self {
        let mut links = HashMap::new();
        for from in zones {
            for to in zones.iter().filter(|to| *to != from) {
                links.insert((from.clone(), to.clone()), Arc::default());
            }
        }
        Links { delay, links }
    }

    /// Cuts the links from `zone` and, unless `one_way`, those to it.
    pub fn cut(&self, zone: &str, one_way: bool) {
        for ((from, to), link) in &self.links {
            if from == zone || (to == zone && !one_way) {
                link.cut.store(true, Ordering::SeqCst);
            }
        }
    }

    /// Ends all cuts.
    pub fn heal(&self) {
        for link in self.links.values() {
            link.cut.store(false, Ordering::SeqCst);
        }
    }

    fn link(&self, from: &str, to: &str) -> Arc<Link> {
        self.links.get(&(from.to_string(), to.to_string())).cloned().unwrap_or_default()
    }

    /// Starts a TCP proxy through which `from` reaches `target` in `to`; returns its address.
    pub fn tcp_proxy(&self, from: &str, to: &str, target: SocketAddr) -> Result<SocketAddr, BenchError> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(process_error)?;
        let address = listener.local_addr().map_err(process_error)?;
        self.spawn_tcp_proxy(listener, from, to, target);
        Ok(address)
    }

    fn spawn_tcp_proxy(&self, listener: TcpListener, from: &str, to: &str, target: SocketAddr) {
        let (forward, reverse, delay) = (self.link(from, to), self.link(to, from), self.delay);
        thread::spawn(move || {
            for accepted in listener.incoming().flatten() {
                let (forward, reverse) = (forward.clone(), reverse.clone());
                thread::spawn(move || relay_connection(accepted, target, forward, reverse, delay));
            }
        });
    }

    /// Starts a proxy for TCP and UDP on one port, through which `from` reaches the control port of
    /// a node in `to`; returns its address.
    pub fn control_proxy(&self, from: &str, to: &str, target: SocketAddr) -> Result<SocketAddr, BenchError> {
        let (listener, socket) = bind_tcp_and_udp()?;
        let address = listener.local_addr().map_err(process_error)?;
        self.spawn_tcp_proxy(listener, from, to, target);
        let (link, delay) = (self.link(from, to), self.delay);
        let outgoing = UdpSocket::bind("127.0.0.1:0").map_err(process_error)?;
        let (sender, receiver) = channel::<(Instant, Vec<u8>)>();
        thread::spawn(move || receive_datagrams(&socket, &link, delay, &sender));
        thread::spawn(move || {
            while let Ok((due, bytes)) = receiver.recv() {
                sleep_until(due);
                let _ = outgoing.send_to(&bytes, target);
            }
        });
        Ok(address)
    }
}

fn process_error(error: std::io::Error) -> BenchError {
    BenchError::Process(error.to_string())
}

/// Binds a TCP and a UDP socket to the same port.
fn bind_tcp_and_udp() -> Result<(TcpListener, UdpSocket), BenchError> {
    loop {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(process_error)?;
        let address = listener.local_addr().map_err(process_error)?;
        if let Ok(socket) = UdpSocket::bind(address) {
            return Ok((listener, socket));
        }
    }
}

fn receive_datagrams(socket: &UdpSocket, link: &Link, delay: Duration, sender: &Sender<(Instant, Vec<u8>)>) {
    let mut buffer = vec![0; MAX_CHUNK];
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

fn relay_connection(
    accepted: TcpStream,
    target: SocketAddr,
    forward: Arc<Link>,
    reverse: Arc<Link>,
    delay: Duration,
) {
    while forward.cut.load(Ordering::SeqCst) {
        thread::sleep(CUT_POLL);
    }
    let Ok(connected) = TcpStream::connect(target) else {
        let _ = accepted.shutdown(Shutdown::Both);
        return;
    };
    let _ = accepted.set_nodelay(true);
    let _ = connected.set_nodelay(true);
    if let (Ok(accepted_copy), Ok(connected_copy)) = (accepted.try_clone(), connected.try_clone()) {
        relay(accepted, connected_copy, forward, delay);
        relay(connected, accepted_copy, reverse, delay);
    }
}

fn relay(mut from: TcpStream, mut to: TcpStream, link: Arc<Link>, delay: Duration) {
    let (sender, receiver): (Sender<(Instant, Vec<u8>)>, Receiver<_>) = channel();
    thread::spawn(move || {
        let mut buffer = vec![0; MAX_CHUNK];
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
