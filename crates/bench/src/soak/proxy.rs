//! The ways to the machines: a loopback proxy that delays, resets, cuts one way or silences.
//!
//! Other machines reach a machine at its public address, where the proxy listens and passes
//! on to the address that the node itself listens on.

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

use super::plan::LinkFault;

/// Largest piece that is passed on at a time, in bytes.
const PIECE: usize = 16 << 10;
/// Lateness on a slow way.
const SLOW: Duration = Duration::from_millis(40);
/// Interval at which a way that resets does so.
const RESET_INTERVAL: Duration = Duration::from_millis(150);
/// Interval at which a held piece looks whether it may go on.
const HELD: Duration = Duration::from_millis(10);

/// The way to one machine.
#[derive(Debug, Default)]
pub struct Way {
    fault: Cell<Option<LinkFault>>,
    resets: Notify,
}

/// Which way a piece goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToMachine,
    FromMachine,
}

impl Way {
    /// Begins or ends a fault.
    pub fn set(&self, fault: Option<LinkFault>) {
        self.fault.set(fault);
    }

    fn holds(&self, direction: Direction) -> bool {
        match self.fault.get() {
            Some(LinkFault::Silent) => true,
            Some(LinkFault::OneWay) => direction == Direction::FromMachine,
            _ => false,
        }
    }

    async fn pass(&self, direction: Direction) {
        if self.fault.get() == Some(LinkFault::Slow) {
            tokio::time::sleep(SLOW).await;
        }
        while self.holds(direction) {
            tokio::time::sleep(HELD).await;
        }
    }
}

/// Resets connections of ways that do so, until the soak ends.
pub async fn reset_regularly(ways: Vec<Rc<Way>>) {
    loop {
        tokio::time::sleep(RESET_INTERVAL).await;
        for way in ways.iter().filter(|way| way.fault.get() == Some(LinkFault::Reset)) {
            way.resets.notify_waiters();
        }
    }
}

/// Passes connections that come to `public` on to `own`.
pub async fn serve_tcp(way: Rc<Way>, public: SocketAddr, own: SocketAddr) -> io::Result<()> {
    let listener = TcpListener::bind(public).await?;
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(connection(way.clone(), stream, own));
        }
    });
    Ok(())
}

async fn connection(way: Rc<Way>, caller: TcpStream, own: SocketAddr) {
    way.pass(Direction::ToMachine).await;
    let Ok(machine) = TcpStream::connect(own).await else { return reset(&caller) };
    let _ = caller.set_nodelay(true);
    let _ = machine.set_nodelay(true);
    let (mut caller_reading, caller_writing) = caller.into_split();
    let (mut machine_reading, machine_writing) = machine.into_split();
    let is_reset = tokio::select! {
        () = way.resets.notified() => true,
        _ = pump(&way, Direction::ToMachine, &mut caller_reading, machine_writing) => false,
        _ = pump(&way, Direction::FromMachine, &mut machine_reading, caller_writing) => false,
    };
    if is_reset {
        reset(caller_reading.as_ref());
        reset(machine_reading.as_ref());
    }
}

/// The connection ends with a reset when it is dropped.
fn reset(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

async fn pump(
    way: &Way,
    direction: Direction,
    from: &mut OwnedReadHalf,
    mut to: OwnedWriteHalf,
) -> io::Result<()> {
    let mut piece = vec![0; PIECE];
    loop {
        let length = from.read(&mut piece).await?;
        way.pass(direction).await;
        if length == 0 {
            return to.shutdown().await;
        }
        to.write_all(&piece[..length]).await?;
    }
}

/// A machine as datagrams know it.
#[derive(Debug, Clone)]
pub struct DatagramEnd {
    /// Its way.
    pub way: Rc<Way>,
    /// Address that others know.
    pub public: SocketAddr,
    /// Address that the node listens on.
    pub own: SocketAddr,
}

/// Passes datagrams between the machines, as if they came from public addresses.
pub async fn serve_datagrams(ends: Vec<DatagramEnd>) -> io::Result<()> {
    let mut sockets = HashMap::new();
    for end in &ends {
        sockets.insert(end.own.ip(), (Rc::new(UdpSocket::bind(end.public).await?), end.clone()));
    }
    let sockets: Rc<HashMap<IpAddr, (Rc<UdpSocket>, DatagramEnd)>> = Rc::new(sockets);
    for end in ends {
        spawn_local(datagrams_to(end, sockets.clone()));
    }
    Ok(())
}

async fn datagrams_to(end: DatagramEnd, sockets: Rc<HashMap<IpAddr, (Rc<UdpSocket>, DatagramEnd)>>) {
    let Some((socket, _)) = sockets.get(&end.own.ip()) else { return };
    let mut buffer = vec![0; PIECE];
    loop {
        let Ok((length, sender)) = socket.recv_from(&mut buffer).await else { continue };
        let Some((from, sending_end)) = sockets.get(&sender.ip()) else { continue };
        let is_lost = end.way.holds(Direction::ToMachine) || sending_end.way.holds(Direction::FromMachine);
        if !is_lost {
            let _ = from.send_to(&buffer[..length], end.own).await;
        }
    }
}
