//! `summary.json` and the table.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::path::Path;

use serde::{Deserialize, Serialize};

use crate::checker::{Violation, check, publication_times, retries_by_request};
use crate::error::BenchError;
use crate::experiment::{ArmResult, Experiment};
use crate::history::{CallEnd, ClientCall, EventKind, History};
use crate::spec::ServiceSpec;

/// Width of a bin of the goodput curve, in microseconds.
pub const BIN_US: u64 = 100_000;
/// Bins that must be good in a row for the system to count as recovered.
const GOOD_BINS: usize = 3;
/// Part of the requests of a bin that must be answered.
const GOOD_FRACTION: f64 = 0.95;

/// Two percentiles, in milliseconds.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Percentiles {
    pub p50: f64,
    pub p99: f64,
}

/// Answered part of the requests of one importance.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Answered {
    pub offered: u64,
    pub answered: u64,
    pub fraction: f64,
}

/// One arm.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct ArmSummary {
    pub offered_per_second: f64,
    pub goodput_per_second: f64,
    /// Part of the busiest service's slot time, from the trigger's begin to its end (the
    /// whole run without one), that went into requests answered well.
    pub goodput_of_capacity: f64,
    /// From the trigger's end to full goodput; `None` without a trigger, or when it was not reached.
    pub recovery_seconds: Option<f64>,
    pub answered_by_importance: BTreeMap<u8, Answered>,
    pub added_latency_ms: Percentiles,
    pub own_processing_ms: Percentiles,
    pub processor_us_per_call: f64,
    pub retries_per_request_max: u32,
    /// Executions whose root request was not answered well, over all executions.
    pub wasted_executions: f64,
    /// Time to a refusal.
    pub refusal_ms: Percentiles,
    /// Longest time until a published version was in force on every node, in seconds.
    pub bundle_seconds_max: Option<f64>,
    /// Slot time used by each group at the first traffic call's service, over all of it.
    pub group_shares: BTreeMap<String, f64>,
}

/// The whole experiment.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Summary {
    pub deployment: String,
    pub scenario: String,
    pub seed: u64,
    pub arms: BTreeMap<String, ArmSummary>,
    pub violations: Vec<Violation>,
}

fn percentiles(values: impl Iterator<Item = u64>) -> Percentiles {
    let mut sorted: Vec<u64> = values.collect();
    sorted.sort_unstable();
    let at = |fraction: f64| {
        let index = (sorted.len() as f64 * fraction) as usize;
        sorted.get(index.min(sorted.len().saturating_sub(1))).map_or(0.0, |value| *value as f64 / 1_000.0)
    };
    Percentiles { p50: at(0.5), p99: at(0.99) }
}

fn is_good(call: &ClientCall) -> bool {
    call.end == CallEnd::Answered && call.status == 200
}

/// One logical request: its first call's start, importance, group, and whether it was answered.
pub struct Logical {
    pub start_us: u64,
    pub importance: u8,
    pub good: bool,
}

/// Logical requests in order of their start.
pub fn logical_requests(history: &History) -> Vec<Logical> {
    let mut requests: BTreeMap<u64, Logical> = BTreeMap::new();
    for call in &history.calls {
        let request = requests.entry(call.logical).or_insert(Logical {
            start_us: call.start_us,
            importance: call.importance,
            good: false,
        });
        request.start_us = request.start_us.min(call.start_us);
        request.good |= is_good(call);
    }
    let mut requests: Vec<Logical> = requests.into_values().collect();
    requests.sort_by_key(|request| request.start_us);
    requests
}

