//! The olivegate node.
//!
//! All nodes run the same program, in two roles. As an *edge*, a node receives calls from
//! callers and back ends, classifies and admits them, chooses an instance, and sends the
//! final response. As the *gate* of an instance, it is the only node that dispatches calls
//! to that instance. Rendezvous hashing over the live members of the instance's zone
//! assigns the gates.
//!
//! - [`settings`]: the checked settings file; [`app`]: builds and runs a node.
//! - [`state`]: state shared by all parts of a node.
//! - [`connections`]: pools of keep-alive connections, reused only after a complete response.
//! - [`edge`], [`gate`]: the two roles in serving a call.
//! - [`control_loops`]: background tasks for membership, bundle, seats, platform and health.
//! - [`fetch`]: GET requests to services of the platform; [`status`]: statuses of responses.
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
pub mod status;
pub mod stop;

pub use app::NodeApp;
pub use error::NodeError;
pub use settings::NodeSettings;
