//! Second step of an offer that may run at most once: the edge confirms the granted slot.

use tokio::sync::oneshot;

use crate::gate_protocol::CONFIRM_LIMIT;

/// The gate's side: asks for the confirmation once a slot is granted.
pub enum Confirmation {
    /// The request may run without confirmation.
    NotNeeded,
    /// The request may run only after the edge has confirmed it.
    Needed(Grant),
}

/// A grant that hasn't been sent to the edge yet.
pub struct Grant {
    granted: oneshot::Sender<()>,
    confirmed: oneshot::Receiver<()>,
}

/// The connection's side: learns of the grant and passes on the confirmation of the edge.
pub struct GrantRelay {
    granted: Option<oneshot::Receiver<()>>,
    confirmed: Option<oneshot::Sender<()>>,
}

/// Creates both sides for an offer.
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
    /// Signals the grant and waits for the confirmation. Returns true when the request may run.
    pub async fn obtain(self) -> bool {
        let Confirmation::Needed(grant) = self else { return true };
        if grant.granted.send(()).is_err() {
            return false;
        }
        matches!(tokio::time::timeout(CONFIRM_LIMIT, grant.confirmed).await, Ok(Ok(())))
    }
}

impl GrantRelay {
    /// Waits until a slot is granted. Never resolves if no confirmation is needed or the grant was already
    /// returned.
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

    /// Passes on the confirmation of the edge.
    pub fn confirm(&mut self) {
        if let Some(confirmed) = self.confirmed.take() {
            // If the gate has stopped waiting, it refuses the request.
            let _ = confirmed.send(());
        }
    }
}
