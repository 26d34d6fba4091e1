//! Client connections for control calls, one shared per peer.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use olivegate_types::DeploymentKey;
use tarpc::client::{Config, RpcError};
use tarpc::context;
use tokio::net::TcpStream;

use crate::error::ControlError;
use crate::service::ControlClient;
use crate::transport::client_transport;

/// Time limit for a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Pool of connections to peers. A connection is made on first use, and again after it failed.
#[derive(Clone)]
pub struct ControlPool {
    key: DeploymentKey,
    clients: Arc<Mutex<HashMap<SocketAddr, ControlClient>>>,
}

impl ControlPool {
    /// Creates an empty pool whose connections use `key`.
    pub fn new(key: DeploymentKey) -> Self {
        ControlPool { key, clients: Arc::default() }
    }

    fn connected_client(&self, address: SocketAddr) -> Option<ControlClient> {
        self.clients.lock().ok()?.get(&address).cloned()
    }

    async fn client(&self, address: SocketAddr) -> Result<ControlClient, ControlError> {
        if let Some(client) = self.connected_client(address) {
            return Ok(client);
        }
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        let stream = connecting.await.map_err(|_| ControlError::Connect)?.map_err(|_| ControlError::Connect)?;
        stream.set_nodelay(true).map_err(|_| ControlError::Connect)?;
        let new = ControlClient::new(Config::default(), client_transport(stream, self.key.clone()));
        let pool = self.clone();
        tokio::spawn(async move {
            if let Err(error) = new.dispatch.await {
                log::debug!("event=control_connection_ended peer={address} error={error}");
            }
            pool.drop_connection(address);
        });
        if let Ok(mut clients) = self.clients.lock() {
            clients.insert(address, new.client.clone());
        }
        Ok(new.client)
    }

    /// Makes one call with a time limit. On failure or timeout the connection is removed from the
    /// pool; the call is not retried.
    pub async fn call<T, F>(
        &self,
        address: SocketAddr,
        timeout: Duration,
        call: impl FnOnce(ControlClient, context::Context) -> F,
    ) -> Result<T, ControlError>
    where
        F: Future<Output = Result<T, RpcError>>,
    {
        let client = self.client(address).await?;
        let mut context = context::current();
        context.deadline = Instant::now() + timeout;
        let result = tokio::time::timeout(timeout, call(client, context)).await;
        match result {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(_)) | Err(_) => {
                self.drop_connection(address);
                Err(ControlError::Call)
            }
        }
    }

    fn drop_connection(&self, address: SocketAddr) {
        if let Ok(mut clients) = self.clients.lock() {
            clients.remove(&address);
        }
    }
}
