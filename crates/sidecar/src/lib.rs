//! A node beside one instance of a service.
//!
//! Every request starts at the node on the caller's own machine, its *edge*; the node on
//! the machine of the instance that runs it is the instance's *gate*. Both are this
//! program. Nodes keep nothing on disk, and no node is set aside for control.
//!
//! Decisions, without I/O:
//! - [`model`]: configuration and instances as the product knows them.
//! - [`routes`]: which route a request takes, and which part of a weighted route.
//! - [`directory`]: the instances that are known, and when one is no longer believed.
//! - [`declared`]: the rates that instances declare in their answers.
//! - [`importance`]: how important a request is.
//! - [`lineage`]: which requests are calls of the instance beside the node.
//! - [`edge::attempts`]: what follows when an attempt did not give an answer.
//! - [`suspension`]: whether the machine was suspended.
//! - [`peers::freshness`]: which nodes read the source, and when another takes over.
//!
//! - [`access`]: who may make requests, and how many.
//!
//! I/O:
//! - [`source`]: the port through which configuration and instances are read.
//! - [`follow`]: reads the source, lists first and changes afterwards.
//! - [`connection_limit`]: bounds the connections that a port holds.
//! - [`edge`]: connections of callers and the attempts of their requests.
//! - [`gate`]: the queue in front of the instance and the exchanges with it.
//! - [`gate_protocol`]: messages between edge and gate.
//! - [`lateness`]: measures whether this process keeps up.
//! - [`peers`]: what nodes tell each other.
//! - [`status_port`]: readiness and metrics.
//! - [`app`]: puts all this together; start, reload and stop.

pub mod access;
pub mod app;
pub mod connection_limit;
pub mod declared;
pub mod directory;
pub mod edge;
pub mod error;
pub mod event;
pub mod follow;
pub mod gate;
pub mod gate_protocol;
pub mod importance;
pub mod lateness;
pub mod lineage;
pub mod metrics;
pub mod model;
pub mod peers;
pub mod reply;
pub mod routes;
pub mod settings;
pub mod source;
pub mod state;
pub mod status_port;
pub mod stop;
pub mod suspension;
pub mod transport;
pub mod wire_names;

pub use app::SidecarApp;
pub use settings::SidecarSettings;
pub use source::Source;
pub use wire_names::WireNames;
