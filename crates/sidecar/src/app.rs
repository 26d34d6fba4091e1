//! Assembles a node, and handles start, reload and shutdown.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use olivegate_types::Release;
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::MissedTickBehavior;

use crate::error::SidecarError;
use crate::reload::{ReadSettings, ReloadTrigger, reload};
use crate::settings::SidecarSettings;
use crate::source::Source;
use crate::state::Node;
use crate::suspension::SuspensionDetector;
use crate::wire_names::WireNames;
use crate::{edge, follow, gate, peers, status_port, transport};
use olivegate_clock as clock;

/// Interval of periodic work that no event triggers.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(250);
/// Levels below 1 are logged once per this many rounds, that is, once per second.
const LEVELS_LOGGED_EVERY: u32 = 4;
/// Maximum number of levels logged per round.
const MAX_LEVELS_LOGGED: usize = 4;

/// Interval at which the settings are read again without a signal.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(2);

/// How a node stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopOutcome {
    /// All requests were completed.
    Drained,
    /// Requests were cut off at the end of the grace period.
    CutOff,
}

/// A configured node that can be run.
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
    /// Creates a node with these settings that reads `source`. `read_settings` is called on SIGHUP,
    /// periodically, and when another instance is found beside the node.
    pub fn new(settings: SidecarSettings, wire_names: WireNames, source: S, read_settings: ReadSettings) -> Self {
        SidecarApp { settings, wire_names, source, read_settings }
    }

    /// Runs until the shutdown after SIGTERM or SIGINT has completed. `release` names the code of the program.
    pub fn run(self, release: Release) -> Result<StopOutcome, SidecarError> {
        let runtime =
            tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(SidecarError::Runtime)?;
        // The outer future is polled whenever any local task is, so it must be cheap.
        let serving = async { spawn_local(self.serve(release)).await.unwrap_or(Ok(StopOutcome::CutOff)) };
        LocalSet::new().block_on(&runtime, serving)
    }

    async fn serve(self, release: Release) -> Result<StopOutcome, SidecarError> {
        let mut terminate = signal(SignalKind::terminate()).map_err(SidecarError::Runtime)?;
        let mut interrupt = signal(SignalKind::interrupt()).map_err(SidecarError::Runtime)?;
        let mut hang_up = signal(SignalKind::hangup()).map_err(SidecarError::Runtime)?;
        let node = start(self.settings, self.wire_names, self.source).await?;
        log_start(&node.settings(), release);
        node.set_settings_reader(self.read_settings);
        let mut settings_poll = tokio::time::interval(SETTINGS_INTERVAL);
        settings_poll.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = interrupt.recv() => break,
                _ = hang_up.recv() => reload(&node, ReloadTrigger::Signal),
                _ = settings_poll.tick() => reload(&node, ReloadTrigger::Poll),
            }
        }
        log::info!("event=stop_begun in_flight={}", node.stop.in_flight());
        let drained = node.stop.run(node.settings().bounds.grace_period).await;
        log::info!("event=stopped drained={drained} in_flight={}", node.stop.in_flight());
        Ok(if drained { StopOutcome::Drained } else { StopOutcome::CutOff })
    }
}

/// Spawns the tasks of a node on the current thread and returns its shared state.
pub async fn start<S: Source + 'static>(
    settings: SidecarSettings,
    wire_names: WireNames,
    source: S,
) -> Result<Rc<Node>, SidecarError> {
    let listeners = Listeners::bind(&settings).await?;
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

fn log_start(settings: &SidecarSettings, release: Release) {
    log::info!(
        "event=started version={} commit={} node={} zone={} service={} instance={} outbound={} inbound={} source={}",
        release.version,
        release.commit,
        settings.node,
        settings.zone,
        settings.service,
        settings.instance,
        settings.listen.outbound,
        settings.listen.inbound,
        settings.source,
    );
}

async fn housekeeping(node: Rc<Node>) {
    let mut interval = tokio::time::interval(HOUSEKEEPING_INTERVAL);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut suspension = SuspensionDetector::default();
    for round in 1_u32.. {
        interval.tick().await;
        if let Some(suspended) = suspension.check(clock::now(), clock::monotonic_now()) {
            log::warn!("event=suspended for_ms={}", suspended.as_millis());
            node.metrics.suspensions.inc();
        }
        node.update_directory("expiry", |directory| directory.expire(clock::now()));
        node.gate.quarantine.expire(&node);
        node.gate_connections.expire();
        node.metrics.set_state("idle_gate_connections", node.gate_connections.idle_count() as u64);
        if round.is_multiple_of(LEVELS_LOGGED_EVERY) {
            log_levels(&node);
        }
    }
}

/// Logs the levels that currently hold back requests, and what changed them last.
fn log_levels(node: &Node) {
    for binding in node.levels.borrow().binding_levels(clock::now()).iter().take(MAX_LEVELS_LOGGED) {
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
