//! A gate attests that its instance lives although the source no longer lists it.
//!
//! When only one machine is cut off from the source, the entry of its instance lapses there,
//! and every other node takes the instance for gone. The gate on that machine knows better:
//! the source does not answer it either, and the instance takes connections and does not
//! close them as one that leaves does. It tells some nodes, which pass it on. Whoever sends
//! to the instance sends through this gate, so a gate that is wrong only has to refuse.
//!
//! Until it has found out, it serves on: others believe the entry as long. An answer of any
//! kind shows that the machine reaches the source: then the instance does,
//! too, and what the source says of it holds.

use std::rc::Rc;
use std::time::Duration;

use borsh::{BorshDeserialize, BorshSerialize};
use tokio::net::UdpSocket;

use super::{Audience, PeerMessage, send};
use crate::model::{Instance, Millis};
use crate::source::{Source, SourceError};
use crate::state::Node;
use crate::transport;
use olivegate_clock as clock;

/// Interval of attestations while the instance is not listed.
const INTERVAL: Duration = Duration::from_millis(1_500);
/// Time that an attestation is believed.
const VALID_FOR: Duration = Duration::from_secs(3);
/// A source that has not answered within this time is not reached.
const SILENT_AFTER: Duration = Duration::from_millis(400);
/// Time limit of a connection to the instance.
const CONNECT_LIMIT: Duration = Duration::from_millis(300);
/// Attestations that come within this time are passed on together.
const GATHER: Duration = Duration::from_millis(30);
/// Attestations in one datagram.
const MOST_IN_DATAGRAM: usize = 6;

/// The word of a gate that its instance lives.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Attestation {
    /// The instance.
    pub instance: Instance,
    /// How long that is to be believed.
    pub valid_for: Millis,
}

/// Attests the instance beside this node whenever that is called for.
pub async fn attest_own<S: Source>(node: Rc<Node>, source: Rc<S>) {
    // The instance of which the source's word was found to hold.
    let mut gone: Option<Instance> = None;
    loop {
        node.cluster_changed.notified().await;
        while let Some(instance) = unlisted_instance(&node).filter(|instance| gone.as_ref() != Some(instance)) {
            if !may_attest(&node, source.as_ref(), &instance).await {
                node.update_directory("gate", |directory| directory.confirm_gone(&instance.name, clock::now()));
                gone = Some(instance);
                break;
            }
            log::info!("event=instance_attested instance={} valid_ms={}", instance.name, VALID_FOR.as_millis());
            take(&node, vec![Attestation { instance, valid_for: Millis::from_duration(VALID_FOR) }]);
            tokio::time::sleep(INTERVAL).await;
        }
    }
}

fn unlisted_instance(node: &Node) -> Option<Instance> {
    let address = node.settings().instance;
    let cluster = node.cluster.borrow();
    cluster.directory.unlisted_at(address).map(|instance| Instance::clone(&instance))
}

/// True when the source is silent towards this machine and the instance lives and stays.
async fn may_attest<S: Source>(node: &Node, source: &S, instance: &Instance) -> bool {
    let is_silent = matches!(source.probe(SILENT_AFTER).await, Err(SourceError::TimedOut));
    is_silent
        && !node.gate.is_leaving(&instance.name)
        && transport::connect(instance.address, CONNECT_LIMIT).await.is_ok()
}

/// Believes attestations; those that are news are passed on.
pub fn take(node: &Node, attestations: Vec<Attestation>) {
    let now = clock::now();
    let mut news = Vec::new();
    node.update_directory("gate", |directory| {
        for attestation in attestations {
            let until = now + attestation.valid_for.duration().min(VALID_FOR);
            if directory.attest(attestation.instance.clone(), until, now) {
                news.push(attestation);
            }
        }
        !news.is_empty()
    });
    if !news.is_empty() {
        node.attestations.borrow_mut().extend(news);
        node.attestations_changed.notify_one();
    }
}

/// Passes news on until the process ends.
pub async fn pass_on(node: Rc<Node>, socket: Rc<UdpSocket>) {
    loop {
        node.attestations_changed.notified().await;
        tokio::time::sleep(GATHER).await;
        let news = node.attestations.take();
        for part in news.chunks(MOST_IN_DATAGRAM) {
            let message = PeerMessage::Attestations(part.to_vec());
            send(&node, &socket, Audience::ChildrenAndFew, &message).await;
        }
    }
}
