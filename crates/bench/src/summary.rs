//! Summary of an experiment: `summary.json` and the printed table.

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
/// Number of consecutive bins that must reach [`RECOVERED_FRACTION`] for the system to count as
/// recovered.
const RECOVERED_BINS: usize = 3;
/// Fraction of the requests of a bin that must be answered.
const RECOVERED_FRACTION: f64 = 0.95;

/// The 50th and 99th percentile of a duration, in milliseconds.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Percentiles {
    pub p50: f64,
    pub p99: f64,
}

/// Offered and answered requests of one importance.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct AnsweredCount {
    pub offered: u64,
    pub answered: u64,
    pub fraction: f64,
}

/// Summary of one arm.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct ArmSummary {
    pub offered_per_second: f64,
    pub goodput_per_second: f64,
    /// Fraction of the busiest service's slot time that went into successful requests, from the
    /// start of the overload to its end (over the whole run if there is none).
    pub goodput_of_capacity: f64,
    /// Time from the end of the overload to full goodput; `None` without an overload, or if full
    /// goodput was not reached.
    pub recovery_seconds: Option<f64>,
    pub answered_by_importance: BTreeMap<u8, AnsweredCount>,
    pub added_latency_ms: Percentiles,
    pub own_processing_ms: Percentiles,
    pub processor_us_per_call: f64,
    pub retries_per_request_max: u32,
    /// Fraction of the executions whose root call was not successful.
    pub wasted_executions: f64,
    /// Time from a call to its refusal.
    pub refusal_ms: Percentiles,
    /// Longest time from the publication of a version until it was in force on every node, in
    /// seconds.
    pub bundle_seconds_max: Option<f64>,
    /// Share of each group in the slot time used by the first call of the traffic mix.
    pub group_shares: BTreeMap<String, f64>,
}

/// Summary of the whole experiment.
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

fn is_success(call: &ClientCall) -> bool {
    call.end == CallEnd::Answered && call.status == 200
}

/// One logical request: start of its first call, importance, and whether one of its calls was
/// successful.
pub struct LogicalRequest {
    pub start_us: u64,
    pub importance: u8,
    pub successful: bool,
}

/// Returns the logical requests of a history in order of their start.
pub fn logical_requests(history: &History) -> Vec<LogicalRequest> {
    let mut requests: BTreeMap<u64, LogicalRequest> = BTreeMap::new();
    for call in &history.calls {
        let request = requests.entry(call.logical).or_insert(LogicalRequest {
            start_us: call.start_us,
            importance: call.importance,
            successful: false,
        });
        request.start_us = request.start_us.min(call.start_us);
        request.successful |= is_success(call);
    }
    let mut requests: Vec<LogicalRequest> = requests.into_values().collect();
    requests.sort_by_key(|request| request.start_us);
    requests
}

/// Computes the summary of one arm.
pub fn summarise(experiment: &Experiment, result: &ArmResult) -> ArmSummary {
    let history = &result.history;
    let requests = logical_requests(history);
    let seconds = experiment.seconds;
    let successful = requests.iter().filter(|request| request.successful).count() as f64;
    let successful_calls: Vec<&ClientCall> =
        history.calls.iter().filter(|call| is_success(call) && call.work_us > 0).collect();
    let refused_calls =
        history.calls.iter().filter(|call| call.end == CallEnd::Answered && call.outcome == "not-run");
    ArmSummary {
        offered_per_second: requests.len() as f64 / seconds,
        goodput_per_second: successful / seconds,
        goodput_of_capacity: goodput_of_capacity(experiment, result),
        recovery_seconds: recovery_seconds(history, &requests),
        answered_by_importance: answered_by_importance(&requests),
        added_latency_ms: percentiles(
            successful_calls.iter().map(|call| (call.end_us - call.start_us).saturating_sub(call.work_us)),
        ),
        own_processing_ms: percentiles(successful_calls.iter().map(|call| call.own_us)),
        processor_us_per_call: result.processor_seconds * 1e6 / history.executions.len().max(1) as f64,
        retries_per_request_max: retries_by_request(history).into_values().max().unwrap_or(0),
        wasted_executions: wasted_fraction(history),
        refusal_ms: percentiles(refused_calls.map(|call| call.end_us - call.start_us)),
        bundle_seconds_max: publication_times(history)
            .into_iter()
            .filter_map(|(_, time)| time)
            .max()
            .map(|time| time as f64 / 1e6),
        group_shares: group_shares(experiment, history),
    }
}

fn answered_by_importance(requests: &[LogicalRequest]) -> BTreeMap<u8, AnsweredCount> {
    let mut by_importance: BTreeMap<u8, AnsweredCount> = BTreeMap::new();
    for request in requests {
        let answered = by_importance.entry(request.importance).or_default();
        answered.offered += 1;
        answered.answered += u64::from(request.successful);
        answered.fraction = answered.answered as f64 / answered.offered as f64;
    }
    by_importance
}

