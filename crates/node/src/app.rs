//! Builds and runs a node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use tokio::net::{TcpListener, UdpSocket};

use crate::control_loops;
use crate::error::NodeError;
use crate::ports::{self, admin, caller, control, data};
use crate::settings::{ListenAddresses, NodeSettings};
use crate::state::{Node, NodeState, lock};

/// Time between the announcement of a stop and the closing of the ports, in which
/// peers and callers learn of it while everything is still served.
const ANNOUNCEMENT_TIME: Duration = Duration::from_millis(600);
/// Time between the closing of the ports and that of idle connections.
const IDLE_TIME: Duration = Duration::from_millis(1_500);
/// Longest time to wait until other nodes have taken over this node's seats.
const SEAT_HANDOVER_TIME: Duration = Duration::from_millis(2_000);
/// Control ports tried when the kernel chooses the number.
const CONTROL_PORT_TRIES: u32 = 32;
/// Time between two looks at a condition.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);

/// A node whose ports are bound.
pub struct NodeApp {
    node: Node,
    caller: TcpListener,
    data: TcpListener,
    control: TcpListener,
    admin: TcpListener,
}

fn local(listener: &TcpListener) -> Result<SocketAddr, Report<NodeError>> {
    listener.local_addr().change_context(NodeError::Runtime)
}

/// Binds the control port, TCP and UDP with one number. A number chosen by the kernel for
/// TCP may be in use for UDP: then another is asked for.
async fn bind_control(address: SocketAddr) -> Result<(TcpListener, UdpSocket), Report<NodeError>> {
    let mut tries = if address.port() == 0 { CONTROL_PORT_TRIES } else { 1 };
    loop {
        let listener = ports::bind("control", address).await?;
        let bound = local(&listener)?;
        tries -= 1;
        match UdpSocket::bind(bound).await {
            Ok(datagrams) => return Ok((listener, datagrams)),
            Err(_) if tries > 0 => {}
            Err(error) => {
                return Err(Report::new(error).change_context(NodeError::Bind { port: "control", address: bound }));
            }
        }
    }
}

impl NodeApp {
    /// Binds the ports of a node with these settings; port 0 asks the kernel for one.
    pub async fn bind(settings: NodeSettings) -> Result<Self, Report<NodeError>> {
        let caller = ports::bind("caller", settings.listen.caller).await?;
        let data = ports::bind("data", settings.listen.data).await?;
        let (control, datagrams) = bind_control(settings.listen.control).await?;
        let admin = ports::bind("admin", settings.listen.admin).await?;
        let addresses = ListenAddresses {
            caller: local(&caller)?,
            data: local(&data)?,
            control: local(&control)?,
            admin: local(&admin)?,
        };
        let node = Arc::new(NodeState::new(settings, addresses, datagrams));
        Ok(NodeApp { node, caller, data, control, admin })
    }

    /// The node's state.
    pub fn node(&self) -> &Node {
        &self.node
    }

    /// Runs until `stop` ends, then stops without cutting off calls in flight.
    /// Returns true when no call was cut off.
    pub async fn run(self, stop: impl Future<Output = ()>) -> bool {
        let NodeApp { node, caller, data, control, admin } = self;
        let addresses = node.addresses;
        log::info!(
            "event=node_started node={} zone={} caller={} data={} control={} admin={}",
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
        let whole = stop_politely(&node).await;
        let _ = tokio::join!(caller, data);
        whole
    }
}

/// Announces the stop, hands over, closes the ports and waits for calls in flight.
async fn stop_politely(node: &Node) -> bool {
    log::info!("event=node_stopping calls_in_flight={}", node.stop.in_flight());
    let outputs = lock(&node.membership).leave();
    node.member_changes.send_modify(|count| *count += 1);
    control_loops::membership::apply_outputs(node, outputs);
    tokio::time::sleep(ANNOUNCEMENT_TIME).await;
    hand_over_seats(node).await;
    node.stop.stop();
    tokio::time::sleep(IDLE_TIME).await;
    node.stop.close_idle();
    let whole = node.stop.drained(node.settings.stop_timeout).await;
    tokio::time::sleep(LOOK_INTERVAL).await;
    log::info!("event=node_stopped all_calls_answered={whole}");
    whole
}

/// Waits until other nodes recovered this node's seats: it keeps answering them.
async fn hand_over_seats(node: &Node) {
    let handed_over = async {
        while !lock(&node.seats).holds_no_voting_seat() {
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
    };
    let done = tokio::time::timeout(SEAT_HANDOVER_TIME, handed_over).await.is_ok();
    log::info!("event=seats_handed_over done={done}");
}
