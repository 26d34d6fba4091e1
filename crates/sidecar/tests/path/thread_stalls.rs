//! Detects stalls of a test's own thread. All nodes, instances and clients share the thread, so a starved
//! thread looks as if any of them were late.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::Instant;

/// Interval at which a test checks whether its thread is on time.
const CHECK_INTERVAL: Duration = Duration::from_millis(2);
/// Shortest stall that is recorded.
const MIN_STALL: Duration = Duration::from_millis(5);
/// Maximum number of stalls that are printed; the latest ones are.
const MAX_PRINTED: usize = 12;

/// A time span in which the thread ran nothing, counted from the start of the test.
#[derive(Debug, Clone, Copy)]
struct Stall {
    from: Duration,
    until: Duration,
}

thread_local! {
    static STARTED: Cell<Option<Instant>> = const { Cell::new(None) };
    static STALLS: RefCell<Vec<Stall>> = const { RefCell::new(Vec::new()) };
}

/// Time since this thread's test began, on the clock of [`Stall`].
pub fn since_start() -> Duration {
    STARTED.get().map(|started| started.elapsed()).unwrap_or_default()
}

/// True when this thread stalled at some time from `from` to `until`; reliable only some milliseconds later.
pub fn stalled_between(from: Duration, until: Duration) -> bool {
    STALLS.with_borrow(|stalls| stalls.iter().any(|stall| stall.from <= until && stall.until >= from))
}

/// Watches the thread of a test for stalls and prints them when the test fails.
pub struct StallMonitor;

impl StallMonitor {
    /// Starts to watch; ends with the test.
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
    eprintln!("the test's own thread stalled for {worst:?} at most; latest stalls:");
    for stall in stalls.iter().rev().take(MAX_PRINTED).rev() {
        eprintln!("  for {:?}, until {:?} after the start of the test", duration(stall), stall.until);
    }
}
