//! Detects whether the instance beside this node has ended.
//!
//! A broken connection alone doesn't prove it: instances abort responses, and connections are reset in
//! transit. A process that has ended accepts no connections, its port refuses them at once.

use std::cell::{Cell, RefCell};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use olivegate_types::Moment;
use tokio::sync::OnceCell;

use crate::gate::instance_connection::{InstanceConnection, InstanceConnections};
use olivegate_clock as clock;

/// Time within which an ending process closes its ports after its first connection was seen closed.
const PORT_CLOSE_DELAY: Duration = Duration::from_millis(5);
/// Time limit of the port check: a port that neither accepts nor refuses a connection proves nothing, and the
/// failed request waits for the result.
const PORT_CHECK_TIMEOUT: Duration = Duration::from_millis(50);

/// What is known about the end of one instance.
#[derive(Default)]
pub struct InstanceEnd {
    /// When the instance was last seen to have ended. It may restart under the same name before the gate
    /// learns of the restart.
    ended: Cell<Option<Moment>>,
    /// The port check that is running; exchanges that break at the same time share it.
    pending_check: RefCell<Option<Rc<OnceCell<Option<Moment>>>>>,
}

impl InstanceEnd {
    /// Returns when the instance ended, if it has. To be called when an exchange that began at `began` has
    /// broken. A connection that the check opens is passed to `keep`.
    pub async fn check(
        &self,
        began: Moment,
        connections: &InstanceConnections,
        address: SocketAddr,
        keep: impl FnOnce(InstanceConnection),
    ) -> Option<Moment> {
        let is_after_start = |ended: Moment| began <= ended;
        if self.ended.get().is_some_and(is_after_start) {
            return self.ended.get();
        }
        let check = self.pending_check.borrow_mut().get_or_insert_with(Rc::default).clone();
        let observed = *check.get_or_init(|| check_port(connections, address, keep)).await;
        self.pending_check.borrow_mut().take_if(|current| Rc::ptr_eq(current, &check));
        if !self.ended.get().is_some_and(is_after_start) {
            self.ended.set(observed.or(self.ended.get()));
        }
        self.ended.get().filter(|ended| is_after_start(*ended))
    }
}

/// Returns when the process behind the port was seen to be gone; `None` if it accepts connections or the
/// check is inconclusive.
async fn check_port(
    connections: &InstanceConnections,
    address: SocketAddr,
    keep: impl FnOnce(InstanceConnection),
) -> Option<Moment> {
    let broken_at = clock::now();
    tokio::time::sleep(PORT_CLOSE_DELAY).await;
    match tokio::time::timeout(PORT_CHECK_TIMEOUT, connections.connect(address)).await {
        Ok(Ok(connection)) => {
            keep(connection);
            None
        }
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => Some(broken_at),
        Ok(Err(_)) | Err(_) => None,
    }
}
