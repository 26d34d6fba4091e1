//! Attestations by a gate that its instance is alive although the source no longer lists it.
//!
//! When only one machine is cut off from the source, the entry of its instance expires, and all other nodes
//! conclude that the instance is gone. The gate on that machine can tell otherwise: the source does not
//! answer it either, and the instance accepts connections and does not close them as one that is leaving
//! does. It tells some nodes, which forward the attestation. All requests to the instance pass through this
//! gate, so if it is wrong, it can still refuse them.
//!
//! Until the gate has found out, it keeps serving, and other nodes retain the entry for the same time. Any
//! answer of the source, even an error, shows that this machine can reach it. Then the instance can reach it
//! too, and the source's list is correct.

use std::rc::Rc;
use std::time::Duration;

use borsh::{BorshDeserialize, BorshSerialize};
use tokio::net::UdpSocket;

use super::{PeerMessage, Recipients, send};
use crate::model::{Instance, Millis};
use crate::source::{Source, SourceError};
use crate::state::Node;
use crate::transport;
use olivegate_clock as clock;

/// Interval of attestations while the instance is not listed.
const INTERVAL: Duration = Duration::from_millis(1_500);
/// How long an attestation is valid.
const VALID_FOR: Duration = Duration::from_secs(3);
/// The source counts as unreachable if it does not answer within this time.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// Time limit for connecting to the instance.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Attestations that arrive within this time are forwarded together.
const BATCH_DELAY: Duration = Duration::from_millis(30);
/// Maximum number of attestations in one datagram.
const MAX_PER_DATAGRAM: usize = 6;

/// A gate's statement that its instance is alive.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Attestation {
    /// The instance.
    pub instance: Instance,
    /// How long it is valid.
    pub valid_for: Millis,
}

/// Attests the instance beside this node whenever its entry is missing and the conditions hold.
pub async fn attest_own<S: Source>(node: Rc<Node>, source: Rc<S>) {
    // The instance whose removal from the source's list was confirmed.
    let mut confirmed_gone: Option<Instance> = None;
    loop {
        node.cluster_changed.notified().await;
        while let Some(instance) =
            unlisted_instance(&node).filter(|instance| confirmed_gone.as_ref() != Some(instance))
        {
            if !may_attest(&node, source.as_ref(), &instance).await {
                node.update_directory("gate", |directory| directory.confirm_gone(&instance.name, clock::now()));
                confirmed_gone = Some(instance);
                break;
            }
            log::info!("event=instance_attested instance={} valid_ms={}", instance.name, VALID_FOR.as_millis());
            accept(&node, vec![Attestation { instance, valid_for: Millis::from_duration(VALID_FOR) }]);
            tokio::time::sleep(INTERVAL).await;
        }
    }
}

fn unlisted_instance(node: &Node) -> Option<Instance> {
    let address = node.settings().instance;
    let cluster = node.cluster.borrow();
    cluster.directory.unlisted_at(address).map(|instance| Instance::clone(&instance))
}

/// Returns true if the source is unreachable from this machine and the instance is alive and not leaving.
async fn may_attest<S: Source>(node: &Node, source: &S, instance: &Instance) -> bool {
    let is_unreachable = matches!(source.probe(PROBE_TIMEOUT).await, Err(SourceError::TimedOut));
    is_unreachable
        && !node.gate.is_leaving(&instance.name)
        && transport::connect(instance.address, CONNECT_TIMEOUT).await.is_ok()
}

/// Applies attestations and queues those that are new for forwarding.
pub fn accept(node: &Node, attestations: Vec<Attestation>) {
    let now = clock::now();
    let mut forwarded = Vec::new();
    node.update_directory("gate", |directory| {
        for attestation in attestations {
            let until = now + attestation.valid_for.duration().min(VALID_FOR);
            if directory.attest(attestation.instance.clone(), until, now) {
                forwarded.push(attestation);
            }
        }
        !forwarded.is_empty()
    });
    if !forwarded.is_empty() {
        node.attestations.borrow_mut().extend(forwarded);
        node.attestations_changed.notify_one();
    }
}

/// Forwards attestations until the process ends.
pub async fn forward(node: Rc<Node>, socket: Rc<UdpSocket>) {
    loop {
        node.attestations_changed.notified().await;
        tokio::time::sleep(BATCH_DELAY).await;
        let forwarded = node.attestations.take();
        for part in forwarded.chunks(MAX_PER_DATAGRAM) {
            let message = PeerMessage::Attestations(part.to_vec());
            send(&node, &socket, Recipients::ChildrenAndRandom, &message).await;
        }
    }
}
