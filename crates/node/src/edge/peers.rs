//! Connections to the data ports of other nodes.
//!
//! HTTP/1.1 with kept-alive connections, one exchange on each at a time. One shared
//! HTTP/2 connection per peer was measured first: it took more processor time at the
//! rates of one node (docs/DESIGN.md).

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use crate::connections::ConnectionPool;
use crate::state::lock;

/// Connections by data address.
#[derive(Default)]
pub struct PeerPool {
    pools: Mutex<HashMap<SocketAddr, Arc<ConnectionPool>>>,
}

impl PeerPool {
    /// The connections to `address`.
    pub fn get(&self, address: SocketAddr) -> Arc<ConnectionPool> {
        let mut pools = lock(&self.pools);
        pools.entry(address).or_insert_with(|| Arc::new(ConnectionPool::new(address))).clone()
    }
}
