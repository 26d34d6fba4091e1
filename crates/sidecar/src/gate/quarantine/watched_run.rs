//! A run that is watched for the end of its instance.

use std::rc::Rc;

use futures::StreamExt;
use olivegate_types::Moment;
use tokio::task::spawn_local;

use super::Entry;
use super::run_content::RunContent;
use super::run_history::Run;
use crate::gate::slots::InstanceSlots;
use crate::gate_protocol::Offer;
use crate::reply::{Body, BodyStream, FailureReason, Response};
use crate::state::Node;
use olivegate_clock as clock;

/// A run, until its answer is whole or its failure is known. Dropped before that, it was left: the
/// instance may still be at work on it.
pub struct WatchedRun {
    node: Rc<Node>,
    slots: Rc<InstanceSlots>,
    run: Run,
    /// The instance is done with it, whichever way.
    is_over: bool,
    /// No other suspect runs as long, if it is one.
    _entry: Entry,
}

impl WatchedRun {
    /// A run that begins now.
    pub fn begin(
        node: &Rc<Node>,
        offer: &Offer,
        content: RunContent,
        entry: Entry,
        slots: Rc<InstanceSlots>,
    ) -> Self {
        let run = Run {
            instance: offer.instance.clone(),
            start: slots.start_name(&offer.instance),
            route: offer.route.clone(),
            content,
            began: clock::now(),
        };
        WatchedRun { node: node.clone(), slots, run, is_over: false, _entry: entry }
    }

    /// What makes the request.
    pub fn content(&self) -> &RunContent {
        &self.run.content
    }

    /// The answer as it is to be passed on: watched to the end of its body.
    pub fn on_answer(mut self, answer: Response) -> Response {
        let Response { head, body, fault } = answer;
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
        self.is_over = true;
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

    /// The answer's body broke off: perhaps since the instance ended.
    fn on_body_broken(mut self) {
        self.is_over = true;
        spawn_local(async move { self.on_failure(FailureReason::Broken).await });
    }

    /// What a failure tells of the instance, and the failure's reason as that makes it.
    pub async fn on_failure(&mut self, reason: FailureReason) -> FailureReason {
        let quarantine = &self.node.gate.quarantine;
        self.is_over = reason != FailureReason::TimedOut;
        match reason {
            FailureReason::Broken => {
                let Some(ended) = self.end_of_instance().await else { return reason };
                quarantine.on_end(&self.node, &self.run, ended);
                FailureReason::InstanceEnded
            }
            FailureReason::Connect if quarantine.has_left_runs(&self.run.instance) => {
                if let Some(ended) = self.end_of_instance().await {
                    quarantine.on_end_unseen(&self.node, &self.run.instance, ended);
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
        let ended = self.slots.end().look(self.run.began, connections, address, keep).await;
        if ended.is_some() {
            self.node.gate.identity.doubt();
        }
        ended
    }
}

impl Drop for WatchedRun {
    fn drop(&mut self) {
        if !self.is_over {
            self.node.gate.quarantine.on_left(self.run.clone());
        }
    }
}
