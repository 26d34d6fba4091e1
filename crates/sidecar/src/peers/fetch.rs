//! Fetches configuration and instances from another node, and answers such fetches.

use std::net::IpAddr;
use std::time::Duration;

use futures::{SinkExt, StreamExt};

use super::{is_newer, latest_reading};
use crate::edge::gate_connection_pool;
use crate::gate_protocol::{self, EdgeMessage, GateMessage, GateStream, KnownState};
use crate::state::Node;
use olivegate_clock as clock;

/// Time limit of a fetch.
const FETCH_TIMEOUT: Duration = Duration::from_millis(600);

/// Fetches from `peer` what this node lacks, over a new connection: an idle one may have failed silently, and a
/// change must not wait until that is found out. A failure is logged and counted; later announcements cause
/// further fetches.
pub async fn fetch(node: &Node, peer: IpAddr) {
    let began = clock::now();
    let fetched = tokio::time::timeout(FETCH_TIMEOUT, connect_and_fetch(node, peer)).await;
    let result = match fetched.unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into())) {
        Ok(()) => "ok",
        Err(error) => {
            let after = clock::now().since(began).as_millis();
            log::info!("event=fetch_failed peer={peer} after_ms={after} error={:?}", error.to_string());
            "failed"
        }
    };
    node.metrics.fetches.with_label_values(&[result]).inc();
}

async fn connect_and_fetch(node: &Node, peer: IpAddr) -> std::io::Result<()> {
    let mut stream = gate_connection_pool::connect(node.settings().inbound_of(peer)).await?;
    fetch_over(node, peer, &mut stream).await
}

/// Fetches from `peer` what this node lacks, over an open connection.
pub async fn fetch_over(node: &Node, peer: IpAddr, stream: &mut GateStream) -> std::io::Result<()> {
    stream.send(gate_protocol::encode(&EdgeMessage::Fetch(node.known_state()))).await?;
    let frame = stream.next().await.ok_or(std::io::ErrorKind::UnexpectedEof)??;
    let GateMessage::ClusterUpdate { configuration, directory, reading } = gate_protocol::decode(&frame)? else {
        return Err(std::io::ErrorKind::InvalidData.into());
    };
    let from = peer.to_string();
    let mut fetched = KnownState::default();
    if let Some(configuration) = configuration {
        fetched.configuration = configuration.version;
        node.accept_configuration(configuration, &from);
    }
    if let Some(copy) = directory {
        fetched.directory = copy.revision;
        let now = clock::now();
        node.update_directory(&from, |known| known.apply_update(&copy, now));
    }
    // What could not be applied is still lacking here, so the peer's reading is not one of this state.
    if let Some(reading) = reading.filter(|_| !is_newer(node, fetched)) {
        node.freshness.borrow_mut().on_other_zone_reading(reading.to_reading());
    }
    Ok(())
}

/// Returns the answer to another node's fetch.
pub fn cluster_update_for(node: &Node, other: KnownState) -> GateMessage {
    let cluster = node.cluster.borrow();
    let newer = cluster.configuration.as_ref().filter(|own| own.version > other.configuration);
    let is_behind = cluster.directory.revision() > other.directory;
    let directory = is_behind.then(|| cluster.directory.update_since(other.directory, clock::now()));
    GateMessage::ClusterUpdate {
        configuration: newer.map(|own| own.as_ref().clone()),
        directory,
        reading: latest_reading(node),
    }
}
