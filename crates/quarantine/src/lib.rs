//! Requests whose content ends the instances that run it (a "query of death").
//!
//! Such a request comes again under new ids, so it is told by its content. Each instance that ends
//! leaves a mark on every content that was at work in it: one of them is guilty, the others
//! were only beside it. A run that is answered clears its content. Until then a content with one
//! mark runs only while no other suspect runs at that instance, so that the next end tells the
//! guilty one from the others; with more marks it is held.
//!
//! All of this is pure: times are arguments, and are to be of a clock that also counts while the
//! machine is suspended.
//!
//! - [`content`]: what makes two requests the same.
//! - [`policy`]: how many marks lead to what, and for how long.
//! - [`suspects`]: the contents that are suspected, and what follows for a request.
//! - [`report`]: what nodes tell each other of them.

pub mod content;
pub mod policy;
pub mod report;
pub mod suspects;

mod suspect;

pub use content::{ContentDigest, ContentHasher, SuspectedContent};
pub use policy::QuarantinePolicy;
pub use report::{Age, FatalRun, ReportedEnd, SuspectReport};
pub use suspects::{Decision, Suspects};
