//! The olivegate node.
//!
//! Every node is the same program. As an *edge* it takes calls from callers and back
//! ends, classifies and admits them, chooses an instance, and owns the one answer. As
//! the *gate* of an instance it is the only place that dispatches calls to it. Gates
//! are assigned by rendezvous hashing over the live members of the instance's zone.
//!
//! - [`settings`]: the checked settings file; [`app`]: builds and runs a node.
//! - [`state`]: what the parts of a node share.
//! - [`connections`]: kept-alive connections, never reused half-read.
//! - [`edge`], [`gate`]: the two roles on the path of a call.
//! - [`control_loops`]: membership, bundle, seats, platform and health.
//! - [`ports`]: the caller, data, control and admin ports.

pub mod app;
pub mod body;
pub mod connections;
pub mod control_loops;
pub mod directory;
pub mod edge;
pub mod error;
pub mod explain;
pub mod fetch;
pub mod gate;
pub mod metrics;
pub mod ports;
pub mod reply;
pub mod settings;
pub mod state;
pub mod stop;

pub use app::NodeApp;
pub use error::NodeError;
pub use settings::NodeSettings;
