//! Which requests are let in to the instance.

use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use olivegate_quarantine::{ContentDigest, Decision};
use olivegate_types::{InstanceName, Refusal, RefusalReason};
use tokio::sync::OwnedSemaphorePermit;

use super::GateQuarantine;
use super::run_content::RunContent;
use crate::event::{LogClass, display_id};
use crate::gate_protocol::Offer;
use crate::reply::{Body, IncompleteBody};
use crate::state::Node;
use olivegate_clock as clock;

/// When to come back for a suspect that found another one at work.
const SUSPECT_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Bytes that are read at most of a streamed body which begins like that of a suspect.
const MOST_READ: usize = 1 << 20;

/// How a request was let in.
pub enum Entry {
    /// Nothing was held against it.
    Free,
    /// No other suspect runs meanwhile.
    Alone(OwnedSemaphorePermit),
    /// As a held content that may clear itself; no other suspect runs meanwhile.
    Probe(OwnedSemaphorePermit),
}

fn held(retry_after: Duration) -> Refusal {
    Refusal::new(RefusalReason::Quarantined, retry_after)
}

fn waits() -> Refusal {
    Refusal::new(RefusalReason::SuspectWaits, SUSPECT_RETRY_AFTER)
}

impl GateQuarantine {
    /// Lets a request in that may run; waits while another suspect runs.
    pub async fn admit(&self, node: &Node, offer: &Offer, content: &RunContent) -> Result<Entry, Refusal> {
        self.wait_until_heard().await;
        if !offer.reported_ends.is_empty() {
            self.take_word_of_edge(node, offer, content);
        }
        match self.judge(node, content) {
            Decision::Allowed => Ok(Entry::Free),
            Decision::Held { retry_after } => {
                self.log_held(node, offer, content);
                Err(held(retry_after))
            }
            Decision::Probe => self.place().map(Entry::Probe),
            Decision::Isolated => {
                let longest = Duration::from_millis(u64::from(offer.max_slot_wait_ms));
                let place = tokio::time::timeout(longest, self.alone.clone().acquire_owned()).await;
                let Ok(Ok(place)) = place else { return Err(waits()) };
                Ok(Entry::Alone(place))
            }
        }
    }

    fn log_held(&self, node: &Node, offer: &Offer, content: &RunContent) {
        let Some(digest) = content.digest() else { return };
        if node.may_log(LogClass::Refusal, &offer.request_id) {
            log::info!(
                "event=request_held request={} route={} caller={} content={digest} {}",
                display_id(&offer.request_id),
                offer.route,
                content.caller(),
                self.standing(node, &digest),
            );
        }
    }

    /// Looks again right before the run: news may have come while it waited, and a streamed body
    /// is known only now.
    pub fn admit_to_run(&self, node: &Node, content: &RunContent, entry: Entry) -> Result<Entry, Refusal> {
        if matches!(entry, Entry::Probe(_)) {
            return Ok(entry);
        }
        match (self.judge(node, content), entry) {
            (Decision::Held { retry_after }, _) => Err(held(retry_after)),
            (Decision::Isolated, Entry::Free) => self.place().map(Entry::Alone),
            (Decision::Probe, Entry::Free) => self.place().map(Entry::Probe),
            (_, entry) => Ok(entry),
        }
    }

    /// The place of the one suspect that may run, where it is free.
    fn place(&self) -> Result<OwnedSemaphorePermit, Refusal> {
        self.alone.clone().try_acquire_owned().map_err(|_| waits())
    }

    /// Reads a streamed body on where it begins like that of a suspect: it can't be judged before it
    /// is whole. Nothing is read while no such body is suspected.
    pub async fn read_suspected(&self, content: &RunContent, body: Body) -> Body {
        let Body::Stream(stream, length) = body else { return body };
        if !self.suspects.borrow().has_streamed() {
            return Body::Stream(stream, length);
        }
        let mut stream = stream.fuse();
        let mut read: Vec<Result<Bytes, IncompleteBody>> = Vec::new();
        let mut bytes = 0;
        while bytes <= MOST_READ {
            let begins_otherwise =
                content.beginning().is_some_and(|beginning| !self.suspects.borrow().matches_prefix(&beginning));
            if begins_otherwise {
                break;
            }
            let Some(piece) = stream.next().await else { break };
            let is_broken = piece.is_err();
            bytes += piece.as_ref().map_or(0, Bytes::len);
            read.push(piece);
            if is_broken {
                break;
            }
        }
        Body::Stream(futures::stream::iter(read).chain(stream).boxed_local(), length)
    }

    /// What follows for a request; nothing is hashed while nothing is suspected.
    fn judge(&self, node: &Node, content: &RunContent) -> Decision {
        if self.suspects.borrow().is_empty() {
            return Decision::Allowed;
        }
        let policy = node.settings().quarantine;
        let now = clock::now();
        let Some(digest) = content.digest() else {
            let beginning = content.beginning();
            return beginning.map_or(Decision::Allowed, |beginning| {
                self.suspects.borrow().decide_by_prefix(&policy, &beginning)
            });
        };
        let may_probe = is_prober(node, &digest);
        self.suspects.borrow_mut().decide(&policy, &digest, may_probe, now)
    }

    /// The edge saw instances end with this very request: their gates' word may still be on its way.
    fn take_word_of_edge(&self, node: &Node, offer: &Offer, content: &RunContent) {
        let Some(suspected) = content.suspected(self.answered.contains(content)) else { return };
        let now = clock::now();
        for end in &offer.reported_ends {
            self.note_end(node, suspected, &end.instance, end.run(now));
        }
    }
}

/// True on the one gate of the service that lets a held content run once in a while: the same on
/// all nodes that know the same instances.
fn is_prober(node: &Node, content: &ContentDigest) -> bool {
    let settings = node.settings();
    let instances = node.cluster.borrow().directory.ready_instances(&settings.service);
    let first = instances.iter().max_by_key(|instance| place(content, &instance.name));
    first.is_some_and(|instance| instance.address == settings.instance)
}

/// Place of an instance in the order drawn for a content (rendezvous hashing).
fn place(content: &ContentDigest, instance: &InstanceName) -> ContentDigest {
    ContentDigest::of(&content.0, instance.as_str().as_bytes(), &[], &[])
}
