//! Decides whether the quarantine lets a request run.

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

/// Retry-after of a suspect that is refused because another suspect is running.
const SUSPECT_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Maximum number of bytes buffered of a streamed body whose prefix matches that of a suspect.
const MAX_BUFFERED_BYTES: usize = 1 << 20;

/// Permission to run a request.
pub enum RunPermit {
    /// The content isn't suspected.
    Unrestricted,
    /// The content is suspected; no other suspect runs at the same time.
    Isolated(OwnedSemaphorePermit),
    /// The content is held, and this run probes whether it is harmless; no other suspect runs at the same
    /// time.
    Probe(OwnedSemaphorePermit),
}

fn refuse_held(retry_after: Duration) -> Refusal {
    Refusal::new(RefusalReason::Quarantined, retry_after)
}

fn refuse_waiting() -> Refusal {
    Refusal::new(RefusalReason::SuspectWaits, SUSPECT_RETRY_AFTER)
}

impl GateQuarantine {
    /// Admits a request that may run. A suspect waits while another one runs.
    pub async fn admit(&self, node: &Node, offer: &Offer, content: &RunContent) -> Result<RunPermit, Refusal> {
        self.wait_for_sync().await;
        if !offer.reported_ends.is_empty() {
            self.note_ends_from_edge(node, offer, content);
        }
        match self.decide(node, content) {
            Decision::Allowed => Ok(RunPermit::Unrestricted),
            Decision::Held { retry_after } => {
                self.log_held(node, offer, content);
                Err(refuse_held(retry_after))
            }
            Decision::Probe => self.try_isolate().map(RunPermit::Probe),
            Decision::Isolated => {
                let max_wait = Duration::from_millis(u64::from(offer.max_slot_wait_ms));
                let acquired = tokio::time::timeout(max_wait, self.isolation.clone().acquire_owned()).await;
                let Ok(Ok(permit)) = acquired else { return Err(refuse_waiting()) };
                Ok(RunPermit::Isolated(permit))
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
                self.status_fields(node, &digest),
            );
        }
    }

    /// Decides again right before the run: reports may have arrived while the request waited, and the
    /// content of a streamed body is known only now.
    pub fn admit_to_run(
        &self,
        node: &Node,
        content: &RunContent,
        permit: RunPermit,
    ) -> Result<RunPermit, Refusal> {
        if matches!(permit, RunPermit::Probe(_)) {
            return Ok(permit);
        }
        match (self.decide(node, content), permit) {
            (Decision::Held { retry_after }, _) => Err(refuse_held(retry_after)),
            (Decision::Isolated, RunPermit::Unrestricted) => self.try_isolate().map(RunPermit::Isolated),
            (Decision::Probe, RunPermit::Unrestricted) => self.try_isolate().map(RunPermit::Probe),
            (_, permit) => Ok(permit),
        }
    }

    /// Acquires the isolation permit, or refuses if another suspect is running.
    fn try_isolate(&self) -> Result<OwnedSemaphorePermit, Refusal> {
        self.isolation.clone().try_acquire_owned().map_err(|_| refuse_waiting())
    }

    /// Buffers a streamed body as long as its prefix matches that of a suspect, because its content can't be
    /// compared before the body is complete. Reads nothing while no streamed body is suspected.
    pub async fn buffer_suspected_body(&self, content: &RunContent, body: Body) -> Body {
        let Body::Stream(stream, length) = body else { return body };
        if !self.suspects.borrow().has_streamed() {
            return Body::Stream(stream, length);
        }
        let mut stream = stream.fuse();
        let mut buffered: Vec<Result<Bytes, IncompleteBody>> = Vec::new();
        let mut bytes = 0;
        while bytes <= MAX_BUFFERED_BYTES {
            let differs_from_suspects =
                content.prefix().is_some_and(|prefix| !self.suspects.borrow().matches_prefix(&prefix));
            if differs_from_suspects {
                break;
            }
            let Some(piece) = stream.next().await else { break };
            let is_broken = piece.is_err();
            bytes += piece.as_ref().map_or(0, Bytes::len);
            buffered.push(piece);
            if is_broken {
                break;
            }
        }
        Body::Stream(futures::stream::iter(buffered).chain(stream).boxed_local(), length)
    }

    /// Decides on a request by its content. Nothing is hashed while no content is suspected.
    fn decide(&self, node: &Node, content: &RunContent) -> Decision {
        if self.suspects.borrow().is_empty() {
            return Decision::Allowed;
        }
        let policy = node.settings().quarantine;
        let now = clock::now();
        let Some(digest) = content.digest() else {
            let prefix = content.prefix();
            return prefix
                .map_or(Decision::Allowed, |prefix| self.suspects.borrow().decide_by_prefix(&policy, &prefix));
        };
        let may_probe = is_prober(node, &digest);
        self.suspects.borrow_mut().decide(&policy, &digest, may_probe, now)
    }

    /// Records the ends of instances that the edge saw under this very request: the reports of their gates
    /// may not have arrived yet.
    fn note_ends_from_edge(&self, node: &Node, offer: &Offer, content: &RunContent) {
        let Some(suspected) = content.suspected(self.answered.contains(content)) else { return };
        let now = clock::now();
        for end in &offer.reported_ends {
            self.note_end(node, suspected, &end.instance, end.run(now));
        }
    }
}

/// True on the one gate of the service that lets a held content run now and then to probe it. All nodes that
/// know the same instances choose the same gate.
fn is_prober(node: &Node, content: &ContentDigest) -> bool {
    let settings = node.settings();
    let instances = node.cluster.borrow().directory.ready_instances(&settings.service);
    let prober = instances.iter().max_by_key(|instance| prober_rank(content, &instance.name));
    prober.is_some_and(|instance| instance.address == settings.instance)
}

/// Rank of an instance as prober of a content (rendezvous hashing).
fn prober_rank(content: &ContentDigest, instance: &InstanceName) -> ContentDigest {
    ContentDigest::of(&content.0, instance.as_str().as_bytes(), &[], &[])
}
