//! The network between the machines: forwards connections and datagrams from the addresses by which machines
//! know each other to those on which the sidecars listen. Open connections can fall silent, while new ones
//! work.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Machines as they know each other, and where their sidecars listen.
#[derive(Clone, Default)]
pub struct Links {
    open: Arc<Mutex<Vec<Arc<AtomicBool>>>>,
}

impl Links {
    /// Forwards connections from `public` to `node`.
    pub fn forward_connections(&self, public: SocketAddr, node: SocketAddr) -> io::Result<()> {
        let listener = TcpListener::bind(public)?;
        let links = self.clone();
        std::thread::spawn(move || {
            for caller in listener.incoming().flatten() {
                let Ok(callee) = TcpStream::connect(node) else { continue };
                let is_silent = Arc::new(AtomicBool::new(false));
                links.open.lock().expect("no holder panics").push(is_silent.clone());
                let _ = (caller.set_nodelay(true), callee.set_nodelay(true));
                let (Ok(caller_copy), Ok(callee_copy)) = (caller.try_clone(), callee.try_clone()) else {
                    continue;
                };
                let silent_copy = is_silent.clone();
                std::thread::spawn(move || copy(caller_copy, callee_copy, &silent_copy));
                std::thread::spawn(move || copy(callee, caller, &is_silent));
            }
        });
        Ok(())
    }

    /// Forwards datagrams between machines; `machines` holds the public and the node address of each.
    pub fn forward_datagrams(&self, machines: Vec<(SocketAddr, SocketAddr)>) -> io::Result<()> {
        let sockets: io::Result<Vec<_>> = machines.iter().map(|(public, _)| UdpSocket::bind(public)).collect();
        let sockets = Arc::new(sockets?);
        let machines = Arc::new(machines);
        for to in 0..machines.len() {
            let (sockets, machines) = (sockets.clone(), machines.clone());
            std::thread::spawn(move || {
                let mut buffer = [0; 65_536];
                while let Ok((length, from)) = sockets[to].recv_from(&mut buffer) {
                    // The receiver sees the public address of the sender.
                    if let Some(sender) = machines.iter().position(|(_, node)| *node == from) {
                        let _ = sockets[sender].send_to(&buffer[..length], machines[to].1);
                    }
                }
            });
        }
        Ok(())
    }

    /// All open connections fall silent: nothing that is sent on them arrives any more, not even their end.
    pub fn silence_open(&self) -> usize {
        let mut open = self.open.lock().expect("no holder panics");
        open.iter().for_each(|is_silent| is_silent.store(true, Ordering::SeqCst));
        open.drain(..).count()
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream, is_silent: &AtomicBool) {
    let mut buffer = [0; 16 * 1024];
    loop {
        let length = from.read(&mut buffer).unwrap_or(0);
        if is_silent.load(Ordering::SeqCst) {
            if length == 0 {
                // Keeps both ends open.
                loop {
                    std::thread::sleep(Duration::from_secs(3_600));
                }
            }
            continue;
        }
        if length == 0 || to.write_all(&buffer[..length]).is_err() {
            let _ = to.shutdown(std::net::Shutdown::Write);
            return;
        }
    }
}
