//! The content of a request that the instance runs, kept until the run has ended.

use std::borrow::Cow;

use bytes::Bytes;
use olivegate_quarantine::ContentDigest;

use crate::event::shown;
use crate::hop::Offer;
use crate::reply::Body;
use crate::state::Node;

/// What makes the request, by reference: nothing is hashed unless the instance ends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunContent {
    method: Bytes,
    target: Bytes,
    caller: Bytes,
    /// `None` where the body was not whole when the run began.
    body: Option<Bytes>,
}

/// Bytes of a body up to which a content is small.
const SMALL_BODY: usize = 1_024;

impl RunContent {
    /// The content of `offer` with this body.
    pub fn of(node: &Node, offer: &Offer, body: &Body) -> Self {
        let body = match body {
            Body::Whole(bytes) => Some(bytes.clone()),
            Body::Stream(..) => None,
        };
        RunContent {
            method: offer.head.method.clone(),
            target: offer.head.target.clone(),
            caller: offer.head.fields.get(node.vocabulary.caller_service).cloned().unwrap_or_default(),
            body,
        }
    }

    /// Its digest; none where the body came in pieces.
    pub fn digest(&self) -> Option<ContentDigest> {
        let body = self.body.as_ref()?;
        Some(ContentDigest::of(&self.method, &self.target, &self.caller, body))
    }

    /// True when keeping some of these costs little memory.
    pub fn is_small(&self) -> bool {
        self.body.as_ref().is_some_and(|body| body.len() <= SMALL_BODY)
    }

    /// The service that makes the request, for log lines.
    pub fn caller(&self) -> Cow<'_, str> {
        shown(&self.caller)
    }

    /// Its digest, for log lines.
    pub fn shown(&self) -> String {
        self.digest().map_or("streamed".into(), |digest| digest.to_string())
    }
}
