//! The content of a request that the instance runs, kept until the run has ended.

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

/// Bytes of a body up to which hashing it costs little.
const SMALL_BODY: usize = 1_024;
/// Bytes at the beginning of a streamed body that tell most contents apart before all of it is
/// there: as much as is read of any longer body before it is passed on.
const BEGINNING_BYTES: usize = 64 * 1024;

/// What makes a request. A whole body is kept by reference, and nothing is hashed until it has to be.
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

/// A body that is hashed as it passes.
#[derive(Debug)]
struct StreamedBody {
    hasher: RefCell<ContentHasher>,
    passed: Cell<usize>,
    beginning: Cell<Option<ContentDigest>>,
    is_whole: Cell<bool>,
}

impl StreamedBody {
    fn new(hasher: ContentHasher) -> Self {
        StreamedBody {
            hasher: RefCell::new(hasher),
            passed: Cell::new(0),
            beginning: Cell::new(None),
            is_whole: Cell::new(false),
        }
    }

    fn update(&self, piece: &[u8]) {
        let mut hasher = self.hasher.borrow_mut();
        let passed = self.passed.replace(self.passed.get() + piece.len());
        let missing = BEGINNING_BYTES.saturating_sub(passed);
        if missing == 0 || piece.len() < missing {
            hasher.update(piece);
            return;
        }
        let (first, rest) = piece.split_at(missing);
        hasher.update(first);
        self.beginning.set(Some(hasher.finish()));
        hasher.update(rest);
    }

    fn digest(&self) -> Option<ContentDigest> {
        self.is_whole.get().then(|| self.hasher.borrow().finish())
    }
}

/// The pieces of `stream`, told to `body` as they pass.
fn watched(stream: BodyStream, body: Rc<StreamedBody>) -> BodyStream {
    let pieces = futures::stream::unfold((stream, body), |(mut stream, body)| async move {
        let piece = stream.next().await;
        match &piece {
            Some(Ok(data)) => body.update(data),
            Some(Err(_)) => {}
            None => body.is_whole.set(true),
        }
        piece.map(|piece| (piece, (stream, body)))
    });
    pieces.boxed_local()
}

impl RunContent {
    /// The content of a request whose body is whole.
    pub fn whole(method: Bytes, target: Bytes, caller: Bytes, body: Bytes) -> Self {
        RunContent { method, target, caller, body: RunBody::Whole(body) }
    }

    /// The content of `offer` with this body, and the body as it is to be passed on.
    pub fn of(node: &Node, offer: &Offer, body: Body) -> (Self, Body) {
        let head = &offer.head;
        let caller = head.fields.get(node.wire_names.caller_service).cloned().unwrap_or_default();
        let (run_body, body) = match body {
            Body::Whole(bytes) => (RunBody::Whole(bytes.clone()), Body::Whole(bytes)),
            Body::Stream(stream, length) => {
                let streamed = Rc::new(StreamedBody::new(ContentHasher::new(&head.method, &head.target, &caller)));
                (RunBody::Streamed(streamed.clone()), Body::Stream(watched(stream, streamed), length))
            }
        };
        (RunContent { method: head.method.clone(), target: head.target.clone(), caller, body: run_body }, body)
    }

    /// Its digest; none while a streamed body has not passed whole.
    pub fn digest(&self) -> Option<ContentDigest> {
        match &self.body {
            RunBody::Whole(body) => Some(ContentDigest::of(&self.method, &self.target, &self.caller, body)),
            RunBody::Streamed(body) => body.digest(),
        }
    }

    /// Digest of the beginning of a streamed body, once that has passed.
    pub fn beginning(&self) -> Option<ContentDigest> {
        match &self.body {
            RunBody::Whole(_) => None,
            RunBody::Streamed(body) => body.beginning.get(),
        }
    }

    /// As it is marked when an instance ends with it.
    pub fn suspected(&self, was_answered: bool) -> Option<SuspectedContent> {
        Some(SuspectedContent { digest: self.digest()?, prefix: self.beginning(), was_answered })
    }

    /// A hash that is good for telling contents apart within this process, where the body is small.
    pub fn quick_hash(&self, hasher: &RandomState) -> Option<u64> {
        match &self.body {
            RunBody::Whole(body) if body.len() <= SMALL_BODY => {
                Some(hasher.hash_one((&self.method, &self.target, &self.caller, body)))
            }
            _ => None,
        }
    }

    /// The service that makes the request, for log lines.
    pub fn caller(&self) -> Cow<'_, str> {
        display_id(&self.caller)
    }

    /// Its digest, for log lines.
    pub fn shown(&self) -> String {
        self.digest().map_or("streamed".into(), |digest| digest.to_string())
    }
}