/// Summary of one arm.
pub fn summarise(experiment: &Experiment, result: &ArmResult) -> ArmSummary {
    let history = &result.history;
    let requests = logical_requests(history);
    let seconds = experiment.seconds;
    let good = requests.iter().filter(|request| request.good).count() as f64;
    let good_calls: Vec<&ClientCall> =
        history.calls.iter().filter(|call| is_good(call) && call.work_us > 0).collect();
    let refused = history.calls.iter().filter(|call| call.end == CallEnd::Answered && call.outcome == "not-run");
    ArmSummary {
        offered_per_second: requests.len() as f64 / seconds,
        goodput_per_second: good / seconds,
        goodput_of_capacity: goodput_of_capacity(experiment, result),
        recovery_seconds: recovery_seconds(history, &requests),
        answered_by_importance: answered_by_importance(&requests),
        added_latency_ms: percentiles(
            good_calls.iter().map(|call| (call.end_us - call.start_us).saturating_sub(call.work_us)),
        ),
        own_processing_ms: percentiles(good_calls.iter().map(|call| call.own_us)),
        processor_us_per_call: result.processor_seconds * 1e6 / history.executions.len().max(1) as f64,
        retries_per_request_max: retries_by_request(history).into_values().max().unwrap_or(0),
        wasted_executions: wasted(history),
        refusal_ms: percentiles(refused.map(|call| call.end_us - call.start_us)),
        bundle_seconds_max: publication_times(history)
            .into_iter()
            .filter_map(|(_, time)| time)
            .max()
            .map(|time| time as f64 / 1e6),
        group_shares: group_shares(experiment, history),
    }
}

fn answered_by_importance(requests: &[Logical]) -> BTreeMap<u8, Answered> {
    let mut by_importance: BTreeMap<u8, Answered> = BTreeMap::new();
    for request in requests {
        let answered = by_importance.entry(request.importance).or_default();
        answered.offered += 1;
        answered.answered += u64::from(request.good);
        answered.fraction = answered.answered as f64 / answered.offered as f64;
    }
    by_importance
}

/// Begin and end of the time that is judged, Unix time in microseconds.
fn window(experiment: &Experiment, result: &ArmResult) -> (u64, u64) {
    let phases = &experiment.scenario.phases;
    let begin = phases.get(1).map(|phase| phase.from);
    let slow = result.history.events.iter().find(|event| matches!(event.what, EventKind::Slow(_, f) if f > 1.0));
    let end =
        result.history.events.iter().find(|event| event.what == EventKind::TriggerEnd).map(|event| event.at_us);
    let begin = begin.map(|from| result.start_us + (from * 1e6) as u64).or(slow.map(|event| event.at_us));
    let whole = (result.start_us, result.start_us + (experiment.seconds * 1e6) as u64);
    (begin.unwrap_or(whole.0), end.unwrap_or(whole.1))
}

/// Useful slot time of the busiest service over all its slot time, within the window.
///
/// Useful are executions whose root request was answered well. A count of requests would
/// depend on which kinds are served first, since they cost differently.
fn goodput_of_capacity(experiment: &Experiment, result: &ArmResult) -> f64 {
    let (begin, end) = window(experiment, result);
    let good = good_tokens(&result.history);
    let mut used: HashMap<&str, u64> = HashMap::new();
    for execution in result.history.executions.iter().filter(|e| good.contains(root_token(&e.token))) {
        let Some(endpoint) = experiment.spec.endpoint(&execution.call) else {
            continue;
        };
        let within = execution.end_us.min(end).saturating_sub(execution.start_us.max(begin));
        *used.entry(endpoint.service.as_str()).or_default() += within;
    }
    let of_service = |service: &ServiceSpec| {
        let slots = f64::from(service.slots) * service.instances as f64;
        used.get(service.name.as_str()).copied().unwrap_or(0) as f64 / (slots * (end - begin) as f64)
    };
    experiment.spec.services.iter().map(of_service).fold(0.0, f64::max)
}

/// Answered fraction of the requests that started in each bin.
pub fn answered_bins(requests: &[Logical], from_us: u64) -> Vec<f64> {
    let mut bins: Vec<(u32, u32)> = Vec::new();
    for request in requests.iter().filter(|request| request.start_us >= from_us) {
        let index = ((request.start_us - from_us) / BIN_US) as usize;
        if bins.len() <= index {
            bins.resize(index + 1, (0, 0));
        }
        bins[index].0 += 1;
        bins[index].1 += u32::from(request.good);
    }
    bins.iter().map(|(offered, good)| f64::from(*good) / f64::from((*offered).max(1))).collect()
}

fn recovery_seconds(history: &History, requests: &[Logical]) -> Option<f64> {
    let end = history.events.iter().find(|event| event.what == EventKind::TriggerEnd)?.at_us;
    let bins = answered_bins(requests, end);
    let good = |window: &[f64]| window.iter().all(|fraction| *fraction >= GOOD_FRACTION);
    bins.windows(GOOD_BINS).position(good).map(|bin| bin as f64 * BIN_US as f64 / 1e6)
}

