//! Long uploads and downloads of clients: with a length and in chunks, whole, broken off and malformed; read
//! slowly and pipelined.

use std::rc::Rc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use tokio::task::spawn_local;

use super::body_sizes::{download_path, upload_path};
use super::exchange::{Connection, Request, UploadDefect};
use super::harness::Harness;
use super::record::{CallEnd, CallPurpose};
use super::traffic::{CallRecorder, CallSpec};

/// Combined with the seed and the machine to draw transfers, so that the other draws do not change.
const TRANSFERS_SEED: u64 = 0x07fa;
/// Range of pauses between two transfers through one machine, in seconds.
const PAUSE_S: std::ops::Range<f64> = 0.5..2.5;
/// Timeout of a transfer: a slow reader takes longer than other clients.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(5);
/// Sizes of bodies within all limits, in bytes: around the sizes at which the node changes how it passes them on.
const BODY_BYTES: [usize; 7] = [0, 1, 1_200, 64 << 10, (64 << 10) + 1, 200_000, 500_000];
/// Sizes of responses, in bytes.
const RESPONSE_BYTES: [usize; 5] = [100, 64 << 10, (64 << 10) + 1, 300_000, 1_500_000];
/// Size of an upload that is over each limit, in bytes.
const OVER_LIMIT_BYTES: usize = 1_200_000;
/// Probability that an upload goes wrong midway.
const DEFECT_PROBABILITY: f64 = 0.4;
/// Maximum number of requests that a client sends behind a download.
const MAX_BEHIND: usize = 3;
/// Range of times for which a slow reader reads nothing, in seconds.
const SLOW_READER_S: std::ops::Range<f64> = 0.0..1.5;

/// Size limits on request bodies of successive versions, in bytes.
pub const BODY_LIMITS: [u64; 3] = [1 << 20, 512 << 10, 768 << 10];

/// Sends transfers through one machine until traffic ends.
pub async fn send_transfers(harness: Rc<Harness>, machine: usize, seed: u64) {
    let mut random = StdRng::seed_from_u64(seed ^ TRANSFERS_SEED ^ machine as u64);
    // A kept connection carries uploads under several versions of the limits.
    let mut kept = None;
    while !harness.traffic_ended() {
        tokio::time::sleep(Duration::from_secs_f64(random.random_range(PAUSE_S))).await;
        if !harness.is_ready(machine) {
            continue;
        }
        if random.random_bool(0.5) {
            let upload = draw_upload(&harness, machine, &mut random);
            kept = send_upload(&harness, upload, kept.take()).await;
        } else {
            let download = draw_download(&harness, machine, &mut random);
            spawn_local(send_download(harness.clone(), download));
        }
    }
}

/// An upload.
struct Upload {
    call: CallSpec,
    is_chunked: bool,
    defect: Option<UploadDefect>,
    uses_kept_connection: bool,
}

fn draw_upload(harness: &Harness, machine: usize, random: &mut StdRng) -> Upload {
    let defects = [
        UploadDefect::MalformedChunk,
        UploadDefect::MalformedChunkEnd,
        UploadDefect::OversizedTrailer,
        UploadDefect::BreaksOff,
        UploadDefect::OverLimit,
    ];
    let has_defect = random.random_bool(DEFECT_PROBABILITY);
    let defect = defects.choose(random).copied().filter(|_| has_defect);
    let bytes = match defect {
        Some(UploadDefect::OverLimit) => OVER_LIMIT_BYTES,
        Some(_) => 300_000,
        None => BODY_BYTES.choose(random).copied().unwrap_or(0),
    };
    let path = draw_path(harness, "POST", random);
    let purpose = CallPurpose::Transfer { is_proper: defect.is_none() };
    Upload {
        call: CallSpec::new(machine, purpose, "POST", upload_path(&path, bytes), TRANSFER_TIMEOUT),
        is_chunked: defect.is_some() || random.random_bool(0.5),
        defect,
        uses_kept_connection: random.random_bool(0.7),
    }
}

