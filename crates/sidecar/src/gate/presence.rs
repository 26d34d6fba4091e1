//! Checks whether the instance that an offer names is listening, by a request to the health path of its
//! service.
//!
//! Like every request, the check names the expected instance, so that any other one rejects it. Unlike a
//! request, it counts neither against the instances that a route allows nor as a retry.

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

use super::declared_rate::{self, RateSource};
use super::identity::{CheckResult, PendingCheck, max_check_wait};
use super::instance_connection::InstanceConnection;
use super::notice::{Notice, RateNotice, present_instance};
use super::slots::InstanceSlots;
use super::{SHORT_RETRY_AFTER, observe_instance, successor_of};
use crate::gate_protocol::Offer;
use crate::reply::{Failure, FailureReason, GateReply};
use crate::state::Node;
use olivegate_clock as clock;

/// Time limit of an identity check: a busy instance makes it wait for a slot. Requests wait for less, see
/// [`max_check_wait`], and are then served as if there were no check.
const CHECK_TIMEOUT: Duration = Duration::from_secs(1);

/// The reply to an offer for an instance that is not listening; `None` when it may be.
pub async fn reply_for_absent(node: &Rc<Node>, offer: &Offer, slots: &Rc<InstanceSlots>) -> Option<GateReply> {
    let identity = &node.gate.identity;
    if identity.is_confirmed(&offer.instance) {
        return None;
    }
    let (check, pending) = identity.start_check(&offer.instance);
    if let Some(pending) = pending {
        // The check continues if the request that started it is dropped.
        spawn_local(run_check(node.clone(), slots.clone(), pending));
    }
    let began = clock::now();
    let result = check.result_within(max_check_wait(offer)).await;
    let waited = clock::now().since(began);
    node.metrics.identity_wait.inc_by(waited.as_secs_f64());
    match result {
        None | Some(CheckResult::Expected | CheckResult::Inconclusive) => None,
        Some(CheckResult::NotListening) => {
            slots.note_not_listening();
            node.metrics.exchanges.with_label_values(&[FailureReason::Connect.as_str()]).inc();
            Some(GateReply::Failed(Failure::not_sent(FailureReason::Connect)))
        }
        Some(CheckResult::Other(_)) => {
            let refusal = Refusal::new(RefusalReason::InstanceLeaving, SHORT_RETRY_AFTER);
            Some(GateReply::Refused { refusal, successor: successor_of(node, &offer.instance) })
        }
    }
}

/// Runs a check, logs and counts its result, and completes it.
async fn run_check(node: Rc<Node>, slots: Rc<InstanceSlots>, pending: PendingCheck) {
    let expected = pending.expected().clone();
    let started = clock::now();
    let result = tokio::time::timeout(CHECK_TIMEOUT, check_identity(&node, &expected, &slots)).await;
    let result = result.unwrap_or(CheckResult::Inconclusive);
    log::info!(
        "event=instance_asked expected={expected} found={} present={} after_ms={}",
        result.as_str(),
        if let CheckResult::Other(Some(name)) = &result { name.as_str() } else { "untold" },
        clock::now().since(started).as_millis(),
    );
    node.metrics.identity_questions.with_label_values(&[result.as_str()]).inc();
    match &result {
        CheckResult::Expected | CheckResult::Inconclusive => {}
        CheckResult::NotListening => note_end(&node, &expected),
        CheckResult::Other(name) => {
            note_end(&node, &expected);
            note_other(&node, &expected, name.as_ref());
        }
    }
    node.gate.identity.complete(pending, result);
}

/// The instance has ended. Runs that it was executing may have caused that, including those that nobody
/// waited for any more.
fn note_end(node: &Node, instance: &InstanceName) {
    let quarantine = &node.gate.quarantine;
    if quarantine.has_abandoned_runs(instance) {
        quarantine.on_unobserved_end(node, instance, clock::now());
    }
}

fn note_other(node: &Node, expected: &InstanceName, present: Option<&InstanceName>) {
    let now = clock::now();
    node.update_directory("gate", |directory| directory.note_gone(expected, now));
    if let Some(present) = present {
        observe_instance(node, present.clone());
    }
}

async fn check_identity(node: &Node, expected: &InstanceName, slots: &Rc<InstanceSlots>) -> CheckResult {
    let Some(path) = health_path(node) else { return CheckResult::Inconclusive };
    let address = node.settings().instance;
    node.metrics.connections.with_label_values(&["instance"]).inc();
    let mut connection = match slots.connections().connect(address).await {
        Ok(connection) => connection,
        Err(error) if error.kind() == ErrorKind::ConnectionRefused => return CheckResult::NotListening,
        Err(_) => return CheckResult::Inconclusive,
    };
    let head = check_request(node, path, address, expected);
    slots.count_identity_check();
    let Some(response) = fetch_head(&mut connection, &head).await else { return CheckResult::Inconclusive };
    if response.keeps_connection() {
        slots.connections().keep(connection, None, slots.limit());
    }
    let result = result_of(node, &response, expected);
    if result == CheckResult::Expected {
        apply_notice(node, expected, slots, &response);
    }
    result
}

/// Applies what the instance declares in its response. A missing rate doesn't mean that the limit has ended:
/// the instance may declare its rate only in responses to callers.
fn apply_notice(node: &Node, expected: &InstanceName, slots: &Rc<InstanceSlots>, response: &ResponseHead) {
    let notice = Notice::of(response, &node.wire_names);
    if matches!(notice.rate, RateNotice::Limited(_)) {
        declared_rate::apply_notice(slots, expected, notice.rate, RateSource::IdentityCheck, &node.metrics);
    }
    if notice.is_leaving {
        node.note_leaving(expected, slots.incarnation(), "instance");
    }
}

/// Health check path of the service of this machine.
fn health_path(node: &Node) -> Option<String> {
    let cluster = node.cluster.borrow();
    cluster.configuration.as_ref()?.health_paths.get(&node.settings().service).cloned()
}

fn check_request(node: &Node, path: String, address: SocketAddr, expected: &InstanceName) -> RequestHead {
    let mut fields = Fields::default();
    fields.add("Host", address.to_string());
    fields.add(node.wire_names.expected_instance, Bytes::copy_from_slice(expected.as_str().as_bytes()));
    RequestHead { method: Bytes::from_static(b"GET"), target: path.into(), minor_version: 1, fields }
}

/// Sends the request and returns the head of the response once the response is complete.
async fn fetch_head(connection: &mut InstanceConnection, head: &RequestHead) -> Option<ResponseHead> {
    let mut bytes = BytesMut::new();
    head.write(BodyLength::None, &mut bytes);
    connection.requests.write_all(&bytes).await.ok()?;
    let mut response = None;
    loop {
        match connection.responses.next().await?.ok()? {
            Frame::Head(head, _) => response = Some(head),
            Frame::Data(_) => {}
            Frame::End => return response,
        }
    }
}

fn result_of(node: &Node, response: &ResponseHead, expected: &InstanceName) -> CheckResult {
    match present_instance(response, &node.wire_names) {
        Some(name) if name == *expected => CheckResult::Expected,
        Some(name) => CheckResult::Other(Some(name)),
        None if response.status == 421 => CheckResult::Other(None),
        None if response.fields.get(node.wire_names.instance).is_some() => CheckResult::Inconclusive,
        None if response.status < 300 => CheckResult::Expected,
        None => CheckResult::Inconclusive,
    }
}
