//! The gate role: the one place that dispatches calls to an instance.
//!
//! - [`table`]: gates by instance.
//! - [`slots`]: the queue with its waiting futures; a [`slots::Slot`] is held while
//!   a call is in the instance.
//! - [`mod@dispatch`]: one call, from its arrival at the gate to the head of the answer.

pub mod dispatch;
pub mod slots;
pub mod table;

pub use dispatch::{GateCall, GateReply, dispatch};
pub use table::GateTable;
