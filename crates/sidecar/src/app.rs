//! Puts a node together; start, reload and stop.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::MissedTickBehavior;

use crate::error::SidecarError;
use crate::settings::SidecarSettings;
use crate::source::Source;
use crate::state::Node;
use crate::suspension::SuspensionWatch;
use crate::wire_names::WireNames;
use crate::{edge, follow, gate, peers, status_port, transport};
use olivegate_clock as clock;

/// Interval of work that no event starts.
const HOUSEKEEPING: Duration = Duration::from_millis(250);
/// Rounds of it after which levels below 1 are logged: once a second.
const LEVELS_LOGGED_EVERY: u32 = 4;
/// Levels that are logged at a time.
const MOST_LEVELS_LOGGED: usize = 4;

/// Interval at which the settings are looked at without a signal.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(2);

/// Reads the settings again; the text says why they can't be used.
pub type ReadSettings = Box<dyn Fn() -> Result<SidecarSettings, String>>;

/// How a node ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopOutcome {
    /// Nothing was cut off.
    Drained,
    /// Requests were cut off at the end of the grace period.
    CutOff,
}

/// A node that is ready to run.
pub struct SidecarApp<S> {
    settings: SidecarSettings,
    wire_names: WireNames,
    source: S,
    read_settings: ReadSettings,
}

struct Listeners {
    outbound: TcpListener,
    inbound: TcpListener,
    readiness: TcpListener,
    metrics: Option<TcpListener>,
    peers: UdpSocket,
}

impl<S: Source + 'static> SidecarApp<S> {
    /// A node with these settings that reads `source`; `read_settings` is asked on SIGHUP.
    pub fn new(settings: SidecarSettings, wire_names: WireNames, source: S, read_settings: ReadSettings) -> Self {
        SidecarApp { settings, wire_names, source, read_settings }
    }

    /// Runs until SIGTERM or SIGINT has been followed to its end.
    pub fn run(self) -> Result<StopOutcome, SidecarError> {
        let runtime =
            tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(SidecarError::Runtime)?;
        // The outer future is polled whenever any local task is; it must be cheap.
        let serving = async { spawn_local(self.serve()).await.unwrap_or(Ok(StopOutcome::CutOff)) };
        LocalSet::new().block_on(&runtime, serving)
    }

    async fn serve(self) -> Result<StopOutcome, SidecarError> {
        let mut terminate = signal(SignalKind::terminate()).map_err(SidecarError::Runtime)?;
        let mut interrupt = signal(SignalKind::interrupt()).map_err(SidecarError::Runtime)?;
        let mut hang_up = signal(SignalKind::hangup()).map_err(SidecarError::Runtime)?;
        let node = start(self.settings, self.wire_names, self.source).await?;
        let mut look_again = tokio::time::interval(SETTINGS_INTERVAL);
        look_again.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = interrupt.recv() => break,
                _ = hang_up.recv() => reload(&node, &self.read_settings, Told::BySignal),
                _ = look_again.tick() => reload(&node, &self.read_settings, Told::ByNobody),
            }
        }
        log::info!("event=stop_begun in_flight={}", node.stop.in_flight());
        let drained = node.stop.run(node.settings().bounds.grace_period).await;
        log::info!("event=stopped drained={drained} in_flight={}", node.stop.in_flight());
        Ok(if drained { StopOutcome::Drained } else { StopOutcome::CutOff })
    }
}

/// Starts a node's work on the present thread's local tasks and returns what they share.
pub async fn start<S: Source + 'static>(
    settings: SidecarSettings,
    wire_names: WireNames,
    source: S,
) -> Result<Rc<Node>, SidecarError> {
    let listeners = Listeners::bind(&settings).await?;
    log_start(&settings);
    let node = Rc::new(Node::new(settings, wire_names));
    listeners.serve(&node);
    let source = Rc::new(source);
    spawn_local(follow::follow(node.clone(), source.clone()));
    spawn_local(peers::attestation::attest_own(node.clone(), source));
    spawn_local(housekeeping(node.clone()));
    Ok(node)
}

