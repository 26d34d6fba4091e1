//! Initial state of a node that has just started.
//!
//! A list of instances that may be some seconds old is the cheapest call. It is used only to find the peers,
//! which provide configuration and instances. If the peers have just started as well, the first machine of
//! the zone reads everything from the source, and after a while every node does.

use std::time::Duration;

use rand::seq::IteratorRandom;

use super::{CALL_TIMEOUT, backoff, note_answered, note_failure, read_everything};
use crate::peers;
use crate::source::{ReadConsistency, Source, SourceError};
use crate::state::Node;
use olivegate_clock as clock;

/// Delay between attempts to get the initial state.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time after which the node reads from the source what no peer has provided.
const READ_DELAY: Duration = Duration::from_millis(600);
/// Time after which a node that knows no other machine reads from the source. If all nodes start together,
/// their instances are listed slightly later.
const ALONE_READ_DELAY: Duration = Duration::from_millis(1_500);
/// Time limit for peers to answer.
const PEER_TIMEOUT: Duration = Duration::from_millis(150);
/// Number of peers that are asked at a time.
const PEERS_PER_ROUND: usize = 2;

/// Gets the configuration and the instances, from peers if possible.
pub async fn bootstrap<S: Source>(node: &Node, source: &S) {
    let began = clock::now();
    let mut failures = 0;
    while node.routes().is_none() {
        match bootstrap_step(node, source, clock::now().since(began)).await {
            Ok(()) => {
                failures = 0;
                tokio::time::sleep(RETRY_DELAY).await;
            }
            Err(error) => {
                failures += 1;
                note_failure(node, &error, failures);
                tokio::time::sleep(backoff(node, failures)).await;
            }
        }
    }
}

async fn bootstrap_step<S: Source>(node: &Node, source: &S, elapsed: Duration) -> Result<(), SourceError> {
    if !knows_peers(node) {
        let list = source.instances(ReadConsistency::MaybeStale, CALL_TIMEOUT).await?;
        note_answered(node);
        let now = clock::now();
        node.cluster.borrow_mut().directory.note_machines(&list.instances, now);
    }
    let is_due = if knows_peers(node) {
        fetch_from_peers(node).await;
        peers::own_reader_rank(node) == 0 || elapsed >= READ_DELAY
    } else {
        elapsed >= ALONE_READ_DELAY
    };
    let reads = is_due && node.routes().is_none();
    if reads {
        read_everything(node, source).await?;
    }
    Ok(())
}

/// Returns true if this node knows another machine.
pub(super) fn knows_peers(node: &Node) -> bool {
    let own = node.settings().ip();
    node.cluster.borrow().directory.machines().any(|machine| machine != own)
}

/// Fetches from several peers at once, because one that has just started itself knows nothing yet.
pub(super) async fn fetch_from_peers(node: &Node) {
    let own = node.settings().ip();
    let chosen = {
        let cluster = node.cluster.borrow();
        let others = cluster.directory.machines().filter(|machine| *machine != own);
        node.random(|random| others.sample(random, PEERS_PER_ROUND))
    };
    let fetches = futures::future::join_all(chosen.into_iter().map(|peer| peers::fetch::fetch(node, peer)));
    // Slow peers are ignored; the next attempt picks new ones.
    let _ = tokio::time::timeout(PEER_TIMEOUT, fetches).await;
}
