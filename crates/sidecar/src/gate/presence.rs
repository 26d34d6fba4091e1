//! Whether the instance that an offer means is there, asked by the health question of its service.
//!
//! The question names the instance that is meant, as requests do: any other one rejects it. Unlike a
//! request it counts as none, neither against the instances that a route allows nor as a repeat.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use olivegate_http1::{BodyLength, Fields, Frame, RequestHead, ResponseHead};
use olivegate_types::{InstanceName, Refusal, RefusalReason};
use tokio::io::AsyncWriteExt;
use tokio::task::spawn_local;

use super::declared_rate::{self, LearntBy};
use super::identity::{Asking, Found, patience};
use super::instance_connection::InstanceConnection;
use super::notice::{Notice, RateNotice};
use super::slots::InstanceSlots;
use super::{SHORT_RETRY_AFTER, meet_instance, successor_of};
use crate::gate_protocol::Offer;
use crate::reply::{Failure, FailureReason, GateReply};
use crate::state::Node;
use olivegate_clock as clock;

/// Time limit of the question: a busy instance lets it wait for a slot. Requests wait for less, by
/// [`patience`], and are then served as if it had not been asked.
const ANSWER_LIMIT: Duration = Duration::from_secs(1);

/// The reply to an offer for an instance that is not there; `None` when it may be.
pub async fn reply_for_absent(node: &Rc<Node>, offer: &Offer, slots: &Rc<InstanceSlots>) -> Option<GateReply> {
    let identity = &node.gate.identity;
    if identity.is_confirmed(&offer.instance) {
        return None;
    }
    let (question, asking) = identity.question(&offer.instance);
    if let Some(asking) = asking {
        // The question goes on where the request that asked first is dropped.
        spawn_local(ask(node.clone(), slots.clone(), asking));
    }
    let began = clock::now();
    let found = question.found_within(patience(offer)).await;
    let waited = clock::now().since(began);
    node.metrics.identity_wait.inc_by(waited.as_secs_f64());
    match found {
        None | Some(Found::Expected | Found::Untold) => None,
        Some(Found::Nobody) => {
            slots.note_absent();
            node.metrics.exchanges.with_label_values(&[FailureReason::Connect.as_str()]).inc();
            Some(GateReply::Failed(Failure::not_sent(FailureReason::Connect)))
        }
        Some(Found::Other(_)) => {
            let refusal = Refusal::new(RefusalReason::InstanceLeaving, SHORT_RETRY_AFTER);
            Some(GateReply::Refused { refusal, successor: successor_of(node, &offer.instance) })
        }
    }
}

/// Asks who is there, and learns what was found.
async fn ask(node: Rc<Node>, slots: Rc<InstanceSlots>, asking: Asking) {
    let expected = asking.expected().clone();
    let asked = clock::now();
    let found = tokio::time::timeout(ANSWER_LIMIT, question(&node, &expected, &slots)).await;
    let found = found.unwrap_or(Found::Untold);
    log::info!(
        "event=instance_asked expected={expected} found={} present={} after_ms={}",
        found.as_str(),
        if let Found::Other(Some(name)) = &found { name.as_str() } else { "untold" },
        clock::now().since(asked).as_millis(),
    );
    node.metrics.identity_questions.with_label_values(&[found.as_str()]).inc();
    match &found {
        Found::Expected | Found::Untold => {}
        Found::Nobody => note_end(&node, &expected),
        Found::Other(name) => {
            note_end(&node, &expected);
            note_other(&node, &expected, name.as_ref());
        }
    }
    node.gate.identity.learn(asking, found);
}

/// What it was at work on when it ended may have ended it, also where nobody waited for that any more.
fn note_end(node: &Node, instance: &InstanceName) {
    let quarantine = &node.gate.quarantine;
    if quarantine.has_abandoned_runs(instance) {
        quarantine.on_unobserved_end(node, instance, clock::now());
    }
}

fn note_other(node: &Node, meant: &InstanceName, present: Option<&InstanceName>) {
    let now = clock::now();
    node.update_directory("gate", |directory| directory.note_gone(meant, now));
    if let Some(present) = present {
        meet_instance(node, present.as_str());
    }
}

async fn question(node: &Node, expected: &InstanceName, slots: &Rc<InstanceSlots>) -> Found {
    let Some(path) = health_path(node) else { return Found::Untold };
    let address = node.settings().instance;
    node.metrics.connections.with_label_values(&["instance"]).inc();
    let mut connection = match slots.connections().connect(address).await {
        Ok(connection) => connection,
        Err(error) if error.kind() == ErrorKind::ConnectionRefused => return Found::Nobody,
        Err(_) => return Found::Untold,
    };
    let head = question_head(node, path, address, expected);
    slots.count_question();
    let Some(answer) = exchange(&mut connection, &head).await else { return Found::Untold };
    if answer.keeps_connection() {
        slots.connections().keep(connection, None, slots.limit());
    }
    let found = found_by(node, &answer, expected);
    if found == Found::Expected {
        take_notice(node, expected, slots, &answer);
    }
    found
}

/// Takes in what the instance says of itself. That it names no rate here shows no end of its need: it may
/// name it to callers only.
fn take_notice(node: &Node, expected: &InstanceName, slots: &Rc<InstanceSlots>, answer: &ResponseHead) {
    let notice = Notice::of(answer, &node.wire_names);
    if matches!(notice.rate, RateNotice::Limited(_)) {
        declared_rate::take_notice(slots, expected, notice.rate, LearntBy::Question, &node.metrics);
    }
    if notice.is_leaving {
        node.note_leaving(expected, slots.incarnation(), "instance");
    }
}

/// The path by which instances of this machine's service are asked whether they are healthy.
fn health_path(node: &Node) -> Option<String> {
    let cluster = node.cluster.borrow();
    cluster.configuration.as_ref()?.health_paths.get(&node.settings().service).cloned()
}

fn question_head(node: &Node, path: String, address: SocketAddr, expected: &InstanceName) -> RequestHead {
    let mut fields = Fields::default();
    fields.add("Host", address.to_string());
    fields.add(node.wire_names.expected_instance, Bytes::copy_from_slice(expected.as_str().as_bytes()));
    RequestHead { method: Bytes::from_static(b"GET"), target: path.into(), minor_version: 1, fields }
}

/// The head of the answer, once it is whole.
async fn exchange(connection: &mut InstanceConnection, head: &RequestHead) -> Option<ResponseHead> {
    let mut bytes = BytesMut::new();
    head.write(BodyLength::None, &mut bytes);
    connection.requests.write_all(&bytes).await.ok()?;
    let mut answer = None;
    loop {
        match connection.answers.next().await?.ok()? {
            Frame::Head(head, _) => answer = Some(head),
            Frame::Data(_) => {}
            Frame::End => return answer,
        }
    }
}

fn found_by(node: &Node, answer: &ResponseHead, expected: &InstanceName) -> Found {
    match answer.fields.text(node.wire_names.instance) {
        Some(name) if name == expected.as_str() => Found::Expected,
        Some(name) => Found::Other(Some(InstanceName::new(name))),
        None if answer.status == 421 => Found::Other(None),
        None if answer.status < 300 => Found::Expected,
        None => Found::Untold,
    }
}
