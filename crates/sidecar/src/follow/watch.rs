//! Waiting for changes, as one of the readers.
//!
//! One call waits long, since each costs. Whether the source still answers meanwhile is asked
//! by probes, which cost least: a source that went silent is noticed as fast as by short
//! waits. A source that drops its history may leave calls that wait without a word, so none
//! waits longer than a disturbance of the source counts, and the readers' waits differ.

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

/// Wait for changes in one call, as parts of the shorter of the time for which a disturbance
/// counts and the time within which no request goes to an instance that left. A source that drops
/// its history tells waiting calls nothing for a second before; a call that begins at the end of
/// it must end in time for both: a second, the longest wait and 0.3 s to pass it on are 1.98 s of
/// 2 s and 2.15 s of 2.5 s, by arithmetic.
const WAIT_PARTS: Range<f64> = 0.2..0.34;
/// Interval of probes while a call waits.
const PROBE_INTERVAL: Duration = Duration::from_millis(450);

/// Why waiting ended before there were changes.
enum Ended {
    /// Another node reads.
    NotNeeded,
    /// The source does not answer.
    Away(SourceError),
}

/// Shortest and longest wait for changes in one call.
pub fn waits(bounds: &Bounds) -> Range<Duration> {
    let whole = bounds.contact.min(bounds.drain);
    whole.mul_f64(WAIT_PARTS.start)..whole.mul_f64(WAIT_PARTS.end)
}

/// Changes after `known`, as soon as there are some; `None` when other nodes read for this one.
pub async fn changes<S: Source>(node: &Node, source: &S, known: Revision) -> Result<Option<Changes>, SourceError> {
    let waits = waits(&node.settings().bounds);
    let wait = node.random(|random| random.random_range(waits));
    let waiting = source.changes(known, wait, CALL_LIMIT);
    tokio::select! {
        biased;
        changes = waiting => {
            let changes = changes?;
            note_answered(node);
            Ok(Some(changes))
        }
        Err(ended) = probe_regularly(node, source) => match ended {
            Ended::NotNeeded => Ok(None),
            Ended::Away(error) => Err(error),
        },
    }
}

/// Notes a reading with each probe that is answered: a change before it would have ended the
/// wait.
async fn probe_regularly<S: Source>(node: &Node, source: &S) -> Result<Infallible, Ended> {
    let mut failures = 0;
    loop {
        tokio::time::sleep(PROBE_INTERVAL).await;
        if !should_read(node) {
            return Err(Ended::NotNeeded);
        }
        match probe(node, source).await {
            Ok(()) => {
                failures = 0;
                count(node, "probed");
                note_reading(node);
            }
            Err(error) => {
                failures += 1;
                if failures >= FAILURES_TO_BE_AWAY || matches!(error, SourceError::TimedOut) {
                    return Err(Ended::Away(error));
                }
                count(node, "failed");
            }
        }
    }
}

/// Asks whether the source answers: by a reading of the configuration where the proof of it has
/// aged, else by the cheapest call.
async fn probe<S: Source>(node: &Node, source: &S) -> Result<(), SourceError> {
    if wants_proof(node) {
        return prove_configuration(node, source).await;
    }
    source.probe(CALL_LIMIT).await
}
