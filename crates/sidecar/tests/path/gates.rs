//! Gates that are frozen, unreachable or gone, and what an edge then knows about a request that it has
//! offered.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use olivegate_http1::{Fields, ResponseHead};
use olivegate_sidecar::gate_protocol::{self, EdgeMessage, GateMessage};
use olivegate_sidecar::model::RetrySafety::{Safe, Unsafe};
use olivegate_sidecar::reply::{Load, ResponseFault};
use rstest::rstest;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::Instant;

use crate::client::{Client, get, post};
use crate::instance::{Action, ReceivedRequest, TestInstance, response};
use crate::support::{Fleet, WIRE_NAMES, configuration, route, run};

const SIGNATURE: &str = "s-1";

/// What a fake gate does with an offer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FakeGate {
    /// Accepts the connection and sends nothing.
    Frozen,
    /// Grants the slot and sends nothing more, whatever it receives.
    FrozenAfterGrant,
    /// Closes the connection once it has read the offer.
    Lost,
    /// Grants the slot, and passes on a response with this status and signature, which may be empty.
    PassesOn(u16, &'static str),
    /// Grants the slot, passes on this many bytes of a response, and closes the connection.
    BreaksOffAfter(usize),
}

/// A response as a gate passes it on.
fn passed_on(status: u16, signature: &'static str) -> GateMessage {
    let mut fields = Fields::default();
    if !signature.is_empty() {
        fields.add(WIRE_NAMES.signature, signature);
    }
    GateMessage::Answered {
        head: ResponseHead { status, minor_version: 1, fields },
        body: Some(Bytes::from_static(b"body")),
        length: None,
        fault: ResponseFault::None,
        load: Load::default(),
    }
}

/// The bytes of a response as a gate passes it on.
fn framed_response() -> Vec<u8> {
    let message = gate_protocol::encode(&passed_on(200, SIGNATURE));
    let length = u32::try_from(message.len()).unwrap().to_be_bytes();
    [&length[..], &message].concat()
}

/// Starts a fake gate on `address`.
async fn start_fake_gate(address: SocketAddr, gate: FakeGate) {
    let listener = TcpListener::bind(address).await.unwrap();
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let mut stream = gate_protocol::framed(stream);
            spawn_local(async move {
                while let Some(Ok(frame)) = stream.next().await {
                    let is_offer =
                        matches!(gate_protocol::decode::<EdgeMessage>(&frame), Ok(EdgeMessage::Offer(_)));
                    let is_confirm = matches!(gate_protocol::decode(&frame), Ok(EdgeMessage::Confirm));
                    match gate {
                        FakeGate::Lost => return,
                        FakeGate::PassesOn(..) if is_offer => {
                            stream.send(gate_protocol::encode(&GateMessage::Granted)).await.unwrap();
                        }
                        FakeGate::PassesOn(status, signature) if is_confirm => {
                            stream.send(gate_protocol::encode(&passed_on(status, signature))).await.unwrap();
                        }
                        FakeGate::BreaksOffAfter(_) if is_offer => {
                            stream.send(gate_protocol::encode(&GateMessage::Granted)).await.unwrap();
                        }
                        FakeGate::BreaksOffAfter(bytes) if is_confirm => {
                            stream.get_mut().write_all(&framed_response()[..bytes]).await.unwrap();
                            return;
                        }
                        FakeGate::FrozenAfterGrant if is_offer => {
                            stream.send(gate_protocol::encode(&GateMessage::Granted)).await.unwrap();
                        }
                        _ => {}
                    }
                }
            });
        }
    });
}

/// An edge on machine 1, a fake gate on machine 2, and a node with a healthy instance on machine 3.
async fn start_with_gate(gate: FakeGate) -> (Fleet, TestInstance) {
    let fleet = Fleet::new();
    let routes = vec![route("/safe/", "books", Safe), route("/once/", "books", Unsafe)];
    fleet.source.configure(configuration(1, routes));
    fleet.list(2, "books-1", "books");
    fleet.list(3, "books-2", "books");
    start_fake_gate(fleet.inbound(2), gate).await;
    let script = |request: &ReceivedRequest, _| vec![Action::Send(response(200, &request.id(), "ok"))];
    let instance = TestInstance::start(fleet.instance_address(3), script).await;
    Fleet::wait_until_ready(&fleet.start(3, "books").await).await;
    Fleet::wait_until_ready(&fleet.start(1, "desk").await).await;
    (fleet, instance)
}

async fn request_repeatedly(fleet: &Fleet, request: impl Fn(&str) -> String) -> Vec<u16> {
    let mut statuses = Vec::new();
    for number in 0..8 {
        let mut client = Client::connect(fleet.outbound(1)).await;
        statuses.push(client.request(&request(&format!("r{number}"))).await.head.status);
    }
    statuses
}