/// Start and end of the time in which goodput is measured, Unix time in microseconds.
fn measurement_window(experiment: &Experiment, result: &ArmResult) -> (u64, u64) {
    let phases = &experiment.scenario.phases;
    let begin = phases.get(1).map(|phase| phase.from);
    let slow = result.history.events.iter().find(|event| matches!(event.what, EventKind::Slow(_, f) if f > 1.0));
    let end =
        result.history.events.iter().find(|event| event.what == EventKind::TriggerEnd).map(|event| event.at_us);
    let begin = begin.map(|from| result.start_us + (from * 1e6) as u64).or(slow.map(|event| event.at_us));
    let whole = (result.start_us, result.start_us + (experiment.seconds * 1e6) as u64);
    (begin.unwrap_or(whole.0), end.unwrap_or(whole.1))
}

/// Useful slot time of the busiest service over all its slot time, within the measurement window.
///
/// Executions are useful if their root call was successful. A count of requests would depend on
/// which kinds are served first, because they differ in cost.
fn goodput_of_capacity(experiment: &Experiment, result: &ArmResult) -> f64 {
    let (begin, end) = measurement_window(experiment, result);
    let successful = successful_tokens(&result.history);
    let mut slot_us: HashMap<&str, u64> = HashMap::new();
    for execution in result.history.executions.iter().filter(|e| successful.contains(root_token(&e.token))) {
        let Some(endpoint) = experiment.spec.endpoint(&execution.call) else {
            continue;
        };
        let overlap_us = execution.end_us.min(end).saturating_sub(execution.start_us.max(begin));
        *slot_us.entry(endpoint.service.as_str()).or_default() += overlap_us;
    }
    let utilisation = |service: &ServiceSpec| {
        let slots = f64::from(service.slots) * service.instances as f64;
        slot_us.get(service.name.as_str()).copied().unwrap_or(0) as f64 / (slots * (end - begin) as f64)
    };
    experiment.spec.services.iter().map(utilisation).fold(0.0, f64::max)
}

/// Fraction of the requests starting in each bin that were successful.
pub fn answered_bins(requests: &[LogicalRequest], from_us: u64) -> Vec<f64> {
    let mut bins: Vec<(u32, u32)> = Vec::new();
    for request in requests.iter().filter(|request| request.start_us >= from_us) {
        let index = ((request.start_us - from_us) / BIN_US) as usize;
        if bins.len() <= index {
            bins.resize(index + 1, (0, 0));
        }
        bins[index].0 += 1;
        bins[index].1 += u32::from(request.successful);
    }
    bins.iter().map(|(offered, successful)| f64::from(*successful) / f64::from((*offered).max(1))).collect()
}

fn recovery_seconds(history: &History, requests: &[LogicalRequest]) -> Option<f64> {
    let end = history.events.iter().find(|event| event.what == EventKind::TriggerEnd)?.at_us;
    let bins = answered_bins(requests, end);
    let successful = |window: &[f64]| window.iter().all(|fraction| *fraction >= RECOVERED_FRACTION);
    bins.windows(RECOVERED_BINS).position(successful).map(|bin| bin as f64 * BIN_US as f64 / 1e6)
}

fn root_token(token: &str) -> &str {
    token.split('/').next().unwrap_or_default()
}

fn successful_tokens(history: &History) -> BTreeSet<&str> {
    history.calls.iter().filter(|call| is_success(call)).map(|call| call.token.as_str()).collect()
}

fn wasted_fraction(history: &History) -> f64 {
    let successful = successful_tokens(history);
    let wasted =
        history.executions.iter().filter(|execution| !successful.contains(root_token(&execution.token))).count();
    wasted as f64 / history.executions.len().max(1) as f64
}

fn group_shares(experiment: &Experiment, history: &History) -> BTreeMap<String, f64> {
    let Some(first) = experiment.spec.traffic.first() else {
        return BTreeMap::new();
    };
    let groups: HashMap<&str, &str> =
        history.calls.iter().map(|call| (call.token.as_str(), call.group.as_str())).collect();
    let mut slot_use: BTreeMap<String, f64> = BTreeMap::new();
    let executions_of_call =
        history.executions.iter().filter(|execution| execution.call == first.call && execution.end_us > 0);
    for execution in executions_of_call {
        if let Some(group) = groups.get(root_token(&execution.token)) {
            *slot_use.entry((*group).to_string()).or_default() += (execution.end_us - execution.start_us) as f64;
        }
    }
    let total: f64 = slot_use.values().sum();
    slot_use.values_mut().for_each(|share| *share /= total.max(1.0));
    slot_use
}

impl Summary {
    /// Computes the summary of all arms.
    pub fn from_results(experiment: &Experiment, results: &[ArmResult]) -> Self {
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

    /// Formats the summary as a plain-text table.
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
