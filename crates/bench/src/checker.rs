//! Checks a recorded history against the system's promises.

use std::collections::{BTreeMap, HashMap, HashSet};

use serde::{Deserialize, Serialize};

use crate::history::{CallEnd, EventKind, Execution, History};

/// Time after its announcement from which a leaving instance must get no new work, in microseconds.
const LEAVING_GRACE_US: u64 = 2_000_000;
/// Time after the last change within which the reachable nodes must agree on a bundle version, and
/// within which a published version must be in force, in microseconds.
const CONVERGENCE_US: u64 = 2_000_000;

/// Promises that the checker verifies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Promise {
    /// A response that a caller takes for complete is complete and belongs to its own call.
    OwnWholeAnswer,
    /// A call that was reported as not run was not executed.
    NotRunDidNotRun,
    /// A request that is not safe to retry runs at most once.
    AtMostOnce,
    /// The retries of one root request stay within their bound.
    RetryBound,
    /// An instance gets no new work from two seconds after it announces that it is leaving.
    LeavingGetsNoWork,
    /// A planned stop of a node cuts off no request.
    PlannedStopCutsNothing,
    /// A node never goes back to an earlier version.
    VersionNeverReverts,
    /// A published version is in force on every node within two seconds.
    VersionInForceInTime,
    /// All nodes end on the same version.
    VersionsConverge,
    /// A refusal or failure has an outcome and says when to retry.
    RefusalSaysWhen,
}

/// A broken promise.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Violation {
    /// The promise.
    pub promise: Promise,
    /// Keys and values that identify the calls, nodes or instances concerned.
    pub detail: String,
}

/// Returns all violations that a history shows. In arms without nodes only the responses are checked.
pub fn check(history: &History) -> Vec<Violation> {
    let mut violations = check_responses(history);
    if history.judged {
        violations.extend(check_not_run(history));
        violations.extend(check_at_most_once(history));
        violations.extend(check_retry_bound(history));
        violations.extend(check_leaving(history));
        violations.extend(check_planned_stops(history));
        violations.extend(check_versions(history));
        violations.extend(check_refusals(history));
    }
    violations
}

fn violation(promise: Promise, detail: String) -> Violation {
    Violation { promise, detail }
}

fn check_responses(history: &History) -> Vec<Violation> {
    let wrong = history.calls.iter().filter(|call| call.end == CallEnd::WrongAnswer);
    wrong
        .map(|call| violation(Promise::OwnWholeAnswer, format!("token={} request={}", call.token, call.request)))
        .collect()
}

fn check_not_run(history: &History) -> Vec<Violation> {
    let ran: HashSet<&str> = history.executions.iter().map(|execution| execution.token.as_str()).collect();
    let reported_not_run =
        history.calls.iter().filter(|call| call.outcome == "not-run" && ran.contains(call.token.as_str()));
    reported_not_run
        .map(|call| violation(Promise::NotRunDidNotRun, format!("token={} request={}", call.token, call.request)))
        .collect()
}

fn check_at_most_once(history: &History) -> Vec<Violation> {
    let mut by_key: BTreeMap<(&str, &str), Vec<&Execution>> = BTreeMap::new();
    for execution in &history.executions {
        if let Some(key) = &execution.key {
            by_key.entry((key, &execution.call)).or_default().push(execution);
        }
    }
    let repeated = by_key.into_iter().filter(|(_, executions)| executions.len() > 1);
    repeated
        .map(|((key, call), executions)| {
            let runs: Vec<String> =
                executions.iter().map(|e| format!("{}@{} token={}", e.instance, e.start_us, e.token)).collect();
            violation(Promise::AtMostOnce, format!("key={key} call={call:?} runs={runs:?}"))
        })
        .collect()
}

fn check_retry_bound(history: &History) -> Vec<Violation> {
    retries_by_request(history)
        .into_iter()
        .filter(|(_, retries)| *retries > history.retry_bound)
        .map(|(request, retries)| {
            violation(
                Promise::RetryBound,
                format!("request={request} retries={retries} bound={}", history.retry_bound),
            )
        })
        .collect()
}

/// Counts the executions that were retries, by root request.
pub fn retries_by_request(history: &History) -> HashMap<&str, u32> {
    let mut retries = HashMap::new();
    let retried = history.executions.iter().filter(|e| e.attempt > 0 && !e.request.is_empty());
    for execution in retried {
        *retries.entry(execution.request.as_str()).or_default() += 1;
    }
    retries
}

fn check_leaving(history: &History) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (position, event) in history.events.iter().enumerate() {
        let EventKind::Leaving(instance) = &event.what else {
            continue;
        };
        let returned = |later: &&crate::history::Event| later.what == EventKind::Back(instance.clone());
        let until = history.events[position..].iter().find(returned).map_or(u64::MAX, |later| later.at_us);
        let from = event.at_us + LEAVING_GRACE_US;
        let late = history
            .executions
            .iter()
            .filter(|e| e.instance == *instance && e.start_us > from && e.start_us < until);
        violations.extend(
            late.map(|e| violation(Promise::LeavingGetsNoWork, format!("instance={instance} token={}", e.token))),
        );
    }
    violations
}

