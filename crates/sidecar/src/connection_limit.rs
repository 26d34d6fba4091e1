//! Limits the connections of a port; idle ones are closed to make room for new ones.
//!
//! Callers keep connections alive for reuse. At its limit, a port would leave new connections unread for as
//! long as the old ones stay idle, so it closes the one that has been idle longest.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use slab::Slab;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The connections of one port.
#[derive(Debug)]
pub struct ConnectionLimit {
    max_connections: usize,
    evicted_count: Cell<usize>,
    connections: RefCell<Slab<Rc<ConnectionState>>>,
    freed: Notify,
}

#[derive(Debug)]
struct ConnectionState {
    idle_since: Cell<Option<Instant>>,
    is_evicted: Cell<bool>,
    evicted: Notify,
}

/// The permit of one connection, dropped when the connection has ended.
#[derive(Debug)]
pub struct ConnectionPermit {
    limit: Rc<ConnectionLimit>,
    key: usize,
    state: Rc<ConnectionState>,
}

impl ConnectionLimit {
    /// Allows at most `max_connections` connections at a time.
    pub fn new(max_connections: usize) -> Rc<Self> {
        Rc::new(ConnectionLimit {
            max_connections,
            evicted_count: Cell::new(0),
            connections: RefCell::default(),
            freed: Notify::new(),
        })
    }

    /// Acquires a permit for a new connection, which is idle until marked busy. At the limit it evicts the
    /// connection that has been idle longest, or waits if none is idle.
    pub async fn acquire(self: &Rc<Self>) -> ConnectionPermit {
        loop {
            let freed = self.freed.notified();
            if self.has_capacity() || self.evict_longest_idle() {
                return self.new_permit();
            }
            freed.await;
        }
    }

    /// Evicted connections no longer count.
    fn has_capacity(&self) -> bool {
        self.connections.borrow().len() - self.evicted_count.get() < self.max_connections
    }

    fn evict_longest_idle(&self) -> bool {
        let connections = self.connections.borrow();
        let remaining = connections.iter().filter(|(_, state)| !state.is_evicted.get());
        let since = |state: &Rc<ConnectionState>| state.idle_since.get();
        let longest =
            remaining.filter_map(|(_, state)| Some((since(state)?, state))).min_by_key(|(since, _)| *since);
        let Some((_, state)) = longest else { return false };
        state.is_evicted.set(true);
        self.evicted_count.set(self.evicted_count.get() + 1);
        state.evicted.notify_one();
        true
    }

    fn new_permit(self: &Rc<Self>) -> ConnectionPermit {
        let state = Rc::new(ConnectionState {
            idle_since: Cell::new(Some(Instant::now())),
            is_evicted: Cell::new(false),
            evicted: Notify::new(),
        });
        let key = self.connections.borrow_mut().insert(state.clone());
        ConnectionPermit { limit: self.clone(), key, state }
    }
}

impl ConnectionPermit {
    /// Marks the connection as idle.
    pub fn mark_idle(&self) {
        if self.state.idle_since.get().is_none() {
            self.state.idle_since.set(Some(Instant::now()));
        }
        self.limit.freed.notify_one();
    }

    /// Marks the connection as carrying a request.
    pub fn mark_busy(&self) {
        self.state.idle_since.set(None);
    }

    /// Waits until the connection is evicted to make room for another one.
    pub async fn evicted(&self) {
        while !self.state.is_evicted.get() {
            self.state.evicted.notified().await;
        }
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.limit.connections.borrow_mut().try_remove(self.key);
        if self.state.is_evicted.get() {
            self.limit.evicted_count.set(self.limit.evicted_count.get() - 1);
        }
        self.limit.freed.notify_one();
    }
}
