//! Watches a run for the end of its instance.

use std::rc::Rc;

use futures::StreamExt;
use olivegate_types::Moment;
use tokio::task::spawn_local;

use super::RunPermit;
use super::run_content::RunContent;
use super::run_history::Run;
use crate::gate::slots::InstanceSlots;
use crate::gate_protocol::Offer;
use crate::reply::{Body, BodyStream, FailureReason, Response};
use crate::state::Node;
use olivegate_clock as clock;

/// A run until its answer is complete or its failure is known. If it is dropped before that, the run counts
/// as abandoned: the instance may still be executing it.
pub struct WatchedRun {
    node: Rc<Node>,
    slots: Rc<InstanceSlots>,
    run: Run,
    /// The instance no longer executes the run, whatever its result.
    is_finished: bool,
    /// Held until the run is dropped, so that no other suspect runs at the same time.
    _permit: RunPermit,
}

impl WatchedRun {
    /// Begins a run now.
    pub fn begin(
        node: &Rc<Node>,
        offer: &Offer,
        content: RunContent,
        permit: RunPermit,
        slots: Rc<InstanceSlots>,
    ) -> Self {
        let run = Run {
            instance: offer.instance.clone(),
            incarnation_name: slots.start_name(&offer.instance),
            route: offer.route.clone(),
            content,
            began: clock::now(),
        };
        WatchedRun { node: node.clone(), slots, run, is_finished: false, _permit: permit }
    }

    /// Content of the request.
    pub fn content(&self) -> &RunContent {
        &self.run.content
    }

    /// Returns the answer to forward, with its body watched to the end.
    pub fn on_response(mut self, response: Response) -> Response {
        let Response { head, body, fault } = response;
        let body = match body {
            Body::Whole(bytes) => {
                self.on_answered(head.status);
                Body::Whole(bytes)
            }
            Body::Stream(pieces, length) => Body::Stream(self.watch(pieces, head.status), length),
        };
        Response { head, body, fault }
    }

    fn on_answered(&mut self, status: u16) {
        self.is_finished = true;
        self.node.gate.quarantine.on_answered(&self.node, &self.run.content, status);
    }

    fn watch(self, pieces: BodyStream, status: u16) -> BodyStream {
        let watched = futures::stream::unfold((pieces, Some(self)), move |(mut pieces, mut run)| async move {
            let piece = pieces.next().await;
            match &piece {
                Some(Ok(_)) => {}
                Some(Err(_)) => run.take().into_iter().for_each(WatchedRun::on_body_broken),
                None => run.take().into_iter().for_each(|mut run| run.on_answered(status)),
            }
            piece.map(|piece| (piece, (pieces, run)))
        });
        watched.boxed_local()
    }

    /// The answer's body broke off, possibly because the instance ended.
    fn on_body_broken(mut self) {
        self.is_finished = true;
        spawn_local(async move { self.on_failure(FailureReason::Broken).await });
    }

    /// Checks after a failure whether the instance has ended. Returns the reason, which becomes
    /// [`FailureReason::InstanceEnded`] for a broken exchange whose instance has ended.
    pub async fn on_failure(&mut self, reason: FailureReason) -> FailureReason {
        let quarantine = &self.node.gate.quarantine;
        self.is_finished = reason != FailureReason::TimedOut;
        match reason {
            FailureReason::Broken => {
                let Some(ended) = self.end_of_instance().await else { return reason };
                quarantine.on_end(&self.node, &self.run, ended);
                FailureReason::InstanceEnded
            }
            FailureReason::Connect if quarantine.has_abandoned_runs(&self.run.instance) => {
                if let Some(ended) = self.end_of_instance().await {
                    quarantine.on_unobserved_end(&self.node, &self.run.instance, ended);
                }
                reason
            }
            _ => reason,
        }
    }

    async fn end_of_instance(&self) -> Option<Moment> {
        let connections = self.slots.connections();
        let keep = |connection| connections.keep(connection, None, self.slots.limit());
        let address = self.node.settings().instance;
        let ended = self.slots.end().check(self.run.began, connections, address, keep).await;
        if ended.is_some() {
            self.node.gate.identity.invalidate();
        }
        ended
    }
}

impl Drop for WatchedRun {
    fn drop(&mut self) {
        if !self.is_finished {
            self.node.gate.quarantine.on_abandoned(self.run.clone());
        }
    }
}
