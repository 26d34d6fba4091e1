//! Commands `sidecar` and `sidecar check`.

use std::path::Path;

use log::LevelFilter;
use olivegate_platform::{PlatformStore, WIRE_NAMES};
use olivegate_sidecar::app::StopOutcome;
use olivegate_sidecar::{SidecarApp, SidecarSettings};
use simplelog::{ConfigBuilder, WriteLogger};

use crate::RELEASE;
use crate::error::CommandError;
use crate::log_output::QueuedOutput;

fn read_settings(file: &Path) -> Result<SidecarSettings, CommandError> {
    let text = std::fs::read_to_string(file).map_err(|error| CommandError::Read(file.to_path_buf(), error))?;
    SidecarSettings::from_toml(&text)
        .map_err(|errors| CommandError::InvalidFile(file.to_path_buf(), errors.to_string()))
}

/// Checks a sidecar's settings file.
pub fn check(file: &Path) -> Result<(), CommandError> {
    let settings = read_settings(file)?;
    println!("ok node={} zone={} service={}", settings.node, settings.zone, settings.service);
    Ok(())
}

fn start_logging(level: LevelFilter) {
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_target_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .add_filter_allow_str("olivegate")
        .build();
    if WriteLogger::init(level, config, QueuedOutput::new(std::io::stdout())).is_err() {
        eprintln!("olivegate: logging was started before");
    }
}

/// Runs a sidecar until SIGTERM or SIGINT.
pub fn run(file: &Path, level: LevelFilter) -> Result<(), CommandError> {
    let settings = read_settings(file)?;
    start_logging(level);
    let source = PlatformStore::new(settings.source);
    let path = file.to_path_buf();
    let reload_settings = Box::new(move || read_settings(&path).map_err(|error| error.to_string()));
    let outcome = SidecarApp::new(settings, WIRE_NAMES, source, reload_settings).run(RELEASE);
    log::logger().flush();
    match outcome {
        Ok(StopOutcome::Drained) => Ok(()),
        Ok(StopOutcome::CutOff) => Err(CommandError::CutOff),
        Err(error) => Err(CommandError::Node(error.to_string())),
    }
}
