//! Makes the requests of a schedule and records them.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use olivegate_types::header;

use crate::back_ends::instance::{TOKEN, WORK_US, expected_body, header_text};
use crate::history::{CallEnd, ClientCall};
use crate::load::client::{Exchange, HttpPool, WholeAnswer};
use crate::load::schedule::Arrival;
use crate::spec::DeploymentSpec;
use crate::wall_clock::unix_us;

/// Time that clients wait beyond the deadline they name.
const PATIENCE: Duration = Duration::from_millis(500);

/// Targets tried when no connection can be made.
const FAILOVERS: u32 = 3;

/// How clients behave.
#[derive(Debug, Clone, Copy)]
pub struct ClientBehaviour {
    /// Attempts per logical request.
    pub attempts: u32,
    /// True when clients wait as long as they are told to.
    pub honours_retry_after: bool,
    /// Deadline named, in milliseconds.
    pub deadline_ms: u64,
    /// Sends each keyed request to two targets at once.
    pub duplicates: bool,
}

/// Chooses the target of an attempt: called with the arrival and the attempt's number.
pub type Targets = Arc<dyn Fn(&Arrival, u32) -> Option<(String, SocketAddr)> + Send + Sync>;

/// The clients of one arm.
pub struct Driver {
    pub spec: DeploymentSpec,
    pub behaviour: ClientBehaviour,
    pub targets: Targets,
    pub importance: Arc<dyn Fn(&str) -> u8 + Send + Sync>,
    pub keyed: Arc<dyn Fn(&str) -> bool + Send + Sync>,
    pub run_name: String,
    pool: HttpPool,
    calls: Mutex<Vec<ClientCall>>,
}

impl Driver {
    /// Clients that have made no call yet.
    pub fn new(
        spec: DeploymentSpec,
        behaviour: ClientBehaviour,
        targets: Targets,
        importance: Arc<dyn Fn(&str) -> u8 + Send + Sync>,
        keyed: Arc<dyn Fn(&str) -> bool + Send + Sync>,
        run_name: String,
    ) -> Self {
        let (pool, calls) = (HttpPool::default(), Mutex::default());
        Driver { spec, behaviour, targets, importance, keyed, run_name, pool, calls }
    }

    /// Makes all requests and waits for their ends.
    pub async fn run(self: &Arc<Self>, arrivals: Vec<Arrival>) {
        let start = Instant::now();
        let mut tasks = tokio::task::JoinSet::new();
        for arrival in arrivals {
            let at = start + Duration::from_secs_f64(arrival.at);
            tokio::time::sleep_until(at.into()).await;
            let driver = self.clone();
            if self.behaviour.duplicates && (self.keyed)(&arrival.call) {
                let mut twin = arrival.clone();
                twin.pick = arrival.pick.wrapping_add(1);
                let driver = self.clone();
                tasks.spawn(async move { driver.logical(twin, "b").await });
            }
            tasks.spawn(async move { driver.logical(arrival, "").await });
            while tasks.try_join_next().is_some() {}
        }
        while tasks.join_next().await.is_some() {}
    }

    async fn logical(&self, arrival: Arrival, twin: &str) {
        for attempt in 0..self.behaviour.attempts {
            let call = self.attempt(&arrival, attempt, twin).await;
            let done = call.end == CallEnd::Answered && call.status < 500;
            let wait = if self.behaviour.honours_retry_after { call_retry_after(&call) } else { Duration::ZERO };
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

    /// Takes all records.
    pub fn take_calls(&self) -> Vec<ClientCall> {
        std::mem::take(&mut *self.calls.lock().unwrap_or_else(std::sync::PoisonError::into_inner))
    }

    async fn attempt(&self, arrival: &Arrival, attempt: u32, twin: &str) -> ClientCall {
        let group = &self.spec.groups[arrival.group];
        let token = format!("{}.{}.{attempt}{twin}", self.run_name, arrival.logical);
        let key = (self.keyed)(&arrival.call).then(|| format!("{}-{}", self.run_name, arrival.logical));
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
        for failover in 0..FAILOVERS {
            let Some((name, address)) = (self.targets)(arrival, attempt + failover) else {
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
        let timeout = Duration::from_millis(self.behaviour.deadline_ms) + PATIENCE;
        let exchange = self.pool.exchange(address, endpoint.method(), endpoint.path(), headers, timeout).await;
        call.end_us = unix_us();
        match exchange {
            Exchange::Answered(answer) => read_answer(call, &answer, endpoint.body_bytes),
            Exchange::Broken => call.end = CallEnd::Broken,
            Exchange::TimedOut => call.end = CallEnd::TimedOut,
            Exchange::NotConnected => call.end = CallEnd::NotConnected,
        }
        tokio::time::sleep(delay).await;
    }
}

/// Time to wait before the next attempt: at least what a polite client waits.
fn call_retry_after(call: &ClientCall) -> Duration {
    Duration::from_millis(if call.retry_after { 400 } else { 100 })
}

fn read_answer(call: &mut ClientCall, answer: &WholeAnswer, size: usize) {
    let number = |name| header_text(&answer.headers, name).and_then(|value| value.parse().ok()).unwrap_or(0);
    let copied = |name| header_text(&answer.headers, name).unwrap_or_default().to_string();
    call.status = answer.status;
    call.outcome = copied(header::OUTCOME);
    call.request = copied(header::REQUEST_ID);
    call.retry_after = answer.headers.contains_key("retry-after");
    call.own_us = number(header::OWN_PROCESSING_US);
    call.work_us = number(WORK_US);
    call.end = CallEnd::Answered;
    if answer.status == 200 && !is_own_answer(call, answer, size) {
        call.end = CallEnd::WrongAnswer;
    }
}

/// A whole answer holds the call's own token, or, for a keyed call that was answered
/// from an earlier attempt of the same logical request, that attempt's token.
fn is_own_answer(call: &ClientCall, answer: &WholeAnswer, size: usize) -> bool {
    if answer.body == expected_body(&call.token, size) {
        return true;
    }
    let first_line = answer.body.split(|byte| *byte == b'\n').next().unwrap_or_default();
    let token = String::from_utf8_lossy(first_line);
    let logical = call.token.rsplit_once('.').map_or("", |(logical, _)| logical);
    let same_logical = token.rsplit_once('.').is_some_and(|(other, _)| other == logical);
    call.key.is_some() && same_logical && answer.body == expected_body(&token, size)
}
