//! Builds and runs a node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use olivegate_types::Release;
use tokio::net::{TcpListener, UdpSocket};

use crate::control_loops;
use crate::error::NodeError;
use crate::ports::{self, admin, caller, control, data};
use crate::settings::{ListenAddresses, NodeSettings};
use crate::state::{Node, NodeState, lock};

/// Delay between announcing a stop and closing the ports. Peers and callers learn of the stop in this time
/// while the node still serves everything.
const ANNOUNCEMENT_DELAY: Duration = Duration::from_millis(600);
/// Delay between closing the ports and closing idle connections.
const IDLE_CLOSE_DELAY: Duration = Duration::from_millis(1_500);
/// Maximum time to wait for other nodes to take over this node's seats.
const SEAT_HANDOVER_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Control ports tried when the kernel chooses the port number.
const MAX_CONTROL_PORT_TRIES: u32 = 32;
/// Interval between two checks of a condition.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// A node with bound ports that is ready to run.
pub struct NodeApp {
    node: Node,
    caller: TcpListener,
    data: TcpListener,
    control: TcpListener,
    admin: TcpListener,
}

fn local_address(listener: &TcpListener) -> Result<SocketAddr, Report<NodeError>> {
    listener.local_addr().change_context(NodeError::Runtime)
}

/// Binds the control port for TCP and UDP under the same number. A number that the kernel chose for TCP
/// may be in use for UDP; then another one is tried.
async fn bind_control(address: SocketAddr) -> Result<(TcpListener, UdpSocket), Report<NodeError>> {
    let mut tries_left = if address.port() == 0 { MAX_CONTROL_PORT_TRIES } else { 1 };
    loop {
        let listener = ports::bind("control", address).await?;
        let bound = local_address(&listener)?;
        tries_left -= 1;
        match UdpSocket::bind(bound).await {
            Ok(datagrams) => return Ok((listener, datagrams)),
            Err(_) if tries_left > 0 => {}
            Err(error) => {
                return Err(Report::new(error).change_context(NodeError::Bind { port: "control", address: bound }));
            }
        }
    }
}

impl NodeApp {
    /// Binds the ports of a node; for port 0 the kernel chooses a free one.
    pub async fn bind(settings: NodeSettings) -> Result<Self, Report<NodeError>> {
        let caller = ports::bind("caller", settings.listen.caller).await?;
        let data = ports::bind("data", settings.listen.data).await?;
        let (control, datagrams) = bind_control(settings.listen.control).await?;
        let admin = ports::bind("admin", settings.listen.admin).await?;
        let addresses = ListenAddresses {
            caller: local_address(&caller)?,
            data: local_address(&data)?,
            control: local_address(&control)?,
            admin: local_address(&admin)?,
        };
        let node = Arc::new(NodeState::new(settings, addresses, datagrams));
        Ok(NodeApp { node, caller, data, control, admin })
    }

    /// Shared state of the node.
    pub fn node(&self) -> &Node {
        &self.node
    }

    /// Runs until `stop` completes, then stops gracefully. Returns true when no call in flight was cut off.
    /// `release` names the code of the program.
    pub async fn run(self, release: Release, stop: impl Future<Output = ()>) -> bool {
        let NodeApp { node, caller, data, control, admin } = self;
        let addresses = node.addresses;
        log::info!(
            "event=node_started version={} commit={} node={} zone={} caller={} data={} control={} admin={}",
            release.version,
            release.commit,
            node.name(),
            node.settings.zone,
            addresses.caller,
            addresses.data,
            addresses.control,
            addresses.admin
        );
        control_loops::start(&node);
        tokio::spawn(control::serve(node.clone(), control));
        tokio::spawn(admin::serve(node.clone(), admin));
        let caller = tokio::spawn(caller::serve(node.clone(), caller));
        let data = tokio::spawn(data::serve(node.clone(), data));
        stop.await;
        let all_answered = stop_gracefully(&node).await;
        let _ = tokio::join!(caller, data);
        all_answered
    }
}

/// Announces the stop, hands over the seats, closes the ports and waits for calls in flight.
async fn stop_gracefully(node: &Node) -> bool {
    log::info!("event=node_stopping calls_in_flight={}", node.stop.in_flight());
    let outputs = lock(&node.membership).leave();
    node.member_changes.send_modify(|count| *count += 1);
    control_loops::membership::apply_outputs(node, outputs);
    tokio::time::sleep(ANNOUNCEMENT_DELAY).await;
    hand_over_seats(node).await;
    node.stop.stop();
    tokio::time::sleep(IDLE_CLOSE_DELAY).await;
    node.stop.close_idle();
    let all_answered = node.stop.drained(node.settings.stop_timeout).await;
    tokio::time::sleep(CHECK_INTERVAL).await;
    log::info!("event=node_stopped all_calls_answered={all_answered}");
    all_answered
}

/// Waits until other nodes have recovered this node's seats; it answers their recovery requests meanwhile.
async fn hand_over_seats(node: &Node) {
    let handed_over = async {
        while !lock(&node.seats).holds_no_voting_seat() {
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    };
    let handed_over = tokio::time::timeout(SEAT_HANDOVER_TIMEOUT, handed_over).await.is_ok();
    log::info!("event=seats_handed_over done={handed_over}");
}
