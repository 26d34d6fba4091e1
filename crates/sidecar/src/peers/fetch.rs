//! Fetches configuration and instances from another node, and answers such fetches.

use std::net::IpAddr;
use std::time::Duration;

use futures::{SinkExt, StreamExt};

use super::{is_newer, latest_reading};
use crate::gate_protocol::{self, EdgeMessage, GateMessage, KnownState};
use crate::state::Node;
use olivegate_clock as clock;

/// Time limit of a fetch.
const FETCH_TIMEOUT: Duration = Duration::from_millis(600);

/// Fetches from `peer` what this node lacks. A failure is logged and counted; later announcements cause
/// further fetches.
pub async fn fetch(node: &Node, peer: IpAddr) {
    let began = clock::now();
    let mut connection_origin = "none";
    let fetching = fetch_from(node, peer, &mut connection_origin);
    let fetched = tokio::time::timeout(FETCH_TIMEOUT, fetching).await;
    let result = match fetched.unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into())) {
        Ok(()) => "ok",
        Err(error) => {
            let after = clock::now().since(began).as_millis();
            log::info!(
                "event=fetch_failed peer={peer} connection={connection_origin} after_ms={after} error={:?}",
                error.to_string()
            );
            "failed"
        }
    };
    node.metrics.fetches.with_label_values(&[connection_origin, result]).inc();
}

/// Fetches from `peer` and reports the origin of the connection once there is one.
async fn fetch_from(node: &Node, peer: IpAddr, connection_origin: &mut &'static str) -> std::io::Result<()> {
    let address = node.settings().inbound_of(peer);
    let connection = node.gate_connections.connection(address).await?;
    *connection_origin = connection.origin();
    let mut stream = connection.stream;
    stream.send(gate_protocol::encode(&EdgeMessage::Fetch(node.known_state()))).await?;
    let frame = stream.next().await.ok_or(std::io::ErrorKind::UnexpectedEof)??;
    let GateMessage::ClusterUpdate { configuration, directory, reading } = gate_protocol::decode(&frame)? else {
        return Err(std::io::ErrorKind::InvalidData.into());
    };
    node.gate_connections.keep(address, stream);
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
