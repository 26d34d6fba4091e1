//! `olivegate-bench`: emulated back ends, load, fault injection and history checks.
//!
//! - `command`: the command line.
//! - `spec`: services, call graph and traffic of a deployment; `capacity`: load that its slots can
//!   serve.
//! - `back_ends`: the back end emulator, which runs as a process of its own.
//! - `platform`: emulated configuration service and member list.
//! - `links`: emulated network between zones, with delay and partitions.
//! - `fleet`: node processes.
//! - `load`: the load generator; `scenario`: load and faults over time.
//! - `arms`: the systems that are compared; `forwarder`: plain forwarders, one of them.
//! - `experiment`: runs an arm and records its history.
//! - `history`: the recorded history; `checker`: finds broken promises in it.
//! - `summary`: `summary.json` and the printed table; `report`: the HTML report.
//! - `soak`: sidecar processes under random faults, checked against their promises.

mod arms;
mod back_ends;
mod capacity;
pub mod checker;
mod command;
mod error;
mod experiment;
mod fleet;
mod forwarder;
pub mod history;
mod links;
mod load;
mod platform;
mod report;
mod scenario;
pub mod soak;
mod spec;
mod summary;
mod wall_clock;

/// Runs the command with these arguments, which don't include the program's name.
pub use command::run;
