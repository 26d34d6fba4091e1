//! Requests whose content ends the instances that run it (a "query of death").
//!
//! Such a request comes again under new ids, so it is told by its content.
//!
//! - [`content`]: what makes two requests the same.

pub mod content;

pub use content::{ContentDigest, ContentHasher};
