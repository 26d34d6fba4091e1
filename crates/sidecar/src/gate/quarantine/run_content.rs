//! The content of a request, kept while the instance runs it.

use std::borrow::Cow;
use std::cell::{Cell, RefCell};
use std::hash::{BuildHasher, RandomState};
use std::rc::Rc;

use bytes::Bytes;
use futures::StreamExt;
use olivegate_quarantine::{ContentDigest, ContentHasher, SuspectedContent};

use crate::event::display_id;
use crate::gate_protocol::Offer;
use crate::reply::{Body, BodyStream};
use crate::state::Node;

/// Largest body, in bytes, that [`RunContent::quick_hash`] hashes: up to this size hashing is cheap.
const MAX_QUICK_HASH_BODY: usize = 1_024;
/// Length of the prefix, in bytes, that distinguishes most streamed bodies before they are complete. As much
/// of any longer body is read before it is forwarded.
const PREFIX_BYTES: usize = 64 * 1024;

/// What identifies a request: method, target, calling service and body. A complete body is kept by reference
/// and hashed only when a digest is needed.
#[derive(Debug, Clone)]
pub struct RunContent {
    method: Bytes,
    target: Bytes,
    caller: Bytes,
    body: RunBody,
}

#[derive(Debug, Clone)]
enum RunBody {
    Whole(Bytes),
    Streamed(Rc<StreamedBody>),
}

/// A body that is hashed while it is streamed.
#[derive(Debug)]
struct StreamedBody {
    hasher: RefCell<ContentHasher>,
    hashed_bytes: Cell<usize>,
    prefix: Cell<Option<ContentDigest>>,
    is_complete: Cell<bool>,
}

impl StreamedBody {
    fn new(hasher: ContentHasher) -> Self {
        StreamedBody {
            hasher: RefCell::new(hasher),
            hashed_bytes: Cell::new(0),
            prefix: Cell::new(None),
            is_complete: Cell::new(false),
        }
    }

    fn update(&self, piece: &[u8]) {
        let mut hasher = self.hasher.borrow_mut();
        let hashed_bytes = self.hashed_bytes.replace(self.hashed_bytes.get() + piece.len());
        let remaining = PREFIX_BYTES.saturating_sub(hashed_bytes);
        if remaining == 0 || piece.len() < remaining {
            hasher.update(piece);
            return;
        }
        let (head, rest) = piece.split_at(remaining);
        hasher.update(head);
        self.prefix.set(Some(hasher.finish()));
        hasher.update(rest);
    }

    fn digest(&self) -> Option<ContentDigest> {
        self.is_complete.get().then(|| self.hasher.borrow().finish())
    }
}

/// Wraps `stream` so that `body` hashes each piece when it is read.
fn hash_pieces(stream: BodyStream, body: Rc<StreamedBody>) -> BodyStream {
    let pieces = futures::stream::unfold((stream, body), |(mut stream, body)| async move {
        let piece = stream.next().await;
        match &piece {
            Some(Ok(data)) => body.update(data),
            Some(Err(_)) => {}
            None => body.is_complete.set(true),
        }
        piece.map(|piece| (piece, (stream, body)))
    });
    pieces.boxed_local()
}

impl RunContent {
    /// The content of a request with a complete body.
    pub fn whole(method: Bytes, target: Bytes, caller: Bytes, body: Bytes) -> Self {
        RunContent { method, target, caller, body: RunBody::Whole(body) }
    }

    /// The content of `offer` with this body, and the body to forward in its place.
    pub fn of(node: &Node, offer: &Offer, body: Body) -> (Self, Body) {
        let head = &offer.head;
        let caller = head.fields.get(node.wire_names.caller_service).cloned().unwrap_or_default();
        let (run_body, body) = match body {
            Body::Whole(bytes) => (RunBody::Whole(bytes.clone()), Body::Whole(bytes)),
            Body::Stream(stream, length) => {
                let streamed = Rc::new(StreamedBody::new(ContentHasher::new(&head.method, &head.target, &caller)));
                (RunBody::Streamed(streamed.clone()), Body::Stream(hash_pieces(stream, streamed), length))
            }
        };
        (RunContent { method: head.method.clone(), target: head.target.clone(), caller, body: run_body }, body)
    }

    /// Digest of the content; `None` until a streamed body is complete.
    pub fn digest(&self) -> Option<ContentDigest> {
        match &self.body {
            RunBody::Whole(body) => Some(ContentDigest::of(&self.method, &self.target, &self.caller, body)),
            RunBody::Streamed(body) => body.digest(),
        }
    }

    /// Digest of the content up to the prefix of a streamed body, once the prefix has been read.
    pub fn prefix(&self) -> Option<ContentDigest> {
        match &self.body {
            RunBody::Whole(_) => None,
            RunBody::Streamed(body) => body.prefix.get(),
        }
    }

    /// The content as recorded when an instance ends while running it.
    pub fn suspected(&self, was_answered: bool) -> Option<SuspectedContent> {
        Some(SuspectedContent { digest: self.digest()?, prefix: self.prefix(), was_answered })
    }

    /// A hash that distinguishes contents within this process; `None` for a large or streamed body.
    pub fn quick_hash(&self, hasher: &RandomState) -> Option<u64> {
        match &self.body {
            RunBody::Whole(body) if body.len() <= MAX_QUICK_HASH_BODY => {
                Some(hasher.hash_one((&self.method, &self.target, &self.caller, body)))
            }
            _ => None,
        }
    }

    /// Name of the calling service, for log lines.
    pub fn caller(&self) -> Cow<'_, str> {
        display_id(&self.caller)
    }

    /// Digest of the content, for log lines.
    pub fn digest_text(&self) -> String {
        self.digest().map_or("streamed".into(), |digest| digest.to_string())
    }
}
