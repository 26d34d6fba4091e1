//! HTTP/1.1 message framing over [`httparse`], as `tokio-util` codecs.
//!
//! `hyper` serves one request of a connection at a time and fails an exchange whose response is not
//! the next message on the connection. A sidecar has to read pipelined requests ahead, and to skip
//! surplus responses until the one that belongs to its request, so it needs framing of its own.
//! Parsing is done by `httparse`, which `hyper` uses too.
//!
//! - [`fields`]: header fields, and which of them are hop-by-hop.
//! - [`head`]: request and response heads, and their serialization.
//! - [`body`]: length of a message body.
//! - [`decode`]: decoders of requests and responses.
//! - `head_end`: where the head of a message ends.
//! - `body_reader`: reads message bodies.
//! - [`error`]: errors of the decoders.

pub mod body;
mod body_reader;
pub mod decode;
pub mod error;
pub mod fields;
pub mod head;
mod head_end;

pub use body::BodyLength;
pub use decode::{Frame, RequestDecoder, RequestLimits, ResponseDecoder};
pub use error::DecodeError;
pub use fields::Fields;
pub use head::{RequestHead, ResponseHead};
