//! Reads, accepts and spreads bundle versions.
//!
//! A few nodes of each zone poll the configuration service. A node that accepts a
//! version passes it on at once to some random members: as a signed delta when that
//! fits into a datagram, else as a version to be fetched. Heartbeats carry the version
//! in force, so whoever missed the news fetches it from the sender.

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

/// Nodes of a zone that poll the configuration service.
const POLLERS_PER_ZONE: usize = 2;
/// Time limit for reads and fetches.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two attempts to learn the floor.
const FLOOR_INTERVAL: Duration = Duration::from_millis(100);
/// Path at the configuration service.
const BUNDLE_PATH: &str = "/bundle";

/// Polls the configuration service while this node is one of its zone's pollers.
pub async fn poll(node: Node) {
    let poll = node.settings.platform.poll;
    let mut last_error = String::new();
    loop {
        if is_poller(&node) {
            match read(&node).await {
                Ok(signed) => last_error = report(offer(&node, signed), last_error),
                Err(error) => last_error = report(Err(error), last_error),
            }
        }
        tokio::time::sleep(poll).await;
    }
}

/// Logs a failure once, until it changes.
fn report(result: Result<(), BundleError>, last_error: String) -> String {
    let error = result.err().map(|error| error.to_string()).unwrap_or_default();
    if !error.is_empty() && error != last_error {
        log::warn!("event=bundle_not_accepted source=configuration_service reason={error:?}");
    }
    error
}

fn is_poller(node: &Node) -> bool {
    let membership = lock(&node.membership);
    let zone = membership.usable_in(&node.settings.zone);
    let pollers = rendezvous::owners("configuration poller", zone.iter(), |r| r.name.as_str(), POLLERS_PER_ZONE);
    pollers.iter().any(|record| record.name == *node.name())
}

async fn read(node: &Node) -> Result<SignedBundle, BundleError> {
    let address = node.settings.platform.configuration;
    let limit = olivegate_bundle::sign::MAX_SIGNED_BUNDLE_BYTES;
    let fetched = fetch::get(address, BUNDLE_PATH, limit, FETCH_TIMEOUT).await;
    let fetched = fetched.map_err(|_| BundleError::Malformed)?;
    if fetched.status != 200 {
        return Err(BundleError::Malformed);
    }
    SignedBundle::from_bytes(&fetched.body)
}

/// Offers a whole bundle to the store and spreads it when it is accepted.
fn offer(node: &Node, signed: SignedBundle) -> Result<(), BundleError> {
    let outcome = lock(&node.bundles).offer(signed)?;
    take_effect(node, outcome);
    Ok(())
}

fn take_effect(node: &Node, outcome: OfferOutcome) {
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

/// Tells some random members of the version in force.
pub fn announce(node: &Node) {
    let (stamp, delta) = {
        let store = lock(&node.bundles);
        (store.stamp(), store.latest_delta())
    };
    if stamp.version == 0 {
        return;
    }
    let from = node.name().clone();
    let full = delta.map(|delta| Datagram::Delta { from: from.clone(), delta: (*delta).clone() });
    let small = full.filter(|datagram| datagram.to_bytes(&node.settings.key).len() <= MAX_DATAGRAM);
    let datagram = small.unwrap_or(Datagram::Version { from, stamp });
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

/// A delta arrives from a member.
pub fn on_delta(node: &Node, from: &NodeName, delta: BundleDelta) {
    let action = propagation::on_delta(&mut lock(&node.bundles), &delta);
    carry_out(node, from, action);
}

/// A member says which version it has: a higher one is fetched from it.
pub fn on_version(node: &Node, from: &NodeName, stamp: Stamp) {
    let action = propagation::on_version(&lock(&node.bundles), stamp);
    carry_out(node, from, action);
}

fn carry_out(node: &Node, from: &NodeName, action: PropagationAction) {
    match action {
        PropagationAction::Nothing => {}
        PropagationAction::Propagate(offer) => take_effect(node, offer),
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
    let address = node.dial(announced);
    let fetched = node.control.call(address, FETCH_TIMEOUT, |client, rpc| async move { client.bundle(rpc).await });
    let Ok(Some(bytes)) = fetched.await else {
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

/// Learns from peers which version must not be left, before the node serves.
///
/// At least one peer must answer, unless the settings name none: a node that is alone
/// can't tell a stale configuration service from a current one.
pub async fn learn_floor(node: Node) {
    let own = node.addresses.control;
    let seeds: Vec<SocketAddr> = node.settings.seeds.iter().copied().filter(|seed| *seed != own).collect();
    let mut learnt = seeds.is_empty();
    while !learnt {
        for seed in &seeds {
            let address = node.dial(*seed);
            let asked = node
                .control
                .call(address, FETCH_TIMEOUT, |client, rpc| async move { client.bundle_stamp(rpc).await });
            if let Ok(stamp) = asked.await {
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
