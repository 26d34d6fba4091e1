//! Whether a test's own thread keeps up. All nodes, instances and clients share the thread, and one that
//! is starved looks like any of them being late.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::Instant;

/// Interval at which a test looks whether its thread keeps up.
const LOOK_INTERVAL: Duration = Duration::from_millis(2);
/// Shortest standstill that is remembered.
const SHORTEST: Duration = Duration::from_millis(5);
/// Standstills that are printed: the latest ones.
const MOST_SHOWN: usize = 12;

/// A time in which the thread did nothing, dated from the start of the test.
#[derive(Debug, Clone, Copy)]
struct Standstill {
    from: Duration,
    until: Duration,
}

thread_local! {
    static STARTED: Cell<Option<Instant>> = const { Cell::new(None) };
    static SEEN: RefCell<Vec<Standstill>> = const { RefCell::new(Vec::new()) };
}

/// Time since this thread's test began, as standstills are dated.
pub fn since_start() -> Duration {
    STARTED.get().map(|started| started.elapsed()).unwrap_or_default()
}

/// True when this thread stood still at some time from `from` to `until`; known some milliseconds later.
pub fn stood_still(from: Duration, until: Duration) -> bool {
    SEEN.with_borrow(|seen| seen.iter().any(|standstill| standstill.from <= until && standstill.until >= from))
}

/// Watches the thread of a test, and prints its standstills when the test fails.
pub struct OwnLateness;

impl OwnLateness {
    /// Watches until the test ends.
    pub fn watch() -> Self {
        STARTED.set(Some(Instant::now()));
        SEEN.with_borrow_mut(Vec::clear);
        spawn_local(async move {
            loop {
                let due = Instant::now() + LOOK_INTERVAL;
                tokio::time::sleep_until(due).await;
                let late = due.elapsed();
                if late >= SHORTEST {
                    let until = since_start();
                    let from = until.saturating_sub(late);
                    SEEN.with_borrow_mut(|seen| seen.push(Standstill { from, until }));
                }
            }
        });
        OwnLateness
    }
}

impl Drop for OwnLateness {
    fn drop(&mut self) {
        if std::thread::panicking() {
            SEEN.with_borrow(|seen| print(seen));
        }
    }
}

fn print(seen: &[Standstill]) {
    let length = |standstill: &Standstill| standstill.until - standstill.from;
    let worst = seen.iter().map(length).max().unwrap_or_default();
    eprintln!("the test's own thread was late by {worst:?} at most; at last:");
    for standstill in seen.iter().rev().take(MOST_SHOWN).rev() {
        eprintln!("  by {:?}, {:?} after its start", length(standstill), standstill.until);
    }
}
