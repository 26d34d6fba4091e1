//! `olivegate-bench`: emulated back ends, load, failures and history checks.
//!
//! - `spec`: a deployment's services, call graph and traffic; `capacity`: what its slots can serve.
//! - `back_ends`: the emulator of back ends, a process of its own.
//! - `platform`: stand-ins of the configuration service and the member list.
//! - `links`: the network between zones, with delay and cuts.
//! - `fleet`: node processes: start, kill, freeze, stop, replace.
//! - `load`: clients. `scenario`: what happens when. `arms`: what is compared.
//! - `history`, `checker`: what was recorded, and whether a promise was broken.
//! - `summary`, `report`: `summary.json`, the table and the picture.
//! - `soak`: sidecar processes under random faults, and the promises judged.

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

/// Runs the command with these arguments, the program's name left out.
pub use command::run;
