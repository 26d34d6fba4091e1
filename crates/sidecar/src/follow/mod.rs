//! Reads the source: first knowledge at the start, then changes as they come.
//!
//! Every call of a source costs, and most nodes need none: they learn from peers. A node
//! that has just started reads once, as cheaply as the source allows (`start`). Of those
//! that run, the readers of each zone wait for changes (`watch`).
//!
//! One failed call says nothing: a waiting call may be cut at any time. Two in a row, or
//! one without an answer, mean that the source is away.
//!
//! Where changes are not to be had one by one, everything is read: the source has forgotten its
//! history, or lost what it had acknowledged and begun a new epoch, or a waiting call was not told of a
//! change. Readings that bring nothing new are followed by pauses that grow.

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

/// Age of the proof from which on the configuration is read, as a part of the age up to which
/// keys count: a reading may be missed, and other nodes hear of it later.
const PROVED_PART: f64 = 0.16;
/// Time limit of a call, beyond the wait for changes.
const CALL_LIMIT: Duration = Duration::from_millis(900);
/// First pause after a failed call; it doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(60);
/// Longest pause after failed calls.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);
/// Interval at which a node that does not read looks whether it should.
const IDLE_POLL: Duration = Duration::from_millis(100);
/// Pause after changes, so that those that come together are read by one call.
const GATHER: Duration = Duration::from_millis(120);
/// Failures in a row that show that the source is away.
const FAILURES_TO_BE_AWAY: u32 = 2;

