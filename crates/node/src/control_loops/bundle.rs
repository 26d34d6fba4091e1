//! Fetches, installs and propagates bundle versions.
//!
//! A few nodes of each zone poll the configuration service. A node that accepts a version
//! announces it at once to some random members: as a signed delta if that fits into a
//! datagram, else as a version number for them to fetch. Heartbeats carry the version in
//! force, so a node that missed the announcement fetches the bundle from the sender.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use olivegate_bundle::propagation::{self, FANOUT, PropagationAction};
use olivegate_bundle::{BundleDelta, BundleError, IndexedBundle, OfferOutcome, SignedBundle, Stamp};
use olivegate_control::Datagram;
use olivegate_control::datagram::MAX_DATAGRAM;
use olivegate_routing::rendezvous;
use olivegate_types::NodeName;
use rand::seq::IndexedRandom;

use crate::control_loops::membership::send;
use crate::fetch;
use crate::state::{Node, lock};

/// Number of nodes in each zone that poll the configuration service.
const POLLERS_PER_ZONE: usize = 2;
/// Timeout for a read from the configuration service or from a peer.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between two attempts to learn the version floor.
const FLOOR_INTERVAL: Duration = Duration::from_millis(100);
/// Path of the bundle at the configuration service.
const BUNDLE_PATH: &str = "/bundle";

/// Polls the configuration service while this node is one of its zone's pollers.
pub async fn poll(node: Node) {
    let poll = node.settings.platform.poll;
    let mut last_error = String::new();
    loop {
        if is_poller(&node) {
            match read(&node).await {
                Ok(signed) => last_error = log_changed_error(offer(&node, signed), last_error),
                Err(error) => last_error = log_changed_error(Err(error), last_error),
            }
        }
        tokio::time::sleep(poll).await;
    }
}

/// Logs an error unless it is the same as the last one, and returns it for the next comparison.
fn log_changed_error(result: Result<(), BundleError>, last_error: String) -> String {
    let error = result.err().map(|error| error.to_string()).unwrap_or_default();
    if !error.is_empty() && error != last_error {
        log::warn!("event=bundle_not_accepted source=configuration_service reason={error:?}");
    }
    error
}

fn is_poller(node: &Node) -> bool {
    let membership = lock(&node.membership);
    let zone = membership.usable_in(&node.settings.zone);
    let pollers =
        rendezvous::owners("configuration poller", zone.iter(), |record| record.name.as_str(), POLLERS_PER_ZONE);
    pollers.iter().any(|record| record.name == *node.name())
}

async fn read(node: &Node) -> Result<SignedBundle, BundleError> {
    let address = node.settings.platform.configuration;
    let limit = olivegate_bundle::sign::MAX_SIGNED_BUNDLE_BYTES;
    let fetched = fetch::get(address, BUNDLE_PATH, limit, FETCH_TIMEOUT).await;
    let fetched = fetched.map_err(|_| BundleError::Malformed)?;
    if fetched.status != fetch::OK {
        return Err(BundleError::Malformed);
    }
    SignedBundle::from_bytes(&fetched.body)
}

/// Offers a complete bundle to the store; an accepted one is put in force and announced.
fn offer(node: &Node, signed: SignedBundle) -> Result<(), BundleError> {
    let outcome = lock(&node.bundles).offer(signed)?;
    apply_offer(node, outcome);
    Ok(())
}

fn apply_offer(node: &Node, outcome: OfferOutcome) {
    match outcome {
        OfferOutcome::AlreadyInForce => return,
        OfferOutcome::Accepted(stamp) => log::info!("event=bundle_in_force version={stamp}"),
        OfferOutcome::AcceptedOverConflict { winner, loser } => {
            log::warn!("event=bundle_in_force version={winner} lost_rival={loser}");
        }
    }
    install(node);
    announce(node);
}

/// Puts the store's bundle in force.
fn install(node: &Node) {
    let current = lock(&node.bundles).current();
    if let Some(signed) = current {
        node.put_in_force(IndexedBundle::new(signed.bundle.clone()));
    }
}

