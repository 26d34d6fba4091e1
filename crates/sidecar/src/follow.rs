//! Reads the source: everything first, then changes as they come.
//!
//! One failed call says nothing: a waiting call may be cut at any time. Two in a row, or
//! one without an answer, mean that the source is disturbed.

use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;

use crate::model::Revision;
use crate::source::{Change, Changes, Snapshot, Source, SourceError};
use crate::state::Node;
use olivegate_clock as clock;

/// Longest wait for changes in one call.
const CHANGES_WAIT: Duration = Duration::from_millis(700);
/// Time limit of a call beyond its wait.
const CALL_LIMIT: Duration = Duration::from_millis(900);
/// First pause after a failed call; it doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(60);
/// Longest pause after failed calls.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);
/// Interval at which a node that does not read looks whether it should.
const IDLE_POLL: Duration = Duration::from_millis(100);
/// Pause after changes, so that those that come together are read by one call.
const GATHER: Duration = Duration::from_millis(40);
/// Failures in a row that show that the source is disturbed.
const FAILURES_TO_DISTURB: u32 = 2;

/// Where reading goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Position {
    /// Everything has to be read.
    Start,
    /// Changes after this one.
    After(Revision),
}

/// Follows the source until the process ends.
pub async fn follow<S: Source>(node: Rc<Node>, source: S) {
    let mut position = Position::Start;
    let mut failures = 0;
    loop {
        if !should_read(&node) {
            position = Position::Start;
            tokio::time::sleep(IDLE_POLL).await;
            continue;
        }
        match read_once(&node, &source, position).await {
            Ok(next) => {
                failures = 0;
                position = next;
                note_success(&node);
            }
            Err(SourceError::HistoryGone) => {
                log::info!("event=source_history_gone");
                count(&node, "history-gone");
                position = Position::Start;
            }
            Err(error) => {
                failures += 1;
                note_failure(&node, &error, failures);
                tokio::time::sleep(pause(&node, failures)).await;
            }
        }
        tokio::task::yield_now().await;
    }
}

fn should_read(node: &Node) -> bool {
    let rank = crate::peers::own_reader_rank(node);
    node.freshness.borrow_mut().should_read(rank, clock::now())
}

/// Reads once; an own state that is newer than a peer's copy is never read over.
async fn read_once<S: Source>(node: &Node, source: &S, position: Position) -> Result<Position, SourceError> {
    match position {
        Position::Start => {
            let snapshot = source.snapshot(CALL_LIMIT).await?;
            Ok(take_snapshot(node, snapshot))
        }
        Position::After(revision) => {
            let changes = source.changes(revision, CHANGES_WAIT, CALL_LIMIT).await?;
            let is_busy = !changes.changes.is_empty();
            let position = take_changes(node, changes);
            if is_busy {
                tokio::time::sleep(GATHER).await;
            }
            Ok(position)
        }
    }
}

fn take_snapshot(node: &Node, snapshot: Snapshot) -> Position {
    let revision = snapshot.revision;
    if let Some(configuration) = snapshot.configuration {
        node.accept_configuration(configuration, "source");
    }
    let now = clock::now();
    node.update_directory("source", |directory| directory.apply_snapshot(&snapshot.instances, revision, now));
    Position::After(revision)
}

fn take_changes(node: &Node, changes: Changes) -> Position {
    let now = clock::now();
    let revision = changes.revision;
    node.update_directory("source", |directory| {
        let mut changed = false;
        for change in &changes.changes {
            changed |= directory.apply_change(change, now);
        }
        directory.advance(revision);
        changed
    });
    for change in changes.changes {
        if let Change::Configuration(configuration) = change {
            node.accept_configuration(configuration, "source");
        }
    }
    Position::After(revision)
}

fn count(node: &Node, result: &str) {
    node.metrics.source_calls.with_label_values(&[result]).inc();
}

fn note_success(node: &Node) {
    count(node, "ok");
    node.freshness.borrow_mut().on_read(clock::now());
    if node.source_failing.replace(false) {
        log::info!("event=source_regained");
    }
}

fn note_failure(node: &Node, error: &SourceError, failures: u32) {
    count(node, "failed");
    let silent = matches!(error, SourceError::TimedOut);
    if silent || failures >= FAILURES_TO_DISTURB {
        node.knowledge.borrow_mut().directory.note_disturbance(clock::now());
        if !node.source_failing.replace(true) {
            log::warn!("event=source_lost error={:?}", error.to_string());
        }
    }
}

/// Exponential pause with jitter.
fn pause(node: &Node, failures: u32) -> Duration {
    let doubled = FIRST_PAUSE * 2_u32.pow(failures.min(8) - 1);
    let jitter = node.random(|random| random.random_range(0.5..1.5));
    doubled.min(LONGEST_PAUSE).mul_f64(jitter)
}
