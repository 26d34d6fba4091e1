//! The network links to the machines: a loopback proxy that can delay, reset, or block traffic in one or both
//! directions.
//!
//! Other machines connect to a machine's public address. The proxy listens there and forwards to the address
//! on which the node itself listens.

use std::cell::Cell;
use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::Notify;
use tokio::task::spawn_local;

use super::fault_kind::LinkFault;

/// Size of a copy buffer, in bytes.
const BUFFER_BYTES: usize = 16 << 10;
/// Delay added to each read on a slow link.
const SLOW_DELAY: Duration = Duration::from_millis(40);
/// Interval between resets on a link that resets connections.
const RESET_INTERVAL: Duration = Duration::from_millis(150);
/// Interval at which held traffic checks whether the link is open again.
const HOLD_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The network link to one machine.
#[derive(Debug, Default)]
pub struct Link {
    fault: Cell<Option<LinkFault>>,
    resets: Notify,
    /// How often open connections have fallen silent; a connection opened before the last time is silent.
    silences: Cell<u64>,
}

/// Direction of traffic on a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToMachine,
    FromMachine,
}

impl Link {
    /// Starts a fault, or ends it with `None`.
    pub fn set_fault(&self, fault: Option<LinkFault>) {
        self.fault.set(fault);
    }

    /// All open connections fall silent for good: what is sent on them is discarded, even their end.
    pub fn silence_open(&self) {
        self.silences.set(self.silences.get() + 1);
    }

    fn is_blocked(&self, direction: Direction) -> bool {
        match self.fault.get() {
            Some(LinkFault::Silent) => true,
            Some(LinkFault::OneWay) => direction == Direction::FromMachine,
            _ => false,
        }
    }

    async fn wait_until_open(&self, direction: Direction) {
        if self.fault.get() == Some(LinkFault::Slow) {
            tokio::time::sleep(SLOW_DELAY).await;
        }
        while self.is_blocked(direction) {
            tokio::time::sleep(HOLD_POLL_INTERVAL).await;
        }
    }
}

/// Periodically resets the connections of links with that fault.
pub async fn reset_regularly(links: Vec<Rc<Link>>) {
    loop {
        tokio::time::sleep(RESET_INTERVAL).await;
        for link in links.iter().filter(|link| link.fault.get() == Some(LinkFault::Reset)) {
            link.resets.notify_waiters();
        }
    }
}

/// Forwards connections from `public` to `node`.
pub async fn serve_tcp(link: Rc<Link>, public: SocketAddr, node: SocketAddr) -> io::Result<()> {
    let listener = TcpListener::bind(public).await?;
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(proxy_connection(link.clone(), stream, node));
        }
    });
    Ok(())
}

async fn proxy_connection(link: Rc<Link>, caller: TcpStream, node: SocketAddr) {
    let opened = link.silences.get();
    link.wait_until_open(Direction::ToMachine).await;
    let Ok(machine) = TcpStream::connect(node).await else { return reset_on_drop(&caller) };
    let _ = caller.set_nodelay(true);
    let _ = machine.set_nodelay(true);
    let (mut caller_reading, caller_writing) = caller.into_split();
    let (mut machine_reading, machine_writing) = machine.into_split();
    let is_reset = tokio::select! {
        () = link.resets.notified() => true,
        _ = forward(&link, opened, Direction::ToMachine, &mut caller_reading, machine_writing) => false,
        _ = forward(&link, opened, Direction::FromMachine, &mut machine_reading, caller_writing) => false,
    };
    if is_reset {
        reset_on_drop(caller_reading.as_ref());
        reset_on_drop(machine_reading.as_ref());
    }
}

/// Makes the connection end with a reset when it is dropped.
fn reset_on_drop(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Forwards one direction of a connection that was opened after `opened` silences.
async fn forward(
    link: &Link,
    opened: u64,
    direction: Direction,
    from: &mut OwnedReadHalf,
    mut to: OwnedWriteHalf,
) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let result = from.read(&mut buffer).await;
        if link.silences.get() > opened {
            if matches!(result, Ok(1..)) {
                continue;
            }
            return std::future::pending().await;
        }
        let length = result?;
        link.wait_until_open(direction).await;
        if length == 0 {
            return to.shutdown().await;
        }
        to.write_all(&buffer[..length]).await?;
    }
}

/// A machine's addresses for datagrams.
#[derive(Debug, Clone)]
pub struct DatagramEndpoint {
    /// The machine's link.
    pub link: Rc<Link>,
    /// Address that other machines use.
    pub public: SocketAddr,
    /// Address on which the node listens.
    pub node: SocketAddr,
}

/// Forwards datagrams between the machines with the sender's public address as their source.
pub async fn serve_datagrams(endpoints: Vec<DatagramEndpoint>) -> io::Result<()> {
    let mut sockets = HashMap::new();
    for endpoint in &endpoints {
        sockets.insert(endpoint.node.ip(), (Rc::new(UdpSocket::bind(endpoint.public).await?), endpoint.clone()));
    }
    let sockets: Rc<HashMap<IpAddr, (Rc<UdpSocket>, DatagramEndpoint)>> = Rc::new(sockets);
    for endpoint in endpoints {
        spawn_local(forward_datagrams_to(endpoint, sockets.clone()));
    }
    Ok(())
}

async fn forward_datagrams_to(
    endpoint: DatagramEndpoint,
    sockets: Rc<HashMap<IpAddr, (Rc<UdpSocket>, DatagramEndpoint)>>,
) {
    let Some((socket, _)) = sockets.get(&endpoint.node.ip()) else { return };
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let Ok((length, sender)) = socket.recv_from(&mut buffer).await else { continue };
        let Some((sender_socket, sender_endpoint)) = sockets.get(&sender.ip()) else { continue };
        let is_lost = endpoint.link.is_blocked(Direction::ToMachine)
            || sender_endpoint.link.is_blocked(Direction::FromMachine);
        if !is_lost {
            let _ = sender_socket.send_to(&buffer[..length], endpoint.node).await;
        }
    }
}
