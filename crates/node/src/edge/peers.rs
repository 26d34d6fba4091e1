//! Connections to the data ports of other nodes.
//!
//! They are HTTP/1.1 keep-alive connections that carry one exchange at a time. One shared
//! HTTP/2 connection per peer was measured too: at the request rates of one node it took
//! more processor time (docs/DESIGN.md).

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use crate::connections::ConnectionPool;
use crate::state::lock;

/// A connection pool for each data address.
#[derive(Default)]
pub struct PeerPool {
    pools: Mutex<HashMap<SocketAddr, Arc<ConnectionPool>>>,
}

impl PeerPool {
    /// The connection pool of `address`, created on first use.
    pub fn get(&self, address: SocketAddr) -> Arc<ConnectionPool> {
        let mut pools = lock(&self.pools);
        pools.entry(address).or_insert_with(|| Arc::new(ConnectionPool::new(address))).clone()
    }
}
