//! Whether a test's own thread keeps up. All nodes, instances and clients share the thread, and one that
//! is starved looks like any of them being late.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::Instant;

/// Interval at which a test looks whether its thread keeps up.
const LOOK_INTERVAL: Duration = Duration::from_millis(2);
/// Shortest standstill that is remembered.
const SHORTEST: Duration = Duration::from_millis(5);
/// Standstills that are printed: the latest ones.
const MOST_SHOWN: usize = 12;

thread_local! {
    static STARTED: Cell<Option<Instant>> = const { Cell::new(None) };
}

/// Time since this thread's test began, as standstills are dated.
pub fn since_start() -> Duration {
    STARTED.get().map(|started| started.elapsed()).unwrap_or_default()
}

/// A time in which the thread did nothing.
#[derive(Debug, Clone, Copy)]
struct Standstill {
    /// From the start of the test.
    until: Duration,
    length: Duration,
}

/// The standstills of a test's thread, printed when the test fails.
pub struct OwnLateness(Rc<RefCell<Vec<Standstill>>>);

impl OwnLateness {
    /// Watches until the test ends.
    pub fn watch() -> Self {
        let seen: Rc<RefCell<Vec<Standstill>>> = Rc::default();
        let noted = seen.clone();
        STARTED.set(Some(Instant::now()));
        spawn_local(async move {
            loop {
                let due = Instant::now() + LOOK_INTERVAL;
                tokio::time::sleep_until(due).await;
                let length = due.elapsed();
                if length >= SHORTEST {
                    noted.borrow_mut().push(Standstill { until: since_start(), length });
                }
            }
        });
        OwnLateness(seen)
    }
}

impl Drop for OwnLateness {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            return;
        }
        let seen = self.0.borrow();
        let worst = seen.iter().map(|standstill| standstill.length).max().unwrap_or_default();
        eprintln!("the test's own thread was late by {worst:?} at most; at last:");
        for Standstill { until, length } in seen.iter().rev().take(MOST_SHOWN).rev() {
            eprintln!("  by {length:?}, {until:?} after its start");
        }
    }
}
