//! Load generator: the clients of an experiment.
//!
//! - [`schedule`]: arrival times and kinds of the requests.
//! - [`client`]: HTTP client with pooled connections.
//! - [`driver`]: sends the requests and records each call.

pub mod client;
pub mod driver;
pub mod schedule;
