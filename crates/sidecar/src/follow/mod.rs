//! Reads the source: the initial state at the start, then changes as they occur.
//!
//! Every call puts load on the source, and most nodes need none because they learn from peers. A node that
//! has just started reads once, by the cheapest call that the source offers (`start`). After that, the
//! readers of each zone wait for changes (`watch`).
//!
//! A single failed call says nothing, because a waiting call may be cut off at any time. Two failures in a
//! row, or one timeout, mean that the source is unreachable.
//!
//! Everything is read again where single changes are not available: if the source has compacted its history,
//! if it lost acknowledged writes and began a new epoch, or if a waiting call missed a change. Reads that
//! bring nothing new are followed by an exponential backoff.

mod start;
pub mod watch;

use std::rc::Rc;
use std::time::Duration;

use olivegate_types::Moment;
use rand::RngExt;

use crate::model::{ConfigurationVersion, Revision};
use crate::source::{Change, Changes, ConfigurationReading, Snapshot, Source, SourceError};
use crate::state::Node;
use olivegate_clock as clock;

/// Age of the proof at which the configuration is read again, as a fraction of the age up to which keys are
/// accepted. It leaves time for a failed read, and for other nodes to hear of the result.
const PROOF_RENEWAL_FRACTION: f64 = 0.16;
/// Time limit of a call, in addition to the wait for changes.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// Backoff after the first failed call; doubled after each further one.
const MIN_BACKOFF: Duration = Duration::from_millis(60);
/// Maximum backoff after failed calls.
const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// Interval at which a node that does not read checks whether it should.
const IDLE_POLL: Duration = Duration::from_millis(100);
/// Delay after changes, so that changes that occur together are read by one call.
const BATCH_DELAY: Duration = Duration::from_millis(120);
/// A call that ends sooner than this has not waited for changes.
const MIN_CALL_TIME: Duration = Duration::from_millis(50);
/// Consecutive failures after which the source counts as unreachable.
const OUTAGE_FAILURES: u32 = 2;

/// Follows the source until the process ends.
pub async fn follow<S: Source>(node: Rc<Node>, source: Rc<S>) {
    start::bootstrap(&node, source.as_ref()).await;
    let mut failures = 0;
    let mut empty_reads = 0;
    let mut is_alone = true;
    loop {
        if is_alone && start::knows_peers(&node) {
            // Other nodes may have been reading without this node hearing of it.
            is_alone = false;
            node.freshness.borrow_mut().set_reader(false);
        }
        let reads = becomes_reader(&node).await;
        node.freshness.borrow_mut().set_reader(reads);
        if !reads {
            tokio::time::sleep(IDLE_POLL).await;
            continue;
        }
        match read(&node, source.as_ref(), failures > 0).await {
            Ok(Progress::Followed) => (failures, empty_reads) = (0, 0),
            Ok(Progress::NothingNew) => {
                // Without a backoff, a source that could not be followed was read 45 times per second.
                (failures, empty_reads) = (0, empty_reads + 1);
                tokio::time::sleep(backoff(&node, empty_reads)).await;
            }
            Err(error) => {
                failures += 1;
                note_failure(&node, &error, failures);
                tokio::time::sleep(backoff(&node, failures)).await;
            }
        }
        tokio::task::yield_now().await;
    }
}

fn should_read(node: &Node) -> bool {
    let rank = crate::peers::own_reader_rank(node);
    node.freshness.borrow().should_read(rank, clock::now())
}

/// Returns true if this node continues to read or starts to. Before it starts, it asks peers, which may know
/// of a reader that this node does not hear.
async fn becomes_reader(node: &Node) -> bool {
    if !should_read(node) || node.freshness.borrow().is_reader() {
        return should_read(node);
    }
    start::fetch_from_peers(node).await;
    should_read(node)
}

/// The result of a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    /// The source is being followed.
    Followed,
    /// Everything was read, and nothing in it was new.
    NothingNew,
}

