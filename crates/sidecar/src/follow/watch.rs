//! Long polls for changes, on the nodes that read.
//!
//! Each call puts load on the source. A change that a waiting call does not report is found by the next call
//! or, if the call keeps waiting, by checks of the source's latest revision in the meantime. A call may wait
//! without reporting changes because its connection has silently failed, or because the source compacted its
//! history or was restored from a backup. A check that finds nothing newer than the known revision proves
//! that nothing was missed up to then, and counts as a reading that other nodes rely on. So does the end of a
//! call, which proves less, since a call that misses changes ends in the same way.
//!
//! A change missed by a call on a failed connection is known after a check interval, three calls and the
//! propagation to all nodes: 0.45 s, 0.15 s and 0.3 s if calls take 50 ms and the bound is 2 s. With a longer
//! bound, calls and checks are proportionally less frequent. These figures are calculated, not measured.

use std::convert::Infallible;
use std::ops::Range;
use std::time::Duration;

use rand::RngExt;

use super::{
    CALL_TIMEOUT, OUTAGE_FAILURES, count_call, needs_proof, note_answered, note_reading, prove_configuration,
    should_read,
};
use crate::model::Revision;
use crate::settings::Bounds;
use crate::source::{Changes, Source, SourceError};
use crate::state::Node;

/// Minimum wait for changes in one call, as a fraction of the propagation bound. A call that ends without
/// changes is followed by one that reports what it missed, so waits end before a check is due, and only an
/// overdue call causes checks. Even if no check reports the change, the bound holds: if calls report nothing
/// for one second, a call that begins at the end of that second ends in time, as one second, the longest wait
/// and 0.3 s of propagation add up to 1.74 s of the 2 s allowed (calculated, not measured).
const WAIT_FRACTION: f64 = 0.2;
/// Ratio of the longest wait to the shortest. It desynchronizes readers that began together.
const WAIT_SPREAD: f64 = 1.1;
/// Minimum wait, so that short bounds do not make calls follow each other immediately.
const MIN_WAIT: Duration = Duration::from_millis(100);
/// Interval of checks while a call waits, as a fraction of the propagation bound.
const CHECK_FRACTION: f64 = 0.225;
/// Minimum interval of checks.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(450);
/// Maximum interval of checks. A configuration change has to be known in time even if instances may drain for
/// long.
const MAX_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Time for the waiting call to report a change that a check found, as both may be under way at once.
const DELIVERY_GRACE: Duration = Duration::from_millis(60);

/// How a wait for changes ended.
pub(super) enum WaitOutcome {
    /// The call reported the changes, or that there are none.
    Changes(Changes),
    /// Another node reads.
    NotNeeded,
    /// There are changes that the call did not report.
    Missed,
}

/// Why a wait ended before its call did.
enum Interrupted {
    NotNeeded,
    Missed,
    /// The source does not answer, or has begun a new epoch.
    Failed(SourceError),
}

/// Time within which a change has to be known on all nodes: the shorter of the time after a fault until the
/// source counts as stable, and the time within which a leaving instance stops getting requests.
fn propagation_bound(bounds: &Bounds) -> Duration {
    bounds.contact.min(bounds.drain)
}

/// Returns the shortest and the longest wait for changes in one call.
pub fn wait_range(bounds: &Bounds) -> Range<Duration> {
    let shortest = propagation_bound(bounds).mul_f64(WAIT_FRACTION).max(MIN_WAIT);
    shortest..shortest.mul_f64(WAIT_SPREAD)
}

/// Returns the interval of checks while a call waits.
pub fn check_interval(bounds: &Bounds) -> Duration {
    propagation_bound(bounds).mul_f64(CHECK_FRACTION).clamp(MIN_CHECK_INTERVAL, MAX_CHECK_INTERVAL)
}

/// Waits for changes after `known`.
pub(super) async fn changes<S: Source>(
    node: &Node,
    source: &S,
    known: Revision,
) -> Result<WaitOutcome, SourceError> {
    let range = wait_range(&node.settings().bounds);
    let wait = node.random(|random| random.random_range(range));
    let waiting = source.changes(known, wait, CALL_TIMEOUT);
    tokio::select! {
        biased;
        changes = waiting => {
            let changes = changes?;
            note_answered(node);
            Ok(WaitOutcome::Changes(changes))
        }
        Err(interrupted) = check_periodically(node, source, known) => match interrupted {
            Interrupted::NotNeeded => Ok(WaitOutcome::NotNeeded),
            Interrupted::Missed => Ok(WaitOutcome::Missed),
            Interrupted::Failed(error) => Err(error),
        },
    }
}

/// Checks the source's latest revision until it is one that the waiting call has not reported.
async fn check_periodically<S: Source>(
    node: &Node,
    source: &S,
    known: Revision,
) -> Result<Infallible, Interrupted> {
    let interval = check_interval(&node.settings().bounds);
    let mut failures = 0;
    loop {
        tokio::time::sleep(interval).await;
        if !should_read(node) {
            return Err(Interrupted::NotNeeded);
        }
        match check(node, source).await {
            Ok(last) if last.epoch != known.epoch => return Err(Interrupted::Failed(SourceError::EpochChanged)),
            Ok(last) if last > known => {
                tokio::time::sleep(DELIVERY_GRACE).await;
                return Err(Interrupted::Missed);
            }
            Ok(_) => {
                failures = 0;
                count_call(node, "probed");
                note_reading(node);
            }
            Err(error) => {
                failures += 1;
                let is_outage = failures >= OUTAGE_FAILURES || matches!(error, SourceError::TimedOut);
                if is_outage || matches!(error, SourceError::EpochChanged) {
                    return Err(Interrupted::Failed(error));
                }
                count_call(node, "failed");
            }
        }
    }
}

/// Returns the source's latest revision, by reading the configuration if its proof grows old, else by the
/// cheapest call.
async fn check<S: Source>(node: &Node, source: &S) -> Result<Revision, SourceError> {
    if needs_proof(node) {
        return prove_configuration(node, source).await;
    }
    source.latest_revision(CALL_TIMEOUT).await
}