#[rstest]
#[case::frozen(FakeGate::Frozen)]
#[case::lost(FakeGate::Lost)]
fn what_was_not_confirmed_goes_to_another_gate(#[case] gate: FakeGate) {
    run(async move {
        let (fleet, instance) = start_with_gate(gate).await;
        let statuses = request_repeatedly(&fleet, |id| post("/once/", id, "x")).await;
        assert_eq!(statuses, [200; 8]);
        assert_eq!(instance.runs(), 8, "each ran once");
    });
}

#[rstest]
fn what_was_confirmed_is_not_sent_again() {
    run(async {
        let (fleet, instance) = start_with_gate(FakeGate::FrozenAfterGrant).await;
        let statuses = request_repeatedly(&fleet, |id| post("/once/", id, "x")).await;
        let answered = statuses.iter().filter(|status| **status == 200).count();
        assert_eq!(instance.runs(), answered);
        assert!(statuses.iter().all(|status| [200, 504].contains(status)), "{statuses:?}");
    });
}

/// Guards against a part of what a gate passes on that counts as a response, or as proof that the request has not run.
#[rstest]
#[case::nothing(0)]
#[case::in_the_length(3)]
#[case::after_the_length(4)]
#[case::in_the_head(7)]
#[case::all_but_the_last_byte(framed_response().len() - 1)]
fn a_response_that_breaks_off_on_its_way_from_the_gate_is_none(#[case] bytes: usize) {
    run(async move {
        let (fleet, instance) = start_with_gate(FakeGate::BreaksOffAfter(bytes)).await;
        let statuses = request_repeatedly(&fleet, |id| post("/once/", id, "x")).await;
        let answered = statuses.iter().filter(|status| **status == 200).count();
        assert_eq!(instance.runs(), answered, "only the sound gate's instance answers: {statuses:?}");
        assert!(statuses.contains(&502), "no request went to the gate that breaks off: {statuses:?}");
        assert!(statuses.iter().all(|status| [200, 502].contains(status)), "{statuses:?}");
    });
}

/// Guards against a part of a message between nodes that is taken for a whole one.
#[rstest]
#[case::response(passed_on(200, SIGNATURE))]
#[case::state(GateMessage::ClusterUpdate {
    configuration: Some(configuration(7, vec![route("/safe/", "books", Safe)])), directory: None, reading: None,
})]
fn no_part_of_a_message_is_a_message(#[case] message: GateMessage) {
    let whole = gate_protocol::encode(&message);
    assert_eq!(gate_protocol::decode::<GateMessage>(&whole).ok(), Some(message));
    for length in 0..whole.len() {
        assert!(gate_protocol::decode::<GateMessage>(&whole[..length]).is_err(), "{length} of {}", whole.len());
    }
}

#[rstest]
fn a_safe_request_leaves_a_frozen_gate_in_time_and_later_ones_avoid_it() {
    run(async {
        let (fleet, _instance) = start_with_gate(FakeGate::Frozen).await;
        let began = Instant::now();
        assert_eq!(request_repeatedly(&fleet, |id| get("/safe/", id)).await, [200; 8]);
        assert!(began.elapsed() < Duration::from_millis(1_900), "took {:?}", began.elapsed());
    });
}

#[rstest]
fn a_gate_that_is_not_confirmed_never_runs_the_request() {
    run(async {
        let fleet = Fleet::new();
        fleet.source.configure(configuration(1, vec![route("/once/", "books", Unsafe)]));
        fleet.list(3, "books-2", "books");
        let script = |request: &ReceivedRequest, _| vec![Action::Send(response(200, &request.id(), "ok"))];
        let instance = TestInstance::start(fleet.instance_address(3), script).await;
        Fleet::wait_until_ready(&fleet.start(3, "books").await).await;
        let mut stream = gate_protocol::framed(tokio::net::TcpStream::connect(fleet.inbound(3)).await.unwrap());
        stream.send(gate_protocol::encode(&EdgeMessage::Offer(Box::new(offer())))).await.unwrap();
        let mut messages = Vec::new();
        while let Ok(Some(Ok(frame))) = tokio::time::timeout(Duration::from_secs(2), stream.next()).await {
            messages.push(gate_protocol::decode::<GateMessage>(&frame).unwrap());
            if matches!(messages.last(), Some(GateMessage::Refused { .. })) {
                break;
            }
        }
        assert_eq!(messages.first(), Some(&GateMessage::Granted));
        assert!(matches!(messages.last(), Some(GateMessage::Refused { .. })), "{messages:?}");
        assert_eq!(instance.runs(), 0);
    });
}

