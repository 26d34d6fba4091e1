//! Whether the instance beside this node has ended.
//!
//! A connection that breaks is no end: instances break off answers, and connections are reset
//! on the way. A process that has ended takes no connections: its port refuses them at once.

use std::cell::{Cell, RefCell};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::OnceCell;

use crate::gate::instance_connection::{InstanceConnection, InstanceConnections};

/// Time in which a process that ends closes its ports, once its first connection is seen to be
/// closed.
const CLOSING_TIME: Duration = Duration::from_millis(5);

/// Longest look: a port that neither takes nor refuses a connection tells nothing, and the failed
/// request waits for what is found.
const LOOK_LIMIT: Duration = Duration::from_millis(50);

/// What is known of the end of one instance.
#[derive(Default)]
pub struct InstanceEnd {
    /// It does not come back: the next process has another name.
    has_ended: Cell<bool>,
    /// The look that is being taken: exchanges that break together share one.
    looking: RefCell<Option<Rc<OnceCell<Found>>>>,
}

/// What a look at the instance's port found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Found {
    /// Nothing listens there.
    Ended,
    /// It takes connections, or nobody can tell.
    Alive,
}

impl InstanceEnd {
    /// True when the instance has ended; to be asked when an exchange has broken. A connection
    /// that comes of it is handed to `keep`.
    pub async fn look(
        &self,
        connections: &InstanceConnections,
        address: SocketAddr,
        keep: impl FnOnce(InstanceConnection),
    ) -> bool {
        if self.has_ended.get() {
            return true;
        }
        let look = self.looking.borrow_mut().get_or_insert_with(Rc::default).clone();
        let found = *look.get_or_init(|| look_at_port(connections, address, keep)).await;
        self.looking.borrow_mut().take_if(|current| Rc::ptr_eq(current, &look));
        if found == Found::Ended {
            self.has_ended.set(true);
        }
        self.has_ended.get()
    }
}

async fn look_at_port(
    connections: &InstanceConnections,
    address: SocketAddr,
    keep: impl FnOnce(InstanceConnection),
) -> Found {
    tokio::time::sleep(CLOSING_TIME).await;
    match tokio::time::timeout(LOOK_LIMIT, connections.connect(address)).await {
        Ok(Ok(connection)) => {
            keep(connection);
            Found::Alive
        }
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => Found::Ended,
        Ok(Err(_)) | Err(_) => Found::Alive,
    }
}
