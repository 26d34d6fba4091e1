//! Links between machines whose open connections can fall silent while new ones work.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;

/// Size of a copy buffer, in bytes.
const BUFFER_BYTES: usize = 16 << 10;

/// Forwards connections to a node. Clones share its state.
#[derive(Clone, Default)]
pub struct Link {
    /// For each connection, whether it is silent.
    connections: Rc<RefCell<Vec<watch::Sender<bool>>>>,
}

impl Link {
    /// Forwards connections from `public` to `node`.
    pub async fn start(public: SocketAddr, node: SocketAddr) -> Self {
        let listener = TcpListener::bind(public).await.unwrap();
        let link = Link::default();
        let accepting = link.clone();
        spawn_local(async move {
            while let Ok((caller, _)) = listener.accept().await {
                let Ok(callee) = TcpStream::connect(node).await else { continue };
                accepting.forward(caller, callee);
            }
        });
        link
    }

    fn forward(&self, caller: TcpStream, callee: TcpStream) {
        let (sender, is_silent) = watch::channel(false);
        self.connections.borrow_mut().push(sender);
        let (from_caller, to_caller) = caller.into_split();
        let (from_callee, to_callee) = callee.into_split();
        spawn_local(copy(from_caller, to_callee, is_silent.clone()));
        spawn_local(copy(from_callee, to_caller, is_silent));
    }

    /// All open connections fall silent: what is sent on them is discarded, and nobody hears of their end.
    /// Returns how many there were.
    pub fn silence_open(&self) -> usize {
        let open: Vec<_> = self.connections.borrow_mut().drain(..).filter(|sender| !sender.is_closed()).collect();
        for sender in &open {
            let _ = sender.send(true);
        }
        open.len()
    }
}

async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, mut is_silent: watch::Receiver<bool>) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let length = from.read(&mut buffer).await.unwrap_or(0);
        if *is_silent.borrow_and_update() {
            if length == 0 {
                // Keeps both ends open.
                return futures::future::pending().await;
            }
            continue;
        }
        if length == 0 || to.write_all(&buffer[..length]).await.is_err() {
            let _ = to.shutdown().await;
            return;
        }
    }
}
