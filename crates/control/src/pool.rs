//! One shared connection per peer.

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

/// Time after which a connection attempt is given up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Connections to peers, made when first needed and again after they broke.
#[derive(Clone)]
pub struct ControlPool {
    key: DeploymentKey,
    clients: Arc<Mutex<HashMap<SocketAddr, ControlClient>>>,
}

impl ControlPool {
    /// An empty pool.
    pub fn new(key: DeploymentKey) -> Self {
        ControlPool { key, clients: Arc::default() }
    }

    fn held(&self, address: SocketAddr) -> Option<ControlClient> {
        self.clients.lock().ok()?.get(&address).cloned()
    }

    async fn client(&self, address: SocketAddr) -> Result<ControlClient, ControlError> {
        if let Some(client) = self.held(address) {
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

    /// Makes one call with a time limit. A broken connection is dropped from the pool
    /// and the call is not repeated.
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
        let answer = tokio::time::timeout(timeout, call(client, context)).await;
        match answer {
            Ok(Ok(answer)) => Ok(answer),
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
