//! Closes a connection without losing what was written to it.
//!
//! A connection whose socket is closed while input is unread, or that receives input afterwards, is reset, and
//! the peer loses what it has not received yet. So the node first waits until everything was sent, then ends
//! its side of the connection, and meanwhile reads and discards what the peer still sends.

use std::time::Duration;

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Interval at which a connection with unsent data is checked.
const UNSENT_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// A peer that sends nothing for this long after everything was sent to it is not waited for any longer.
const QUIET_LIMIT: Duration = Duration::from_secs(2);
/// Longest time for which further input of a peer is discarded.
const DISCARD_LIMIT: Duration = Duration::from_secs(30);
/// Size of the buffer into which input is read and discarded.
const DISCARD_BUFFER_BYTES: usize = 4 << 10;

/// A connection that is being closed.
pub struct Closing {
    stream: TcpStream,
    peer_closed: bool,
}

impl Closing {
    /// Starts to close `stream`.
    pub fn new(stream: TcpStream) -> Self {
        // With this option a socket counts as writable only once nothing is left to be sent. Where it is not
        // supported, a socket counts as writable earlier, and the peer is waited for all the same.
        let _ = SockRef::from(&stream).set_tcp_notsent_lowat(1);
        Closing { stream, peer_closed: false }
    }

    /// Waits until everything was sent, for as long as the peer takes it. A peer that takes nothing is given up
    /// by the socket's own time limit.
    pub async fn send_rest(&mut self) {
        while !self.peer_closed && has_unsent_data(&self.stream) {
            let waiting = tokio::time::timeout(UNSENT_CHECK_INTERVAL, discard_input(&mut self.stream));
            self.peer_closed = waiting.await.is_ok();
        }
    }

    /// Ends this side of the connection and waits until the peer has closed its side.
    pub async fn wait_for_peer(mut self) {
        if self.peer_closed || self.stream.shutdown().await.is_err() {
            return;
        }
        let discarding = async {
            let mut buffer = [0; DISCARD_BUFFER_BYTES];
            while let Ok(Ok(1..)) = tokio::time::timeout(QUIET_LIMIT, self.stream.read(&mut buffer)).await {}
        };
        // A peer that keeps sending is cut off in the end.
        let _ = tokio::time::timeout(DISCARD_LIMIT, discarding).await;
    }
}

/// Closes `stream` once everything was sent and the peer has closed its side, or is not waited for any longer.
pub async fn close(stream: TcpStream) {
    let mut closing = Closing::new(stream);
    closing.send_rest().await;
    closing.wait_for_peer().await;
}

/// Reads and discards input until the peer closes the connection or it fails.
pub async fn discard_input<Input: AsyncRead + Unpin>(input: &mut Input) {
    let mut buffer = [0; DISCARD_BUFFER_BYTES];
    while let Ok(1..) = input.read(&mut buffer).await {}
}

/// True while some of what was written has not been sent to the peer.
fn has_unsent_data(stream: &TcpStream) -> bool {
    let mut sockets = [PollFd::new(stream, PollFlags::OUT)];
    let no_wait = Timespec { tv_sec: 0, tv_nsec: 0 };
    matches!(poll(&mut sockets, Some(&no_wait)), Ok(0))
}
