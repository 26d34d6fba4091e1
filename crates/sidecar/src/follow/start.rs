//! First knowledge of a node that has just started.
//!
//! A list of the instances that may be some seconds old costs least, and names the peers; it is
//! used for nothing else. The peers tell configuration and instances. Where they have just
//! started themselves, the first of the zone reads everything, at last every node.

use std::time::Duration;

use rand::seq::IteratorRandom;

use super::{CALL_LIMIT, note_answered, note_failure, pause, read_everything};
use crate::peers;
use crate::source::{ReadConsistency, Source, SourceError};
use crate::state::Node;
use olivegate_clock as clock;

/// Pause between attempts to learn something.
const ASK_AGAIN: Duration = Duration::from_millis(100);
/// Time after which the node reads by itself what no peer has told.
const READ_AFTER: Duration = Duration::from_millis(600);
/// Time after which a node that sees no other machine reads by itself: where all start
/// together, their instances are listed a little later.
const ALONE_AFTER: Duration = Duration::from_millis(1_500);
/// Time that peers have to answer.
const ASK_LIMIT: Duration = Duration::from_millis(150);
/// Peers that are asked at a time.
const PEERS_ASKED: usize = 2;

/// Learns what the fleet knows.
pub async fn learn<S: Source>(node: &Node, source: &S) {
    let began = clock::now();
    let mut failures = 0;
    while node.routes().is_none() {
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
        let list = source.instances(ReadConsistency::MaybeStale, CALL_LIMIT).await?;
        note_answered(node);
        let now = clock::now();
        node.cluster.borrow_mut().directory.note_machines(&list.instances, now);
    }
    let is_due = if knows_peers(node) {
        ask_peers(node).await;
        peers::own_reader_rank(node) == 0 || waited >= READ_AFTER
    } else {
        waited >= ALONE_AFTER
    };
    let reads = is_due && node.routes().is_none();
    if reads {
        read_everything(node, source).await?;
    }
    Ok(())
}

/// True when this node knows of another machine.
pub(super) fn knows_peers(node: &Node) -> bool {
    let own = node.settings().ip();
    node.cluster.borrow().directory.machines().any(|machine| machine != own)
}

/// Fetches from some peers at once; one that has just started itself knows nothing yet.
pub(super) async fn ask_peers(node: &Node) {
    let own = node.settings().ip();
    let asked = {
        let cluster = node.cluster.borrow();
        let others = cluster.directory.machines().filter(|machine| *machine != own);
        node.random(|random| others.sample(random, PEERS_ASKED))
    };
    let fetches = futures::future::join_all(asked.into_iter().map(|peer| peers::fetch(node, peer)));
    // One that does not answer at once is as good as none; the next ones are drawn anew.
    let _ = tokio::time::timeout(ASK_LIMIT, fetches).await;
}
