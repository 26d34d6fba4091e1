//! The gate role: the one place that dispatches calls to an instance.
//!
//! - [`table`]: gates by instance.
//! - [`slots`]: the queue of an instance and the tasks that wait in it; a [`slots::Slot`] is held
//!   while the instance works on a call.
//! - [`mod@dispatch`]: one call, from its arrival at the gate to the response head.

pub mod dispatch;
pub mod slots;
pub mod table;

pub use dispatch::{GateCall, GateReply, dispatch};
pub use table::GateTable;
