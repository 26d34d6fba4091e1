//! The sidecar as a process.

mod lifecycle;
mod odd_entry;
mod support;
