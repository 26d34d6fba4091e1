//! The sidecar node beside one instance of a service.
//!
//! Every request enters at the node on the caller's machine, its *edge*. The node on the machine of the
//! instance that runs the request is the instance's *gate*. Both roles are played by this program. Nodes
//! store nothing on disk, and there is no separate control node.
//!
//! Decisions, without I/O:
//! - [`model`]: configuration and instances.
//! - [`routes`]: selects the route of a request, and the service of a weighted route.
//! - [`directory`]: the known instances, and when they expire.
//! - [`declared`]: the rates that instances declare in their responses.
//! - [`importance`]: how important a request is.
//! - [`lineage`]: which requests are calls of the instance beside the node.
//! - [`local_response`]: responses that the node generates itself.
//! - [`edge::attempts`]: what happens when an attempt gave no response.
//! - [`suspension`]: detects that the machine was suspended.
//! - [`peers::freshness`]: which nodes read the source, and when another takes over.
//! - [`access`]: who may make requests, and how many.
//!
//! I/O:
//! - [`source`]: the trait through which configuration and instances are read.
//! - [`follow`]: reads the source, lists first and then changes.
//! - [`body_channel`]: passes on request bodies while they arrive.
//! - [`closing`]: closes connections without losing what was written to them.
//! - [`connection_limit`]: limits the connections of a port.
//! - [`edge`]: connections of callers and the attempts of their requests.
//! - [`gate`]: the queue in front of the instance and the exchanges with it.
//! - [`gate_protocol`]: messages between edge and gate.
//! - [`lateness`]: measures whether this process keeps up.
//! - [`peers`]: messages between nodes.
//! - [`reload`]: reads the settings again.
//! - [`status_port`]: readiness and metrics.
//! - [`app`]: assembles these parts; start, reload and shutdown.

pub mod access;
pub mod app;
pub mod body_channel;
pub mod closing;
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
pub mod local_response;
pub mod metrics;
pub mod model;
pub mod peers;
pub mod reload;
pub mod reply;
pub mod routes;
pub mod settings;
pub mod signature;
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
