//! The second step of an offer that may run only once.

use tokio::sync::oneshot;

use crate::gate_protocol::CONFIRM_LIMIT;

/// The gate's side: asks for the confirmation once there is a slot.
pub enum Confirmation {
    /// None is needed.
    NotNeeded,
    /// Run the request only when the edge has confirmed it.
    Needed(Grant),
}

/// A grant that has not been told yet.
pub struct Grant {
    granted: oneshot::Sender<()>,
    confirmed: oneshot::Receiver<()>,
}

/// The connection's side: tells the edge of the grant and hands its confirmation on.
pub struct GrantRelay {
    granted: Option<oneshot::Receiver<()>>,
    confirmed: Option<oneshot::Sender<()>>,
}

/// Both sides for an offer.
pub fn confirmation(is_needed: bool) -> (Confirmation, GrantRelay) {
    if !is_needed {
        return (Confirmation::NotNeeded, GrantRelay { granted: None, confirmed: None });
    }
    let (granted, is_granted) = oneshot::channel();
    let (confirmed, is_confirmed) = oneshot::channel();
    let grant = Grant { granted, confirmed: is_confirmed };
    (Confirmation::Needed(grant), GrantRelay { granted: Some(is_granted), confirmed: Some(confirmed) })
}

impl Confirmation {
    /// True when the request may run.
    pub async fn obtain(self) -> bool {
        let Confirmation::Needed(grant) = self else { return true };
        if grant.granted.send(()).is_err() {
            return false;
        }
        matches!(tokio::time::timeout(CONFIRM_LIMIT, grant.confirmed).await, Ok(Ok(())))
    }
}

impl GrantRelay {
    /// Waits until a slot was granted; never ends when that was told or is not needed.
    pub async fn granted(&mut self) {
        if let Some(granted) = &mut self.granted {
            let is_granted = granted.await.is_ok();
            self.granted = None;
            if is_granted {
                return;
            }
        }
        futures::future::pending().await
    }

    /// The edge confirmed.
    pub fn confirm(&mut self) {
        if let Some(confirmed) = self.confirmed.take() {
            // A gate that stopped waiting refuses the request.
            let _ = confirmed.send(());
        }
    }
}