#[rstest]
fn a_gate_does_not_run_what_an_edge_has_left_already() {
    run(async {
        let fleet = Fleet::new();
        fleet.source.configure(configuration(1, vec![route("/once/", "books", Unsafe)]));
        fleet.list(2, "books-2", "books");
        let instance = TestInstance::start(fleet.instance_address(2), |request, _| {
            vec![Action::Send(response(200, &request.id(), "body"))]
        })
        .await;
        Fleet::wait_until_ready(&fleet.start(2, "books").await).await;
        let offer = gate_protocol::Offer { safety: Safe, needs_confirmation: false, ..offer() };
        let message = gate_protocol::encode(&EdgeMessage::Offer(Box::new(offer)));
        // Everything runs on one thread, so the gate reads nothing before the edge has closed.
        let mut edge = std::net::TcpStream::connect(fleet.inbound(2)).unwrap();
        std::io::Write::write_all(&mut edge, &u32::try_from(message.len()).unwrap().to_be_bytes()).unwrap();
        std::io::Write::write_all(&mut edge, &message).unwrap();
        drop(edge);
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert_eq!(instance.runs(), 0);
    });
}

fn offer() -> gate_protocol::Offer {
    gate_protocol::Offer {
        instance: olivegate_types::InstanceName::new("books-2"),
        route: "once".into(),
        head: olivegate_http1::RequestHead {
            method: "POST".into(),
            target: "/once/".into(),
            minor_version: 1,
            fields: olivegate_http1::Fields::default(),
        },
        body: gate_protocol::OfferedBody::Whole("x".into()),
        request_id: "r1".into(),
        time_left_ms: 5_000,
        max_slot_wait_ms: 100,
        target_latency_ms: 1_000,
        root: gate_protocol::RootRequest {
            route: "once".into(),
            importance: olivegate_types::Importance::PROTECTED,
            rank: olivegate_types::SheddingRank(0),
            admitted_fraction: 1.0,
        },
        hop: 0,
        safety: Unsafe,
        is_retry: false,
        reported_ends: Vec::new(),
        parent_retry_probability: 0.0,
        needs_confirmation: true,
        declared: None,
    }
}

/// A gate of an earlier release passes on a status that is none, a success that nobody has signed, and a promise that its
/// instance does not make.
#[rstest]
#[case::zero(0, SIGNATURE)]
#[case::interim(199, SIGNATURE)]
#[case::too_large(600, SIGNATURE)]
#[case::unsigned(200, "")]
#[case::unsigned_without_content(204, "")]
#[case::time_out_as_promise(408, SIGNATURE)]
#[case::limit_as_promise(429, SIGNATURE)]
#[case::refusal_as_promise(503, SIGNATURE)]
fn a_status_that_is_none_is_no_response_from_a_gate_either(#[case] status: u16, #[case] signature: &'static str) {
    run(async move {
        let (fleet, _instance) = start_with_gate(FakeGate::PassesOn(status, signature)).await;
        let statuses = request_repeatedly(&fleet, |id| post("/once/", id, "x")).await;
        assert!(statuses.contains(&502), "some requests meet the fake gate: {statuses:?}");
        assert!(statuses.iter().all(|status| [200, 502].contains(status)), "{statuses:?}");
    });
}

/// Guards against a rolling upgrade in which clients are promised "not run" for what has run: edges of earlier releases
/// pass on the status that a gate gives them, whatever it is.
#[rstest]
fn a_gate_passes_on_no_promise_that_its_instance_does_not_make(
    #[values(408, 429, 503)] status: u16,
    #[values(0, 6, 300_000)] body_bytes: usize,
) {
    run(async move {
        let fleet = Fleet::new();
        fleet.source.configure(configuration(1, vec![route("/once/", "books", Unsafe)]));
        fleet.list(2, "books-2", "books");
        let script = move |request: &ReceivedRequest, _| {
            vec![Action::Send(response(status, &request.id(), &"x".repeat(body_bytes)))]
        };
        let instance = TestInstance::start(fleet.instance_address(2), script).await;
        Fleet::wait_until_ready(&fleet.start(2, "books").await).await;
        let head = gate_protocol::Offer { needs_confirmation: false, ..offer() }.head;
        let fields = [(WIRE_NAMES.request_id, "r1")].into_iter().fold(head.fields, |mut fields, (name, value)| {
            fields.add(name, value);
            fields
        });
        let head = olivegate_http1::RequestHead { fields, ..head };
        let offer = gate_protocol::Offer { head, needs_confirmation: false, ..offer() };
        let mut stream = gate_protocol::framed(tokio::net::TcpStream::connect(fleet.inbound(2)).await.unwrap());
        stream.send(gate_protocol::encode(&EdgeMessage::Offer(Box::new(offer)))).await.unwrap();
        let frame = stream.next().await.unwrap().unwrap();
        let GateMessage::Answered { head, body, fault, .. } = gate_protocol::decode(&frame).unwrap() else {
            panic!("no response");
        };
        assert_eq!((head.status, fault), (502, ResponseFault::Instance));
        assert_eq!(head.fields.get(WIRE_NAMES.signature), None);
        assert_eq!(body.as_deref(), Some("ambiguous-refusal\n".as_bytes()));
        assert_eq!(instance.runs(), 1);
    });
}
