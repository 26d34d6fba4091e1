//! Whether a test's own thread keeps up. All nodes, instances and clients share the thread, and one that
//! is starved looks like any of them being late.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::Instant;

/// Interval at which a test looks whether its thread keeps up.
const CHECK_INTERVAL: Duration = Duration::from_millis(2);
/// Shortest standstill that is remembered.
const MIN_STALL: Duration = Duration::from_millis(5);
/// Standstills that are printed: the latest ones.
const MAX_PRINTED: usize = 12;

/// A time in which the thread did nothing, dated from the start of the test.
#[derive(Debug, Clone, Copy)]
struct Stall {
    from: Duration,
    until: Duration,
}

thread_local! {
    static STARTED: Cell<Option<Instant>> = const { Cell::new(None) };
    static STALLS: RefCell<Vec<Stall>> = const { RefCell::new(Vec::new()) };
}

/// Time since this thread's test began, as standstills are dated.
pub fn since_start() -> Duration {
    STARTED.get().map(|started| started.elapsed()).unwrap_or_default()
}

/// True when this thread stood still at some time from `from` to `until`; known some milliseconds later.
pub fn stalled_between(from: Duration, until: Duration) -> bool {
    STALLS.with_borrow(|stalls| stalls.iter().any(|stall| stall.from <= until && stall.until >= from))
}

/// Watches the thread of a test, and prints its standstills when the test fails.
pub struct StallMonitor;

impl StallMonitor {
    /// Watches until the test ends.
    pub fn watch() -> Self {
        STARTED.set(Some(Instant::now()));
        STALLS.with_borrow_mut(Vec::clear);
        spawn_local(async move {
            loop {
                let due = Instant::now() + CHECK_INTERVAL;
                tokio::time::sleep_until(due).await;
                let late = due.elapsed();
                if late >= MIN_STALL {
                    let until = since_start();
                    let from = until.saturating_sub(late);
                    STALLS.with_borrow_mut(|stalls| stalls.push(Stall { from, until }));
                }
            }
        });
        StallMonitor
    }
}

impl Drop for StallMonitor {
    fn drop(&mut self) {
        if std::thread::panicking() {
            STALLS.with_borrow(|stalls| print_stalls(stalls));
        }
    }
}

fn print_stalls(stalls: &[Stall]) {
    let duration = |stall: &Stall| stall.until - stall.from;
    let worst = stalls.iter().map(duration).max().unwrap_or_default();
    eprintln!("the test's own thread was late by {worst:?} at most; at last:");
    for stall in stalls.iter().rev().take(MAX_PRINTED).rev() {
        eprintln!("  by {:?}, {:?} after its start", duration(stall), stall.until);
    }
}
