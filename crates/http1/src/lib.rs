//! HTTP/1.1 message framing over [`httparse`], as `tokio-util` codecs.
//!
//! `hyper` serves one request of a connection at a time and gives up an exchange whose
//! answer does not come first. A sidecar has to read pipelined requests ahead and to read
//! past a surplus answer to the one that belongs to its request, so it frames messages
//! itself. Parsing is `httparse`'s, which `hyper` uses too.
//!
//! - [`fields`]: header fields, and which of them concern one connection only.
//! - [`head`]: request and response heads, and how they are written.
//! - [`body`]: where a body ends.
//! - [`decode`]: decoders of requests and responses.
//! - [`error`]: why bytes are no message.

pub mod body;
pub mod decode;
pub mod error;
pub mod fields;
pub mod head;

pub use body::BodyLength;
pub use decode::{Frame, RequestDecoder, ResponseDecoder};
pub use error::DecodeError;
pub use fields::Fields;
pub use head::{RequestHead, ResponseHead};
