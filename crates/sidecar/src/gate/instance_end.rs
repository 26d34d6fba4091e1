//! Whether the instance beside this node has ended.
//!
//! A connection that breaks is no end: instances break off answers, and connections are reset
//! on the way. A process that has ended takes no connections: its port refuses them at once.

use std::cell::{Cell, RefCell};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use olivegate_types::Moment;
use tokio::sync::OnceCell;

use crate::gate::instance_connection::{InstanceConnection, InstanceConnections};
use olivegate_clock as clock;

/// Time in which a process that ends closes its ports, once its first connection is seen to be
/// closed.
const CLOSING_TIME: Duration = Duration::from_millis(5);
/// Longest look: a port that neither takes nor refuses a connection tells nothing, and the failed
/// request waits for what is found.
const LOOK_LIMIT: Duration = Duration::from_millis(50);

/// What is known of the end of one instance.
#[derive(Default)]
pub struct InstanceEnd {
    /// When it was last seen to have ended. It may start again under its name before that is known.
    ended: Cell<Option<Moment>>,
    /// The look that is being taken: exchanges that break together share one.
    looking: RefCell<Option<Rc<OnceCell<Option<Moment>>>>>,
}

impl InstanceEnd {
    /// When the instance ended, if it has; to be asked when an exchange has broken that began at `began`. A connection that comes of it is handed to `keep`.
    pub async fn look(
        &self,
        began: Moment,
        connections: &InstanceConnections,
        address: SocketAddr,
        keep: impl FnOnce(InstanceConnection),
    ) -> Option<Moment> {
        let is_known = |ended: Moment| began <= ended;
        if self.ended.get().is_some_and(is_known) {
            return self.ended.get();
        }
        let look = self.looking.borrow_mut().get_or_insert_with(Rc::default).clone();
        let found = *look.get_or_init(|| look_at_port(connections, address, keep)).await;
        self.looking.borrow_mut().take_if(|current| Rc::ptr_eq(current, &look));
        if !self.ended.get().is_some_and(is_known) {
            self.ended.set(found.or(self.ended.get()));
        }
        self.ended.get().filter(|ended| is_known(*ended))
    }
}

/// When the process behind the port was seen to be gone; none where it takes connections, or nobody
/// can tell.
async fn look_at_port(
    connections: &InstanceConnections,
    address: SocketAddr,
    keep: impl FnOnce(InstanceConnection),
) -> Option<Moment> {
    let broke = clock::now();
    tokio::time::sleep(CLOSING_TIME).await;
    match tokio::time::timeout(LOOK_LIMIT, connections.connect(address)).await {
        Ok(Ok(connection)) => {
            keep(connection);
            None
        }
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => Some(broke),
        Ok(Err(_)) | Err(_) => None,
    }
}