/// Announces the version in force to some random members.
pub fn announce(node: &Node) {
    let (stamp, delta) = {
        let store = lock(&node.bundles);
        (store.stamp(), store.latest_delta())
    };
    if stamp.version == 0 {
        return;
    }
    let from = node.name().clone();
    let unbounded = delta.map(|delta| Datagram::Delta { from: from.clone(), delta: (*delta).clone() });
    let delta_datagram = unbounded.filter(|datagram| datagram.to_bytes(&node.settings.key).len() <= MAX_DATAGRAM);
    let datagram = delta_datagram.unwrap_or(Datagram::Version { from, stamp });
    for to in random_members(node) {
        send(node, to, &datagram);
    }
}

fn random_members(node: &Node) -> Vec<SocketAddr> {
    let membership = lock(&node.membership);
    let others: Vec<SocketAddr> =
        membership.others().filter(|record| record.is_answering()).map(|record| record.control).collect();
    others.sample(&mut rand::rng(), FANOUT).copied().collect()
}

/// Handles a delta from a member.
pub fn on_delta(node: &Node, from: &NodeName, delta: BundleDelta) {
    let action = propagation::on_delta(&mut lock(&node.bundles), &delta);
    apply_action(node, from, action);
}

/// Handles a member's version: a higher one is fetched from it.
pub fn on_version(node: &Node, from: &NodeName, stamp: Stamp) {
    let action = propagation::on_version(&lock(&node.bundles), stamp);
    apply_action(node, from, action);
}

fn apply_action(node: &Node, from: &NodeName, action: PropagationAction) {
    match action {
        PropagationAction::Nothing => {}
        PropagationAction::Propagate(offer) => apply_offer(node, offer),
        PropagationAction::Fetch => {
            let address = lock(&node.membership).get(from).map(|record| record.control);
            if let Some(address) = address {
                tokio::spawn(fetch_from(node.clone(), address));
            }
        }
        PropagationAction::Refuse(error) => {
            log::warn!("event=delta_refused from={from} reason={:?}", error.to_string());
        }
    }
}

async fn fetch_from(node: Node, announced: SocketAddr) {
    let address = node.dial_address(announced);
    let reply = node.control.call(address, FETCH_TIMEOUT, |client, rpc| async move { client.bundle(rpc).await });
    let Ok(Some(bytes)) = reply.await else {
        return;
    };
    let offered = match SignedBundle::from_bytes(&bytes) {
        Ok(signed) => offer(&node, signed),
        Err(error) => Err(error),
    };
    match offered {
        Ok(()) | Err(BundleError::OlderThanFloor { .. }) => {}
        Err(error) => log::warn!("event=bundle_not_accepted source={address} reason={:?}", error.to_string()),
    }
}

/// Learns the version floor, below which no bundle may be used, from peers before the node serves.
///
/// At least one peer must reply, unless the settings list no peers: without one, a node can't tell a
/// stale configuration service from a current one.
pub async fn learn_floor(node: Node) {
    let own = node.addresses.control;
    let seeds: Vec<SocketAddr> = node.settings.seeds.iter().copied().filter(|seed| *seed != own).collect();
    let mut learnt = seeds.is_empty();
    while !learnt {
        for seed in &seeds {
            let address = node.dial_address(*seed);
            let reply = node
                .control
                .call(address, FETCH_TIMEOUT, |client, rpc| async move { client.bundle_stamp(rpc).await });
            if let Ok(stamp) = reply.await {
                learnt = true;
                lock(&node.bundles).raise_floor(stamp);
                if stamp.version > 0 {
                    fetch_from(node.clone(), *seed).await;
                }
            }
        }
        tokio::time::sleep(FLOOR_INTERVAL).await;
    }
    node.floor_learnt.store(true, Ordering::Relaxed);
    log::info!("event=floor_learnt floor={}", lock(&node.bundles).floor());
}