/// Reads the changes since the known revision, or everything if they are not available. After a failure, the
/// cheapest call first checks whether the source answers again.
async fn read<S: Source>(node: &Node, source: &S, has_failed: bool) -> Result<Progress, SourceError> {
    if has_failed {
        source.probe(CALL_TIMEOUT).await?;
        count_call(node, "probed");
    }
    let known = node.known_state().directory;
    if known == Revision::default() {
        return read_everything(node, source).await;
    }
    match follow_changes(node, source, known).await {
        Ok(FollowOutcome::Done) => Ok(Progress::Followed),
        Ok(FollowOutcome::Missed) => {
            log::info!("event=source_change_missed known={known}");
            count_call(node, "missed");
            read_everything(node, source).await
        }
        Err(SourceError::HistoryCompacted) => {
            log::info!("event=source_history_gone known={known}");
            count_call(node, "history-gone");
            read_everything(node, source).await
        }
        Err(SourceError::Malformed(reason)) => {
            // The same changes may be as malformed each time.
            log::warn!("event=source_changes_malformed known={known} reason={reason:?}");
            count_call(node, "malformed");
            read_everything(node, source).await
        }
        Err(SourceError::EpochChanged) => {
            log::warn!("event=source_epoch_changed known={known}");
            count_call(node, "epoch-changed");
            read_everything(node, source).await
        }
        Err(error) => Err(error),
    }
}

/// How following the changes ended.
enum FollowOutcome {
    /// Changes were applied, or there were none, or another node reads.
    Done,
    /// The waiting call missed changes.
    Missed,
}

async fn follow_changes<S: Source>(
    node: &Node,
    source: &S,
    known: Revision,
) -> Result<FollowOutcome, SourceError> {
    if needs_proof(node) {
        prove_configuration(node, source).await?;
    }
    let began = clock::now();
    match watch::changes(node, source, known).await? {
        watch::WaitOutcome::Changes(changes) => {
            // Also changes that concern no node end the call.
            let has_changed = changes.revision > known;
            let has_waited = clock::now().since(began) >= MIN_CALL_TIME;
            apply_changes(node, changes);
            if has_changed || !has_waited {
                tokio::time::sleep(BATCH_DELAY).await;
            }
            Ok(FollowOutcome::Done)
        }
        watch::WaitOutcome::NotNeeded => Ok(FollowOutcome::Done),
        watch::WaitOutcome::Missed => Ok(FollowOutcome::Missed),
    }
}

/// Reads everything. A list whose end can't be read is used as far as it goes, so that a node that has just
/// started serves with the instances that it can know, and read again until it is complete.
async fn read_everything<S: Source>(node: &Node, source: &S) -> Result<Progress, SourceError> {
    let began = clock::now();
    let mut snapshot = source.snapshot(CALL_TIMEOUT).await?;
    let truncated = snapshot.list.truncated.take();
    if truncated.is_none() {
        note_answered(node);
    }
    let seen = snapshot.configuration.as_ref().map(|configuration| configuration.version);
    let before = node.known_state();
    if let Some(reason) = truncated {
        apply_truncated(node, snapshot);
        note_proof(node, seen, began);
        return Err(SourceError::Truncated(reason));
    }
    apply_snapshot(node, snapshot);
    note_proof(node, seen, began);
    note_reading(node);
    Ok(if node.known_state() == before { Progress::NothingNew } else { Progress::Followed })
}

/// Returns true if keys are accepted only while the configuration is proven to be recent, and the proof grows
/// old.
fn needs_proof(node: &Node) -> bool {
    let Some(within) = node.settings().bounds.keys_proven_within else { return false };
    let is_old = |age: Duration| age >= within.mul_f64(PROOF_RENEWAL_FRACTION);
    node.access.requires_keys() && node.access.proof_age(clock::now()).is_none_or(is_old)
}

