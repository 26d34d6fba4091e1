//! Control datagrams and the failure detector.

use std::net::SocketAddr;
use std::time::Duration;

use olivegate_control::Datagram;
use olivegate_membership::{MemberState, Output};
use tokio::time::MissedTickBehavior;

use crate::control_loops::bundle;
use crate::state::{Node, lock};
use olivegate_clock as clock;

/// Interval between two ticks of the failure detector.
const TICK: Duration = Duration::from_millis(25);
/// Timeout for fetching all member records of a peer.
const SYNC_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of a received datagram, in bytes.
const RECEIVE_BUFFER: usize = 64 << 10;

/// Drives the failure detector.
pub async fn tick(node: Node) {
    let mut interval = tokio::time::interval(TICK);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let outputs = lock(&node.membership).tick(clock::now());
        apply_outputs(&node, outputs);
    }
}

/// Receives control datagrams and dispatches them.
pub async fn receive(node: Node) {
    let mut buffer = vec![0; RECEIVE_BUFFER];
    loop {
        let Ok((length, from)) = node.datagrams.recv_from(&mut buffer).await else {
            continue;
        };
        node.metrics.control_bytes.with_label_values(&["received"]).inc_by(length as u64);
        match Datagram::from_bytes(&buffer[..length], &node.settings.key) {
            Ok(datagram) => on_datagram(&node, datagram, from),
            Err(error) => log::debug!("event=datagram_refused from={from} error={error:?}"),
        }
    }
}

fn on_datagram(node: &Node, datagram: Datagram, from: SocketAddr) {
    match datagram {
        Datagram::Membership { message, bundle: stamp } => {
            let sender = message.from.clone();
            let outputs = lock(&node.membership).on_message(message, from, clock::now());
            apply_outputs(node, outputs);
            bundle::on_version(node, &sender, stamp);
        }
        Datagram::Delta { from, delta } => bundle::on_delta(node, &from, delta),
        Datagram::Version { from, stamp } => bundle::on_version(node, &from, stamp),
    }
}

/// Performs the I/O that the membership state machine requests.
pub fn apply_outputs(node: &Node, outputs: Vec<Output>) {
    for output in outputs {
        match output {
            Output::Send { to, message } => {
                let stamp = lock(&node.bundles).stamp();
                send(node, to, &Datagram::Membership { message, bundle: stamp });
            }
            Output::Sync { from } => {
                tokio::spawn(sync(node.clone(), from));
            }
            Output::Changed { name, state } => {
                log::info!("event=member_changed member={name} state={state:?}");
                node.member_changes.send_modify(|count| *count += 1);
                if state == MemberState::Alive {
                    bundle::announce(node);
                }
            }
        }
    }
}

/// Sends a datagram to a member's announced control address. It is dropped when the socket buffer is full.
pub fn send(node: &Node, to: SocketAddr, datagram: &Datagram) {
    let bytes = datagram.to_bytes(&node.settings.key);
    node.metrics.control_bytes.with_label_values(&["sent"]).inc_by(bytes.len() as u64);
    if let Err(error) = node.datagrams.try_send_to(&bytes, node.dial_address(to)) {
        log::debug!("event=datagram_not_sent to={to} error={error}");
    }
}

async fn sync(node: Node, from: SocketAddr) {
    let address = node.dial_address(from);
    let reply = node.control.call(address, SYNC_TIMEOUT, |client, rpc| async move { client.members(rpc).await });
    let Ok(records) = reply.await else {
        return;
    };
    let outputs = lock(&node.membership).merge(records, clock::now());
    apply_outputs(&node, outputs);
}