/// Follows the source until the process ends.
pub async fn follow<S: Source>(node: Rc<Node>, source: Rc<S>) {
    start::learn(&node, source.as_ref()).await;
    let mut failures = 0;
    let mut fruitless = 0;
    let mut is_alone = true;
    loop {
        if is_alone && start::knows_peers(&node) {
            // Others may have been reading unheard.
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
            Ok(Progress::Followed) => (failures, fruitless) = (0, 0),
            Ok(Progress::Fruitless) => {
                // Without a pause, a source that could not be followed was read 45 times a second.
                (failures, fruitless) = (0, fruitless + 1);
                tokio::time::sleep(pause(&node, fruitless)).await;
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
    node.freshness.borrow().should_read(rank, clock::now())
}

/// True when this node goes on reading or begins to. Before it begins it asks peers: they may
/// know of a reader that it does not hear.
async fn becomes_reader(node: &Node) -> bool {
    if !should_read(node) || node.freshness.borrow().is_reader() {
        return should_read(node);
    }
    start::ask_peers(node).await;
    should_read(node)
}

/// What a reading brought.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    /// The source is being followed.
    Followed,
    /// Everything was read, and nothing in it was new.
    Fruitless,
}

/// Reads what has changed since what this node knows; everything when that is not to be had.
/// After a failure the cheapest call finds out whether the source answers again.
async fn read<S: Source>(node: &Node, source: &S, has_failed: bool) -> Result<Progress, SourceError> {
    if has_failed {
        source.probe(CALL_LIMIT).await?;
        count(node, "probed");
    }
    let known = node.known_state().directory;
    if known == Revision::default() {
        return read_everything(node, source).await;
    }
    match follow_changes(node, source, known).await {
        Ok(Waited::Ended) => Ok(Progress::Followed),
        Ok(Waited::Missed) => {
            log::info!("event=source_change_missed known={known}");
            count(node, "missed");
            read_everything(node, source).await
        }
        Err(SourceError::HistoryCompacted) => {
            log::info!("event=source_history_gone known={known}");
            count(node, "history-gone");
            read_everything(node, source).await
        }
        Err(SourceError::EpochChanged) => {
            log::warn!("event=source_epoch_changed known={known}");
            count(node, "epoch-changed");
            read_everything(node, source).await
        }
        Err(error) => Err(error),
    }
}

/// How waiting for changes ended.
enum Waited {
    /// Changes came, or none, or another node reads.
    Ended,
    /// There are changes that the waiting call did not tell.
    Missed,
}

async fn follow_changes<S: Source>(node: &Node, source: &S, known: Revision) -> Result<Waited, SourceError> {
    if wants_proof(node) {
        prove_configuration(node, source).await?;
    }
    match watch::changes(node, source, known).await? {
        watch::Waited::Changes(changes) => {
            let is_busy = !changes.changes.is_empty();
            take_changes(node, changes);
            if is_busy {
                tokio::time::sleep(GATHER).await;
            }
            Ok(Waited::Ended)
        }
        watch::Waited::NotNeeded => Ok(Waited::Ended),
        watch::Waited::Missed => Ok(Waited::Missed),
    }
}

async fn read_everything<S: Source>(node: &Node, source: &S) -> Result<Progress, SourceError> {
    let began = clock::now();
    let snapshot = source.snapshot(CALL_LIMIT).await?;
    note_answered(node);
    let seen = snapshot.configuration.as_ref().map(|configuration| configuration.version);
    let before = node.known_state();
    take_snapshot(node, snapshot);
    note_proof(node, seen, began);
    note_reading(node);
    Ok(if node.known_state() == before { Progress::Fruitless } else { Progress::Followed })
}

/// True where keys count only while the configuration is proven to be young, and the proof ages.
fn wants_proof(node: &Node) -> bool {
    let Some(within) = node.settings().bounds.keys_proven_within else { return false };
    let is_old = |age: Duration| age >= within.mul_f64(PROVED_PART);
    node.access.has_tenants() && node.access.proof_age(clock::now()).is_none_or(is_old)
}

/// Reads the configuration alone, which proves how old what is known of keys may be at most, and tells
/// the source's last change. The end of a wait for changes proves nothing: it may not have heard of a
/// change.
async fn prove_configuration<S: Source>(node: &Node, source: &S) -> Result<Revision, SourceError> {
    let began = clock::now();
    let ConfigurationReading { configuration, revision } = source.configuration(CALL_LIMIT).await?;
    count(node, "proved");
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

/// A reading that began at `began` showed the version `seen`. One that was not taken over proves
/// nothing: it may have withdrawn keys. Nor does one of a source that lost what it had acknowledged,
/// before the operator has had time to write it again.
fn note_proof(node: &Node, seen: Option<ConfigurationVersion>, began: Moment) {
    let may_lack_writes = node.cluster.borrow().directory.may_lack_writes(began);
    if !may_lack_writes && seen.is_some_and(|seen| seen <= node.known_state().configuration) {
        node.access.on_source_read(began);
    }
}

/// Takes over a snapshot; an own state that is newer stays.
fn take_snapshot(node: &Node, snapshot: Snapshot) {
    if let Some(configuration) = snapshot.configuration {
        node.accept_configuration(configuration, "source");
    }
    let (list, now) = (snapshot.list, clock::now());
    let known = node.known_state().directory;
    if list.revision < known {
        count(node, "older");
        log::warn!("event=reading_older revision={} known={known}", list.revision);
    }
    node.update_directory("source", |directory| directory.apply_snapshot(&list.instances, list.revision, now));
}

/// Takes over changes. Those that a peer has told of meanwhile are passed over.
fn take_changes(node: &Node, changes: Changes) {
    let now = clock::now();
    let revision = changes.revision;
    node.update_directory("source", |directory| {
        let known = directory.revision();
        let mut changed = false;
        for change in changes.changes.iter().filter(|change| change.revision().is_none_or(|news| news > known)) {
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

fn count(node: &Node, result: &str) {
    node.metrics.source_calls.with_label_values(&[result]).inc();
}

/// The source has answered; to be noted before what it said is taken over.
fn note_answered(node: &Node) {
    count(node, "ok");
    node.cluster.borrow_mut().directory.note_source_answered(clock::now());
    if node.source_unreachable_since.take().is_some() {
        log::info!("event=source_regained");
    }
}

/// What this node knows is as recent as the source.
fn note_reading(node: &Node) {
    node.freshness.borrow_mut().on_read(clock::now());
}

fn note_failure(node: &Node, error: &SourceError, failures: u32) {
    count(node, "failed");
    let silent = matches!(error, SourceError::TimedOut);
    if silent || failures >= FAILURES_TO_BE_AWAY {
        node.cluster.borrow_mut().directory.note_source_unreachable();
        if node.source_unreachable_since.get().is_none() {
            node.source_unreachable_since.set(Some(clock::now()));
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
