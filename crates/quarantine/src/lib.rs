//! Quarantine of requests whose content terminates the instances that execute it (a "query of death").
//!
//! Such a request is retried under new ids, so it is recognized by its content. When an instance ends,
//! the end is recorded for every content that the instance was executing: one of them is the cause, the
//! others merely ran at the same time. An answered run clears its content. Until then, a content with one
//! end runs only while no other suspect runs at the same instance, so that the next end separates the
//! cause from the others. A content with more ends is held.
//!
//! The crate performs no I/O and reads no clock: times are arguments, and must come from a clock that
//! also advances while the machine is suspended.
//!
//! - [`content`]: content of a request, by which repeated requests are recognized.
//! - [`policy`]: number of ends after which a content is restricted, and for how long.
//! - [`suspects`]: the suspected contents, and the decision on a request.
//! - [`report`]: reports on suspects, exchanged between nodes.

pub mod content;
pub mod policy;
pub mod report;
pub mod suspects;

mod suspect;

pub use content::{ContentDigest, ContentHasher, SuspectedContent};
pub use policy::QuarantinePolicy;
pub use report::{Age, FatalRun, ReportedEnd, SuspectReport};
pub use suspects::{Decision, Suspects};
