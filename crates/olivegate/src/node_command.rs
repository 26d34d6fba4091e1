//! Commands `node` and `settings check`.

use std::path::Path;

use log::LevelFilter;
use olivegate_node::settings::Overrides;
use olivegate_node::{NodeApp, NodeSettings};
use simplelog::{ConfigBuilder, WriteLogger};
use tokio::signal::unix::{SignalKind, signal};

use crate::RELEASE;
use crate::error::CommandError;

fn read_settings(file: &Path, overrides: &Overrides) -> Result<NodeSettings, CommandError> {
    let text = std::fs::read_to_string(file).map_err(|error| CommandError::Read(file.to_path_buf(), error))?;
    NodeSettings::from_toml(&text, overrides)
        .map_err(|errors| CommandError::InvalidFile(file.to_path_buf(), errors.to_string()))
}

/// Checks a node's settings file.
pub fn check(file: &Path) -> Result<(), CommandError> {
    let settings = read_settings(file, &Overrides::default())?;
    println!("ok node={} zone={} deployment={}", settings.node, settings.zone, settings.deployment);
    Ok(())
}

fn start_logging(level: LevelFilter) {
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_target_level(LevelFilter::Off)
        .add_filter_allow_str("olivegate")
        .build();
    if WriteLogger::init(level, config, std::io::stderr()).is_err() {
        eprintln!("olivegate: logging was started before");
    }
}

/// Runs a node until SIGTERM or SIGINT.
pub fn run(file: &Path, overrides: &Overrides, log_level: LevelFilter) -> Result<(), CommandError> {
    let settings = read_settings(file, overrides)?;
    start_logging(log_level);
    let runtime = build_runtime(settings.worker_threads).map_err(|error| CommandError::Node(error.to_string()))?;
    runtime.block_on(serve(settings))
}

fn build_runtime(threads: usize) -> std::io::Result<tokio::runtime::Runtime> {
    if threads == 1 {
        return tokio::runtime::Builder::new_current_thread().enable_all().build();
    }
    tokio::runtime::Builder::new_multi_thread().worker_threads(threads).enable_all().build()
}

async fn serve(settings: NodeSettings) -> Result<(), CommandError> {
    let failed = |error: std::io::Error| CommandError::Node(error.to_string());
    let mut terminate = signal(SignalKind::terminate()).map_err(failed)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(failed)?;
    let app = NodeApp::bind(settings).await.map_err(|report| CommandError::Node(report.to_string()))?;
    let stop = async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    };
    if app.run(RELEASE, stop).await { Ok(()) } else { Err(CommandError::CutOff) }
}