/// Checks planned stops. Broken connections count as violations only in histories where nothing else
/// breaks connections: no kills, freezes or cuts.
fn check_planned_stops(history: &History) -> Vec<Violation> {
    let mut violations: Vec<Violation> = history
        .events
        .iter()
        .filter_map(|event| match &event.what {
            EventKind::StopCutOff(node) => {
                Some(violation(Promise::PlannedStopCutsNothing, format!("node={node}")))
            }
            _ => None,
        })
        .collect();
    let planned = history.events.iter().any(|event| matches!(event.what, EventKind::PlannedStop(_)));
    let disruptive = history.events.iter().any(|event| {
        matches!(
            event.what,
            EventKind::Kill(_) | EventKind::Freeze(..) | EventKind::Cut(_) | EventKind::CutOneWay(_)
        )
    });
    if planned && !disruptive {
        let broken = history.calls.iter().filter(|call| matches!(call.end, CallEnd::Broken | CallEnd::TimedOut));
        violations.extend(broken.map(|call| {
            violation(Promise::PlannedStopCutsNothing, format!("token={} target={}", call.token, call.target))
        }));
    }
    violations
}

fn check_versions(history: &History) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut last: BTreeMap<&str, (u64, &str)> = BTreeMap::new();
    let mut highest: HashMap<&str, u64> = HashMap::new();
    for sample in &history.versions {
        let current = (sample.version, sample.digest.as_str());
        if let Some(previous) = last.get(sample.node.as_str()).filter(|previous| current < **previous) {
            violations.push(violation(
                Promise::VersionNeverReverts,
                format!("node={} from={}@{} to={}@{}", sample.node, previous.0, previous.1, current.0, current.1),
            ));
        }
        last.insert(&sample.node, current);
        let node_name = sample.node.split('#').next().unwrap_or_default();
        let highest_of_node = highest.entry(node_name).or_default();
        if sample.version > 0 && sample.version < *highest_of_node {
            let detail =
                format!("node={} served version={} after {}", sample.node, sample.version, highest_of_node);
            violations.push(violation(Promise::VersionNeverReverts, detail));
        }
        *highest_of_node = (*highest_of_node).max(sample.version);
    }
    violations.extend(check_convergence(history));
    violations.extend(check_publication_times(history));
    violations
}

fn check_convergence(history: &History) -> Vec<Violation> {
    let Some(end) = history.versions.iter().map(|sample| sample.at_us).max() else {
        return Vec::new();
    };
    let changes_version = |event: &&crate::history::Event| {
        matches!(
            event.what,
            EventKind::Publish(..) | EventKind::Heal | EventKind::Start(_) | EventKind::Configuration(_)
        )
    };
    let last_change = history.events.iter().filter(changes_version).map(|event| event.at_us).max().unwrap_or(0);
    if end < last_change + CONVERGENCE_US {
        return Vec::new();
    }
    let mut last_samples: BTreeMap<&str, (u64, u64, &str)> = BTreeMap::new();
    for sample in &history.versions {
        let node_name = sample.node.split('#').next().unwrap_or_default();
        last_samples.insert(node_name, (sample.at_us, sample.version, &sample.digest));
    }
    let recent: Vec<_> = last_samples.iter().filter(|(_, (at, ..))| at + 1_000_000 > end).collect();
    let distinct: HashSet<(u64, &str)> =
        recent.iter().map(|(_, (_, version, digest))| (*version, *digest)).collect();
    if distinct.len() > 1 {
        return vec![violation(Promise::VersionsConverge, format!("nodes ended on {distinct:?}"))];
    }
    Vec::new()
}

fn check_refusals(history: &History) -> Vec<Violation> {
    let answered = history.calls.iter().filter(|call| call.end == CallEnd::Answered && call.status >= 500);
    let incomplete = answered.filter(|call| call.outcome.is_empty() || !call.retry_after);
    incomplete
        .map(|call| violation(Promise::RefusalSaysWhen, format!("token={} status={}", call.token, call.status)))
        .collect()
}

/// For each published version, the time in microseconds until every running node had that version or
/// a higher one in force. Leaves out publications with another event in the four seconds before or
/// the two seconds after them.
pub fn publication_times(history: &History) -> Vec<(u64, Option<u64>)> {
    let published = history.events.iter().filter_map(|event| match event.what {
        EventKind::Publish(version, _) => Some((event.at_us, version)),
        _ => None,
    });
    let undisturbed = published.filter(|(at, _)| !is_disturbed(history, *at));
    undisturbed.map(|(at, version)| (version, in_force_after(history, at, version))).collect()
}

/// Returns true if an event other than a publication or the end of an overload happened shortly
/// before or after `at`.
fn is_disturbed(history: &History, at: u64) -> bool {
    let is_near = |event: &&crate::history::Event| {
        event.at_us + 2 * CONVERGENCE_US > at && event.at_us < at + CONVERGENCE_US
    };
    let is_other =
        |event: &crate::history::Event| !matches!(event.what, EventKind::Publish(..) | EventKind::TriggerEnd);
    history.events.iter().filter(is_near).any(is_other)
}

/// Time after `at` from which on no sample shows a version below `version`; `None` if the samples
/// end before the time allowed for a version to be in force.
fn in_force_after(history: &History, at: u64, version: u64) -> Option<u64> {
    let end = history.versions.iter().map(|sample| sample.at_us).max().unwrap_or(0);
    if end < at + CONVERGENCE_US {
        return None;
    }
    let behind = history.versions.iter().filter(|sample| sample.at_us > at && sample.version < version);
    Some(behind.map(|sample| sample.at_us - at).max().unwrap_or(0))
}

fn check_publication_times(history: &History) -> Vec<Violation> {
    let late = publication_times(history).into_iter().filter(|(_, time)| time.is_some_and(|t| t > CONVERGENCE_US));
    late.map(|(version, time)| {
        violation(Promise::VersionInForceInTime, format!("version={version} after_us={time:?}"))
    })
    .collect()
}