fn root_token(token: &str) -> &str {
    token.split('/').next().unwrap_or_default()
}

fn good_tokens(history: &History) -> BTreeSet<&str> {
    history.calls.iter().filter(|call| is_good(call)).map(|call| call.token.as_str()).collect()
}

fn wasted(history: &History) -> f64 {
    let good = good_tokens(history);
    let wasted =
        history.executions.iter().filter(|execution| !good.contains(root_token(&execution.token))).count();
    wasted as f64 / history.executions.len().max(1) as f64
}

fn group_shares(experiment: &Experiment, history: &History) -> BTreeMap<String, f64> {
    let Some(first) = experiment.spec.traffic.first() else {
        return BTreeMap::new();
    };
    let groups: HashMap<&str, &str> =
        history.calls.iter().map(|call| (call.token.as_str(), call.group.as_str())).collect();
    let mut used: BTreeMap<String, f64> = BTreeMap::new();
    let of_call =
        history.executions.iter().filter(|execution| execution.call == first.call && execution.end_us > 0);
    for execution in of_call {
        if let Some(group) = groups.get(root_token(&execution.token)) {
            *used.entry((*group).to_string()).or_default() += (execution.end_us - execution.start_us) as f64;
        }
    }
    let total: f64 = used.values().sum();
    used.values_mut().for_each(|share| *share /= total.max(1.0));
    used
}

impl Summary {
    /// The summary of all arms.
    pub fn of(experiment: &Experiment, results: &[ArmResult]) -> Self {
        let mut arms = BTreeMap::new();
        let mut violations = Vec::new();
        for result in results {
            arms.insert(result.arm.name().to_string(), summarise(experiment, result));
            violations.extend(check(&result.history));
        }
        Summary {
            deployment: experiment.spec.deployment.clone(),
            scenario: experiment.scenario.name.clone(),
            seed: experiment.seed,
            arms,
            violations,
        }
    }

    /// Writes `summary.json`.
    pub fn write(&self, out: &Path) -> Result<(), BenchError> {
        let text = serde_json::to_string_pretty(self).unwrap_or_default();
        std::fs::write(out.join("summary.json"), text).map_err(|error| BenchError::File(error.to_string()))
    }

    /// The table for people.
    pub fn table(&self) -> String {
        let mut lines = vec![
            format!("deployment={} scenario={} seed={}", self.deployment, self.scenario, self.seed),
            format!(
                "{:<13}{:>10}{:>9}{:>10}{:>10}{:>16}{:>16}{:>9}{:>9}{:>8}{:>16}",
                "arm",
                "offered/s",
                "good/s",
                "of slots",
                "recovery",
                "added ms 50/99",
                "own ms 50/99",
                "cpu us",
                "retries",
                "wasted",
                "refusal 50/99"
            ),
        ];
        for (name, arm) in &self.arms {
            let recovery = arm.recovery_seconds.map_or("-".to_string(), |seconds| format!("{seconds:.1} s"));
            lines.push(format!(
                "{name:<13}{:>10.1}{:>9.1}{:>9.1}%{recovery:>10}{:>16}{:>16}{:>9.1}{:>9}{:>7.2}%{:>16}",
                arm.offered_per_second,
                arm.goodput_per_second,
                arm.goodput_of_capacity * 100.0,
                format!("{:.2}/{:.2}", arm.added_latency_ms.p50, arm.added_latency_ms.p99),
                format!("{:.2}/{:.2}", arm.own_processing_ms.p50, arm.own_processing_ms.p99),
                arm.processor_us_per_call,
                arm.retries_per_request_max,
                arm.wasted_executions * 100.0,
                format!("{:.2}/{:.2}", arm.refusal_ms.p50, arm.refusal_ms.p99),
            ));
        }
        for (name, arm) in &self.arms {
            let answered: Vec<String> = arm
                .answered_by_importance
                .iter()
                .rev()
                .map(|(level, answered)| format!("{level}: {:.2}%", answered.fraction * 100.0))
                .collect();
            lines.push(format!("answered by importance, {name}: {}", answered.join("  ")));
        }
        lines.push(format!("violations: {}", self.violations.len()));
        for violation in self.violations.iter().take(10) {
            lines.push(format!("  {:?} {}", violation.promise, violation.detail));
        }
        lines.join("\n")
    }
}