fn draw_path(harness: &Harness, method: &str, random: &mut StdRng) -> String {
    let endpoints = harness.spec.endpoints.iter().filter(|endpoint| endpoint.method() == method);
    let paths: Vec<&str> = endpoints.map(|endpoint| endpoint.path()).collect();
    paths.choose(random).copied().unwrap_or("/none").to_string()
}

/// Sends an upload on the kept connection or a new one; returns the connection if it can be used again.
async fn send_upload(harness: &Rc<Harness>, upload: Upload, kept: Option<Connection>) -> Option<Connection> {
    let kept = kept.filter(|_| upload.uses_kept_connection);
    let was_kept = kept.is_some();
    let mut request = upload.call.request(harness);
    request.is_chunked = upload.is_chunked;
    request.defect = upload.defect;
    let recorder = CallRecorder::begin(harness, &upload.call, &request);
    let Some(mut connection) = open(harness, &upload.call, kept).await else {
        recorder.finish(CallEnd::NotSent);
        return None;
    };
    let exchange = tokio::time::timeout(TRANSFER_TIMEOUT, connection.exchange(&request)).await;
    let (end, is_reusable) = exchange.unwrap_or((CallEnd::TimedOut, false));
    // An idle connection may have been closed before it carried this request.
    let may_be_unread = was_kept && end == CallEnd::Cut && !harness.has_run(&request.id);
    recorder.finish(if may_be_unread { CallEnd::NotSent } else { end });
    is_reusable.then_some(connection)
}

async fn open(harness: &Harness, call: &CallSpec, kept: Option<Connection>) -> Option<Connection> {
    match kept {
        Some(connection) => Some(connection),
        None => Connection::open(harness.machines[call.machine()].outbound).await.ok(),
    }
}

/// A download, and requests that are sent behind it before its response is read.
struct Download {
    call: CallSpec,
    behind: Vec<CallSpec>,
    /// Time from the request to those behind it, and from these to the first read.
    pauses: [Duration; 2],
}

fn draw_download(harness: &Harness, machine: usize, random: &mut StdRng) -> Download {
    let bytes = RESPONSE_BYTES.choose(random).copied().unwrap_or(0);
    let count = random.random_range(0..=MAX_BEHIND);
    let mut call = |bytes| {
        let purpose = CallPurpose::Transfer { is_proper: true };
        let path = draw_path(harness, "GET", random);
        CallSpec::new(machine, purpose, "GET", download_path(&path, bytes), TRANSFER_TIMEOUT)
    };
    let first = call(bytes);
    let behind = (0..count).map(|_| call(RESPONSE_BYTES[0])).collect();
    let mut pause = || Duration::from_secs_f64(random.random_range(SLOW_READER_S));
    Download { call: first, behind, pauses: [pause(), pause()] }
}

/// Sends a download and the requests behind it, and reads the responses only after that.
async fn send_download(harness: Rc<Harness>, download: Download) {
    let calls: Vec<CallSpec> = std::iter::once(download.call).chain(download.behind).collect();
    let requests: Vec<Request> = calls.iter().map(|call| call.request(&harness)).collect();
    let Some(mut connection) = open(&harness, &calls[0], None).await else { return };
    let mut recorders = vec![CallRecorder::begin(&harness, &calls[0], &requests[0])];
    if connection.send(&requests[0]).await.is_err() {
        return recorders[0].finish(CallEnd::Cut);
    }
    tokio::time::sleep(download.pauses[0]).await;
    for (call, request) in calls.iter().zip(&requests).skip(1) {
        // A connection that the node closes behind an earlier response does not carry this request.
        if connection.send(request).await.is_err() {
            break;
        }
        recorders.push(CallRecorder::begin(&harness, call, request));
    }
    tokio::time::sleep(download.pauses[1]).await;
    let mut is_open = true;
    for (recorder, request) in recorders.iter().zip(&requests) {
        if !is_open {
            recorder.finish(if harness.has_run(&request.id) { CallEnd::Cut } else { CallEnd::NotSent });
            continue;
        }
        let received = tokio::time::timeout(TRANSFER_TIMEOUT, connection.receive_in_order(request)).await;
        let (end, is_reusable) = received.unwrap_or((CallEnd::TimedOut, false));
        recorder.finish(end);
        is_open = is_reusable;
    }
}
