//! Hollow nodes by the thousand: the real membership and bundle cores exchanging real
//! sealed datagrams in simulated time, many in one process.
//!
//! - [`world`]: simulated time, network and nodes. [`plan`]: what happens when.
//! - [`bundle_cost`]: what one change costs a node, by size of the bundle.
//! - [`table`]: the table, the plot and the fitted slopes.

mod bundle_cost;
mod plan;
mod table;
mod world;

use std::path::PathBuf;
use std::process::Command;

use pico_args::Arguments;
use serde::{Deserialize, Serialize};

use crate::error::BenchError;

/// What one size of fleet gave. Bytes and processor time are per node.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Row {
    pub nodes: usize,
    /// Resident memory, in bytes.
    pub resident_bytes: f64,
    /// Processor time per simulated second, in microseconds; quiet, then with changes.
    pub quiet_cpu_us: f64,
    pub changing_cpu_us: f64,
    /// Datagram bytes sent per second; quiet, then with changes.
    pub quiet_bytes: f64,
    pub changing_bytes: f64,
    /// Bytes per second of full exchanges, sent.
    pub sync_bytes: f64,
    /// Time for a change to reach the median and the last node, in milliseconds, worst change.
    pub change_median_ms: f64,
    pub change_last_ms: f64,
    /// Time from a death to the first suspicion, and until all hold the node for dead, in milliseconds.
    pub death_first_ms: f64,
    pub death_all_ms: f64,
    /// Live members held for dead while nothing was cut.
    pub false_deaths: u64,
    /// Time after the end of a cut until all nodes see all others again, in seconds;
    /// `None` when that is longer than 60 s, or not run.
    pub zone_heal_s: Option<f64>,
    pub region_heal_s: Option<f64>,
}

/// Runs the scale experiment; each size in a process of its own, so that memory is its own.
pub fn command(mut arguments: Arguments) -> Result<(), BenchError> {
    let usage = |error: pico_args::Error| BenchError::Usage(error.to_string());
    let sizes: Option<String> = arguments.opt_value_from_str("--sizes").map_err(usage)?;
    let seed: u64 = arguments.opt_value_from_str("--seed").map_err(usage)?.unwrap_or(1);
    let one: Option<usize> = arguments.opt_value_from_str("--one").map_err(usage)?;
    let cuts_up_to: usize = arguments.opt_value_from_str("--cuts-up-to").map_err(usage)?.unwrap_or(1_000);
    if let Some(nodes) = one {
        let row = plan::run(nodes, seed, nodes <= cuts_up_to);
        println!("{}", serde_json::to_string(&row).unwrap_or_default());
        return Ok(());
    }
    let out: PathBuf = arguments.value_from_str("--out").map_err(usage)?;
    std::fs::create_dir_all(&out).map_err(|error| BenchError::File(error.to_string()))?;
    let sizes = sizes.unwrap_or_else(|| "100,300,1000".into());
    let mut rows = Vec::new();
    for size in sizes.split(',') {
        rows.push(run_one(size, seed, cuts_up_to)?);
        println!("{}", table::of_rows(&rows[rows.len() - 1..]));
    }
    let costs = bundle_cost::measure();
    table::write(&rows, &costs, &out)
}

fn run_one(size: &str, seed: u64, cuts_up_to: usize) -> Result<Row, BenchError> {
    let fail = |reason: String| BenchError::Process(reason);
    let program = std::env::current_exe().map_err(|error| fail(error.to_string()))?;
    let (seed, cuts) = (seed.to_string(), cuts_up_to.to_string());
    let arguments = ["scale", "--one", size, "--seed", &seed, "--cuts-up-to", &cuts];
    let output = Command::new(program).args(arguments).output();
    let output = output.map_err(|error| fail(error.to_string()))?;
    serde_json::from_slice(&output.stdout).map_err(|error| fail(format!("size {size}: {error}")))
}
