//! Waiting for changes, as one of the readers.
//!
//! Each call costs. What one that waits does not tell is found by the next one, or, where it waits on,
//! by looks at the source's last change meanwhile: a call may wait without a word while changes are
//! made, since its connection fell silent, or the source drops its history or comes back from an older
//! copy. A look that finds nothing newer than what is known proves that nothing was missed up to it, and
//! counts as a reading on which other nodes rely. So does the end of the call, which proves less: it ends
//! without a word also where calls are told nothing.
//!
//! A change that a call on a silent connection misses is known after the interval of looks, three calls
//! and the way to all nodes: 0.45 s, 0.15 s and 0.3 s where calls take 50 ms and 2 s are allowed. Where more
//! is allowed, calls and looks are rarer in proportion. By arithmetic.

use std::convert::Infallible;
use std::ops::Range;
use std::time::Duration;

use rand::RngExt;

use super::{
    CALL_LIMIT, FAILURES_TO_BE_AWAY, count, note_answered, note_reading, prove_configuration, should_read,
    wants_proof,
};
use crate::model::Revision;
use crate::settings::Bounds;
use crate::source::{Changes, Source, SourceError};
use crate::state::Node;

/// Shortest wait for changes in one call, as a part of the shorter of the time for which a disturbance
/// counts and the time within which no request goes to an instance that left. A call that ends without
/// a word is followed by one that tells what it missed, so waits end before a look is due, and only a call
/// that is overdue costs looks. Should none of them tell, a call that begins at the end of a second in
/// which waiting calls are told nothing still ends in time: a second, the longest wait and 0.3 s to pass
/// it on are 1.74 s of 2 s, by arithmetic.
const WAIT_PART: f64 = 0.2;
/// Longest wait over the shortest: readers that began together don't go on together.
const WAIT_SPREAD: f64 = 1.1;
/// Shortest wait where bounds are so short that calls would follow each other at once.
const SHORTEST_WAIT: Duration = Duration::from_millis(100);
/// Interval of looks while a call waits, as a part of the same time.
const LOOK_PART: f64 = 0.225;
/// Shortest interval of looks.
const SHORTEST_LOOK_INTERVAL: Duration = Duration::from_millis(450);
/// Longest interval of looks: a change of the configuration is to be known in time also where instances
/// have long to leave.
const LONGEST_LOOK_INTERVAL: Duration = Duration::from_secs(1);
/// Time in which the waiting call tells of a change that a look has found: they cross each other.
const CROSSING_TIME: Duration = Duration::from_millis(60);

/// How waiting ended.
pub(super) enum Waited {
    /// The call has told the changes, or that there are none.
    Changes(Changes),
    /// Another node reads.
    NotNeeded,
    /// There are changes that the call did not tell.
    Missed,
}

/// Why waiting ended before the call did.
enum Ended {
    NotNeeded,
    Missed,
    /// The source does not answer, or is not the one that it was.
    Failed(SourceError),
}

/// Time within which a change is to be known.
fn allowed(bounds: &Bounds) -> Duration {
    bounds.contact.min(bounds.drain)
}

/// Shortest and longest wait for changes in one call.
pub fn wait_range(bounds: &Bounds) -> Range<Duration> {
    let shortest = allowed(bounds).mul_f64(WAIT_PART).max(SHORTEST_WAIT);
    shortest..shortest.mul_f64(WAIT_SPREAD)
}

/// Interval of looks while a call waits.
pub fn check_interval(bounds: &Bounds) -> Duration {
    allowed(bounds).mul_f64(LOOK_PART).clamp(SHORTEST_LOOK_INTERVAL, LONGEST_LOOK_INTERVAL)
}

/// Changes after `known`, as soon as there are some.
pub(super) async fn changes<S: Source>(node: &Node, source: &S, known: Revision) -> Result<Waited, SourceError> {
    let waits = wait_range(&node.settings().bounds);
    let wait = node.random(|random| random.random_range(waits));
    let waiting = source.changes(known, wait, CALL_LIMIT);
    tokio::select! {
        biased;
        changes = waiting => {
            let changes = changes?;
            note_answered(node);
            Ok(Waited::Changes(changes))
        }
        Err(ended) = look_regularly(node, source, known) => match ended {
            Ended::NotNeeded => Ok(Waited::NotNeeded),
            Ended::Missed => Ok(Waited::Missed),
            Ended::Failed(error) => Err(error),
        },
    }
}

/// Looks at the source's last change until it is one that the waiting call has not told.
async fn look_regularly<S: Source>(node: &Node, source: &S, known: Revision) -> Result<Infallible, Ended> {
    let interval = check_interval(&node.settings().bounds);
    let mut failures = 0;
    loop {
        tokio::time::sleep(interval).await;
        if !should_read(node) {
            return Err(Ended::NotNeeded);
        }
        match look(node, source).await {
            Ok(last) if last.epoch != known.epoch => return Err(Ended::Failed(SourceError::EpochChanged)),
            Ok(last) if last > known => {
                tokio::time::sleep(CROSSING_TIME).await;
                return Err(Ended::Missed);
            }
            Ok(_) => {
                failures = 0;
                count(node, "probed");
                note_reading(node);
            }
            Err(error) => {
                failures += 1;
                let is_away = failures >= FAILURES_TO_BE_AWAY || matches!(error, SourceError::TimedOut);
                if is_away || matches!(error, SourceError::EpochChanged) {
                    return Err(Ended::Failed(error));
                }
                count(node, "failed");
            }
        }
    }
}

/// The source's last change: by a reading of the configuration where the proof of it has aged, else
/// by the cheapest call.
async fn look<S: Source>(node: &Node, source: &S) -> Result<Revision, SourceError> {
    if wants_proof(node) {
        return prove_configuration(node, source).await;
    }
    source.latest_revision(CALL_LIMIT).await
}
