//! Bounds the connections that a port holds; those at rest make room for new ones.
//!
//! Callers keep connections for later. A port that holds as many as it may would leave new
//! ones unread for as long as the old ones rest, so it closes the one that has rested longest.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use slab::Slab;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The connections of one port.
#[derive(Debug)]
pub struct ConnectionLimit {
    most: usize,
    evicted: Cell<usize>,
    places: RefCell<Slab<Rc<State>>>,
    freed: Notify,
}

#[derive(Debug)]
struct State {
    resting_since: Cell<Option<Instant>>,
    is_evicted: Cell<bool>,
    evicted: Notify,
}

/// The place of one connection; dropped when the connection has ended.
#[derive(Debug)]
pub struct ConnectionPermit {
    limit: Rc<ConnectionLimit>,
    key: usize,
    state: Rc<State>,
}

impl ConnectionLimit {
    /// At most `most` connections at a time.
    pub fn new(most: usize) -> Rc<Self> {
        Rc::new(ConnectionLimit { most, evicted: Cell::new(0), places: RefCell::default(), freed: Notify::new() })
    }

    /// A place for a new connection, which rests until it says otherwise. Evicts the one that
    /// rests longest when there is no room, and waits when none rests.
    pub async fn acquire(self: &Rc<Self>) -> ConnectionPermit {
        loop {
            let freed = self.freed.notified();
            if self.has_room() || self.evict_longest_resting() {
                return self.take_place();
            }
            freed.await;
        }
    }

    /// Those that were told to go no longer count.
    fn has_room(&self) -> bool {
        self.places.borrow().len() - self.evicted.get() < self.most
    }

    fn evict_longest_resting(&self) -> bool {
        let places = self.places.borrow();
        let resting = places.iter().filter(|(_, state)| !state.is_evicted.get());
        let since = |state: &Rc<State>| state.resting_since.get();
        let longest =
            resting.filter_map(|(_, state)| Some((since(state)?, state))).min_by_key(|(since, _)| *since);
        let Some((_, state)) = longest else { return false };
        state.is_evicted.set(true);
        self.evicted.set(self.evicted.get() + 1);
        state.evicted.notify_one();
        true
    }

    fn take_place(self: &Rc<Self>) -> ConnectionPermit {
        let state = Rc::new(State {
            resting_since: Cell::new(Some(Instant::now())),
            is_evicted: Cell::new(false),
            evicted: Notify::new(),
        });
        let key = self.places.borrow_mut().insert(state.clone());
        ConnectionPermit { limit: self.clone(), key, state }
    }
}

impl ConnectionPermit {
    /// The connection has nothing to do.
    pub fn mark_idle(&self) {
        if self.state.resting_since.get().is_none() {
            self.state.resting_since.set(Some(Instant::now()));
        }
        self.limit.freed.notify_one();
    }

    /// The connection carries a request.
    pub fn mark_busy(&self) {
        self.state.resting_since.set(None);
    }

    /// Waits until the connection is to make room for another one.
    pub async fn evicted(&self) {
        while !self.state.is_evicted.get() {
            self.state.evicted.notified().await;
        }
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.limit.places.borrow_mut().try_remove(self.key);
        if self.state.is_evicted.get() {
            self.limit.evicted.set(self.limit.evicted.get() - 1);
        }
        self.limit.freed.notify_one();
    }
}
