//! First knowledge of a node that has just started.
//!
//! A list that may be some seconds old costs least and names the peers. They tell what has
//! changed since. Where they have just started themselves, the first of the zone asks the
//! source, at last every node. Until then the node is not ready: it must not act on an old configuration.

use std::time::Duration;

use rand::seq::IteratorRandom;

use super::{CALL_LIMIT, count, note_answered, note_failure, pause, take_changes, take_snapshot};
use crate::model::Revision;
use crate::peers;
use crate::source::{Recency, Source, SourceError};
use crate::state::Node;
use olivegate_clock as clock;

/// Pause between attempts to learn something.
const ASK_AGAIN: Duration = Duration::from_millis(120);
/// Time after which the node reads by itself what no peer has told.
const READ_AFTER: Duration = Duration::from_millis(600);
/// Time after which a node that sees no other machine believes that there is none.
const ALONE_AFTER: Duration = Duration::from_secs(3);
/// Time that peers have to answer.
const ASK_LIMIT: Duration = Duration::from_millis(150);
/// Peers that are asked at a time.
const PEERS_ASKED: usize = 2;

/// Learns what the fleet knows, and which other machines there are.
pub async fn learn<S: Source>(node: &Node, source: &S) {
    let began = clock::now();
    let mut failures = 0;
    while !node.is_caught_up() || (!knows_peers(node) && clock::now().since(began) < ALONE_AFTER) {
        match learn_more(node, source, clock::now().since(began)).await {
            Ok(()) => {
                failures = 0;
                tokio::time::sleep(ASK_AGAIN).await;
            }
            Err(error) => {
                failures += 1;
                note_failure(node, &error, failures);
                tokio::time::sleep(pause(node, failures)).await;
            }
        }
    }
}

async fn learn_more<S: Source>(node: &Node, source: &S, waited: Duration) -> Result<(), SourceError> {
    if !knows_peers(node) {
        let snapshot = source.snapshot(Recency::MaybeOld, CALL_LIMIT).await?;
        note_answered(node);
        take_snapshot(node, snapshot);
    }
    if node.is_caught_up() {
        return Ok(());
    }
    ask_peers(node).await;
    let is_first = peers::own_reader_rank(node) == 0;
    let reads = !node.is_caught_up() && (is_first || waited >= READ_AFTER);
    if reads { read_news(node, source).await } else { Ok(()) }
}

fn knows_peers(node: &Node) -> bool {
    let own = node.settings().ip();
    node.knowledge.borrow().directory.machines().any(|machine| machine != own)
}

/// Fetches from some peers at once; one that has just started itself knows nothing yet.
pub(super) async fn ask_peers(node: &Node) {
    let own = node.settings().ip();
    let asked = {
        let knowledge = node.knowledge.borrow();
        let others = knowledge.directory.machines().filter(|machine| *machine != own);
        node.random(|random| others.sample(random, PEERS_ASKED))
    };
    let fetches = futures::future::join_all(asked.into_iter().map(|peer| peers::fetch(node, peer)));
    // One that does not answer at once is as good as none; the next ones are drawn anew.
    let _ = tokio::time::timeout(ASK_LIMIT, fetches).await;
}

/// Reads what has changed since the list, without waiting for anything to change.
async fn read_news<S: Source>(node: &Node, source: &S) -> Result<(), SourceError> {
    let known = node.known_state().directory;
    if known == Revision::default() {
        return super::read_everything(node, source).await;
    }
    match source.changes(known, Duration::ZERO, CALL_LIMIT).await {
        Ok(changes) => {
            note_answered(node);
            take_changes(node, changes);
            Ok(())
        }
        Err(SourceError::HistoryGone) => {
            count(node, "history-gone");
            super::read_everything(node, source).await
        }
        Err(error) => Err(error),
    }
}