impl Listeners {
    async fn bind(settings: &SidecarSettings) -> Result<Self, SidecarError> {
        let listen = &settings.listen;
        let peers = UdpSocket::bind(listen.peers).await.map_err(|source| SidecarError::Bind {
            port: "peers",
            address: listen.peers,
            source,
        })?;
        Ok(Listeners {
            outbound: bind("outbound", listen.outbound)?,
            inbound: bind("inbound", listen.inbound)?,
            readiness: bind("readiness", listen.readiness)?,
            metrics: listen.metrics.map(|address| bind("metrics", address)).transpose()?,
            peers,
        })
    }

    fn serve(self, node: &Rc<Node>) {
        spawn_local(edge::serve(node.clone(), self.outbound));
        spawn_local(gate::serve::serve(node.clone(), self.inbound));
        spawn_local(status_port::serve(node.clone(), self.readiness));
        if let Some(metrics) = self.metrics {
            spawn_local(status_port::serve(node.clone(), metrics));
        }
        spawn_local(peers::run(node.clone(), self.peers));
    }
}

fn bind(port: &'static str, address: SocketAddr) -> Result<TcpListener, SidecarError> {
    transport::listen(address).map_err(|source| SidecarError::Bind { port, address, source })
}

fn log_start(settings: &SidecarSettings) {
    log::info!(
        "event=started version={} node={} zone={} service={} instance={} outbound={} inbound={} source={}",
        env!("CARGO_PKG_VERSION"),
        settings.node,
        settings.zone,
        settings.service,
        settings.instance,
        settings.listen.outbound,
        settings.listen.inbound,
        settings.source,
    );
}

/// What made the node read its settings again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Told {
    /// The operator.
    BySignal,
    /// The node looked by itself: the file may change without a signal.
    ByNobody,
}

/// Puts changed settings in force. Addresses that are bound already stay as they are.
fn reload(node: &Node, read_settings: &ReadSettings, told: Told) {
    match read_settings() {
        Ok(mut settings) => {
            let current = node.settings();
            if settings.listen != current.listen {
                if told == Told::BySignal {
                    log::warn!("event=reload_partial reason=\"listen addresses change only with a restart\"");
                }
                settings.listen = current.listen;
            }
            let changed = settings != *current;
            node.replace_settings(settings);
            if changed || told == Told::BySignal {
                log::info!("event=reloaded changed={changed}");
            }
        }
        Err(reason) if told == Told::BySignal => log::error!("event=reload_failed reason={reason:?}"),
        // A file that is just being written is read again soon.
        Err(reason) => log::debug!("event=reload_failed reason={reason:?}"),
    }
}

async fn housekeeping(node: Rc<Node>) {
    let mut interval = tokio::time::interval(HOUSEKEEPING);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut suspension = SuspensionWatch::default();
    for round in 1_u32.. {
        interval.tick().await;
        if let Some(suspended) = suspension.look(clock::now(), clock::monotonic_now()) {
            log::warn!("event=suspended for_ms={}", suspended.as_millis());
            node.metrics.suspensions.inc();
        }
        node.update_directory("expiry", |directory| directory.expire(clock::now()));
        node.gate.quarantine.expire(&node);
        if round.is_multiple_of(LEVELS_LOGGED_EVERY) {
            log_levels(&node);
        }
    }
}

/// Tells which levels hold requests back, and what moved them last.
fn log_levels(node: &Node) {
    for binding in node.levels.borrow().binding_levels(clock::now()).iter().take(MOST_LEVELS_LOGGED) {
        log::info!(
            "event=level_low class={} importance={} level={:.2} service={} hop={} held={:.2} age_ms={}",
            binding.class.root_kind,
            binding.class.importance.0,
            binding.level,
            binding.service,
            binding.hop,
            binding.held,
            binding.age.as_millis(),
        );
    }
}