/// Reads the configuration alone, which renews the proof of its age, and returns the source's latest
/// revision. The end of a wait for changes proves nothing, because the call may have missed a change.
async fn prove_configuration<S: Source>(node: &Node, source: &S) -> Result<Revision, SourceError> {
    let began = clock::now();
    let ConfigurationReading { configuration, revision } = source.configuration(CALL_TIMEOUT).await?;
    count_call(node, "proved");
    let seen = configuration.as_ref().map(|configuration| configuration.version);
    if let Some(configuration) = configuration {
        node.accept_configuration(configuration, "source");
    }
    if revision.epoch > node.known_state().directory.epoch {
        return Err(SourceError::EpochChanged);
    }
    note_proof(node, seen, began);
    Ok(revision)
}

/// Records the proof from a read that began at `began` and returned the version `seen`. A configuration that
/// was not applied proves nothing, because it may have withdrawn keys. Nor does a source that lost
/// acknowledged writes, until the operator has had time to write them again.
fn note_proof(node: &Node, seen: Option<ConfigurationVersion>, began: Moment) {
    let may_lack_writes = node.cluster.borrow().directory.may_lack_writes(began);
    if !may_lack_writes && seen.is_some_and(|seen| seen <= node.known_state().configuration) {
        node.access.on_source_read(began);
    }
}

/// Applies a snapshot, except for state that is older than this node's.
fn apply_snapshot(node: &Node, snapshot: Snapshot) {
    if let Some(configuration) = snapshot.configuration {
        node.accept_configuration(configuration, "source");
    }
    let (list, now) = (snapshot.list, clock::now());
    let known = node.known_state().directory;
    if list.revision < known {
        count_call(node, "older");
        log::warn!("event=reading_older revision={} known={known}", list.revision);
    }
    node.update_directory("source", |directory| directory.apply_snapshot(&list.instances, list.revision, now));
}

/// Applies a snapshot with a truncated list.
fn apply_truncated(node: &Node, snapshot: Snapshot) {
    if let Some(configuration) = snapshot.configuration {
        node.accept_configuration(configuration, "source");
    }
    let (list, now) = (snapshot.list, clock::now());
    log::warn!("event=list_truncated read={} revision={}", list.instances.len(), list.revision);
    node.update_directory("source", |directory| directory.apply_truncated(&list.instances, list.revision, now));
}

/// Applies changes, except for those that a peer has already reported.
fn apply_changes(node: &Node, changes: Changes) {
    let now = clock::now();
    let revision = changes.revision;
    node.update_directory("source", |directory| {
        let known = directory.revision();
        let mut changed = false;
        for change in
            changes.changes.iter().filter(|change| change.revision().is_none_or(|changed| changed > known))
        {
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
    note_reading(node);
}

fn count_call(node: &Node, result: &str) {
    node.metrics.source_calls.with_label_values(&[result]).inc();
}

/// Records that the source answered. To be called before its answer is applied.
fn note_answered(node: &Node) {
    count_call(node, "ok");
    node.cluster.borrow_mut().directory.note_source_answered(clock::now());
    if node.source_unreachable_since.take().is_some() {
        log::info!("event=source_regained");
    }
}

/// Records that this node's state is as recent as the source.
fn note_reading(node: &Node) {
    node.freshness.borrow_mut().on_read(clock::now());
}

fn note_failure(node: &Node, error: &SourceError, failures: u32) {
    count_call(node, "failed");
    let timed_out = matches!(error, SourceError::TimedOut);
    if timed_out || failures >= OUTAGE_FAILURES {
        node.cluster.borrow_mut().directory.note_source_unreachable();
        if node.source_unreachable_since.get().is_none() {
            node.source_unreachable_since.set(Some(clock::now()));
            log::warn!("event=source_lost error={:?}", error.to_string());
        }
    }
}

/// Exponential backoff with jitter.
fn backoff(node: &Node, failures: u32) -> Duration {
    let doubled = MIN_BACKOFF * 2_u32.pow(failures.min(8) - 1);
    let jitter = node.random(|random| random.random_range(0.5..1.5));
    doubled.min(MAX_BACKOFF).mul_f64(jitter)
}
