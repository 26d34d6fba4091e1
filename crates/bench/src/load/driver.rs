//! Sends the requests of a schedule and records each call.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use olivegate_types::header;

use crate::back_ends::instance::{TOKEN, WORK_US, expected_body, header_text};
use crate::history::{CallEnd, ClientCall};
use crate::load::client::{CompleteResponse, Exchange, HttpPool};
use crate::load::schedule::Arrival;
use crate::spec::DeploymentSpec;
use crate::wall_clock::unix_us;

/// Time that clients wait beyond the deadline that they send.
const CLIENT_TIMEOUT_MARGIN: Duration = Duration::from_millis(500);

/// Targets that one attempt tries while no connection can be established.
const MAX_TARGETS: u32 = 3;

/// Behaviour of the clients.
#[derive(Debug, Clone, Copy)]
pub struct ClientBehaviour {
    /// Attempts per logical request.
    pub attempts: u32,
    /// True if clients wait before a retry, longer if the response had a `Retry-After` header;
    /// otherwise they retry immediately.
    pub honours_retry_after: bool,
    /// Deadline sent with each call, in milliseconds.
    pub deadline_ms: u64,
    /// True if each request with an idempotency key is sent to two targets at once.
    pub sends_duplicates: bool,
}

/// Chooses the name and address of a target; called with the arrival and the number of the attempt.
pub type TargetSelector = Arc<dyn Fn(&Arrival, u32) -> Option<(String, SocketAddr)> + Send + Sync>;

/// Load generator of one arm.
pub struct Driver {
    pub spec: DeploymentSpec,
    pub behaviour: ClientBehaviour,
    pub targets: TargetSelector,
    /// Importance of a call (method and path).
    pub importance: Arc<dyn Fn(&str) -> u8 + Send + Sync>,
    /// True for calls that are sent with an idempotency key.
    pub needs_key: Arc<dyn Fn(&str) -> bool + Send + Sync>,
    /// Prefix of the tokens and idempotency keys, unique to the arm and seed.
    pub run_name: String,
    pool: HttpPool,
    calls: Mutex<Vec<ClientCall>>,
}

impl Driver {
    /// Creates a load generator that has made no call yet.
    pub fn new(
        spec: DeploymentSpec,
        behaviour: ClientBehaviour,
        targets: TargetSelector,
        importance: Arc<dyn Fn(&str) -> u8 + Send + Sync>,
        needs_key: Arc<dyn Fn(&str) -> bool + Send + Sync>,
        run_name: String,
    ) -> Self {
        let (pool, calls) = (HttpPool::default(), Mutex::default());
        Driver { spec, behaviour, targets, importance, needs_key, run_name, pool, calls }
    }

    /// Starts each request at its arrival time and waits until all have ended.
    pub async fn run(self: &Arc<Self>, arrivals: Vec<Arrival>) {
        let start = Instant::now();
        let mut tasks = tokio::task::JoinSet::new();
        for arrival in arrivals {
            let at = start + Duration::from_secs_f64(arrival.at);
            tokio::time::sleep_until(at.into()).await;
            let driver = self.clone();
            if self.behaviour.sends_duplicates && (self.needs_key)(&arrival.call) {
                let mut duplicate = arrival.clone();
                duplicate.target_choice = arrival.target_choice.wrapping_add(1);
                let driver = self.clone();
                tasks.spawn(async move { driver.run_logical(duplicate, "b").await });
            }
            tasks.spawn(async move { driver.run_logical(arrival, "").await });
            while tasks.try_join_next().is_some() {}
        }
        while tasks.join_next().await.is_some() {}
    }

    async fn run_logical(&self, arrival: Arrival, token_suffix: &str) {
        for attempt in 0..self.behaviour.attempts {
            let call = self.attempt(&arrival, attempt, token_suffix).await;
            let done = call.end == CallEnd::Answered && call.status < 500;
            let wait = if self.behaviour.honours_retry_after { retry_delay(&call) } else { Duration::ZERO };
            self.record(call);
            if done {
                return;
            }
            tokio::time::sleep(wait).await;
        }
    }

    fn record(&self, call: ClientCall) {
        self.calls.lock().unwrap_or_else(std::sync::PoisonError::into_inner).push(call);
    }

    /// Returns the recorded calls and clears the record.
    pub fn take_calls(&self) -> Vec<ClientCall> {
        std::mem::take(&mut *self.calls.lock().unwrap_or_else(std::sync::PoisonError::into_inner))
    }

    async fn attempt(&self, arrival: &Arrival, attempt: u32, token_suffix: &str) -> ClientCall {
        let group = &self.spec.groups[arrival.group];
        let token = format!("{}.{}.{attempt}{token_suffix}", self.run_name, arrival.logical);
        let key = (self.needs_key)(&arrival.call).then(|| format!("{}-{}", self.run_name, arrival.logical));
        let mut headers = vec![
            (TOKEN, token.clone()),
            (header::GROUP_CREDENTIAL, group.credential.clone()),
            (header::DEADLINE_MS, self.behaviour.deadline_ms.to_string()),
        ];
        if let Some(key) = &key {
            headers.push((header::IDEMPOTENCY_KEY, key.clone()));
        }
        let mut call = ClientCall {
            token,
            logical: arrival.logical,
            attempt,
            call: arrival.call.clone(),
            importance: (self.importance)(&arrival.call),
            group: group.name.clone(),
            key,
            target: String::new(),
            start_us: unix_us(),
            end_us: 0,
            end: CallEnd::NotConnected,
            status: 0,
            outcome: String::new(),
            request: String::new(),
            retry_after: false,
            own_us: 0,
            work_us: 0,
        };
        for target_offset in 0..MAX_TARGETS {
            let Some((name, address)) = (self.targets)(arrival, attempt + target_offset) else {
                break;
            };
            call.target = name;
            self.exchange(&mut call, address, &headers).await;
            if call.end != CallEnd::NotConnected {
                break;
            }
        }
        call
    }

    async fn exchange(&self, call: &mut ClientCall, address: SocketAddr, headers: &[(&str, String)]) {
        let Some(endpoint) = self.spec.endpoint(&call.call) else {
            return;
        };
        let delay = Duration::from_micros(self.spec.client_delay_us);
        tokio::time::sleep(delay).await;
        call.start_us = unix_us();
        let timeout = Duration::from_millis(self.behaviour.deadline_ms) + CLIENT_TIMEOUT_MARGIN;
        let exchange = self.pool.exchange(address, endpoint.method(), endpoint.path(), headers, timeout).await;
        call.end_us = unix_us();
        match exchange {
            Exchange::Answered(response) => record_response(call, &response, endpoint.body_bytes),
            Exchange::Broken => call.end = CallEnd::Broken,
            Exchange::TimedOut => call.end = CallEnd::TimedOut,
            Exchange::NotConnected => call.end = CallEnd::NotConnected,
        }
        tokio::time::sleep(delay).await;
    }
}

/// Shortest wait before the next attempt of a client that honours `Retry-After`; longer if the
/// response had the header, whose value is not read.
fn retry_delay(call: &ClientCall) -> Duration {
    Duration::from_millis(if call.retry_after { 400 } else { 100 })
}

fn record_response(call: &mut ClientCall, response: &CompleteResponse, size: usize) {
    let number = |name| header_text(&response.headers, name).and_then(|value| value.parse().ok()).unwrap_or(0);
    let text = |name| header_text(&response.headers, name).unwrap_or_default().to_string();
    call.status = response.status;
    call.outcome = text(header::OUTCOME);
    call.request = text(header::REQUEST_ID);
    call.retry_after = response.headers.contains_key("retry-after");
    call.own_us = number(header::OWN_PROCESSING_US);
    call.work_us = number(WORK_US);
    call.end = CallEnd::Answered;
    if response.status == 200 && !is_own_response(call, response, size) {
        call.end = CallEnd::WrongAnswer;
    }
}

/// Returns true if a response belongs to the call: its body has the call's token or, for a call
/// with an idempotency key, the token of another attempt of the same logical request whose
/// response was reused.
fn is_own_response(call: &ClientCall, response: &CompleteResponse, size: usize) -> bool {
    if response.body == expected_body(&call.token, size) {
        return true;
    }
    let first_line = response.body.split(|byte| *byte == b'\n').next().unwrap_or_default();
    let token = String::from_utf8_lossy(first_line);
    let logical = call.token.rsplit_once('.').map_or("", |(logical, _)| logical);
    let same_request = token.rsplit_once('.').is_some_and(|(other, _)| other == logical);
    call.key.is_some() && same_request && response.body == expected_body(&token, size)
}
