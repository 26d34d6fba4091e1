//! Reads a history and judges every promise.

use std::collections::{BTreeMap, HashMap, HashSet};

use serde::{Deserialize, Serialize};

use crate::history::{CallEnd, EventKind, Execution, History};

/// Time after which a leaving instance must get no new work, in microseconds.
const LEAVING_GRACE_US: u64 = 2_000_000;
/// Time after which the versions of the reachable nodes must agree, in microseconds.
const CONVERGENCE_US: u64 = 2_000_000;

/// The promises that are judged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Promise {
    /// A caller got a wrong or partial answer taken for whole.
    OwnWholeAnswer,
    /// A request that was told not to have run did run.
    NotRunDidNotRun,
    /// A request that may not be repeated ran more than once.
    AtMostOnce,
    /// More retries than the bound for one root request.
    RetryBound,
    /// New work reached an instance long after it announced that it is leaving.
    LeavingGetsNoWork,
    /// A planned stop cut off a request.
    PlannedStopCutsNothing,
    /// A node went back to an earlier version.
    VersionNeverReverts,
    /// A version was not in force on a node two seconds after it was published.
    VersionInForceInTime,
    /// Nodes ended on different versions.
    VersionsConverge,
    /// A refusal or failure without outcome or time to come back.
    RefusalSaysWhen,
}

/// One broken promise.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Violation {
    /// Which promise.
    pub promise: Promise,
    /// Where to look.
    pub detail: String,
}

/// All violations of a history.
pub fn check(history: &History) -> Vec<Violation> {
    let mut violations = own_answers(history);
    if history.judged {
        violations.extend(not_run(history));
        violations.extend(at_most_once(history));
        violations.extend(retry_bound(history));
        violations.extend(leaving(history));
        violations.extend(planned_stops(history));
        violations.extend(versions(history));
        violations.extend(refusals(history));
    }
    violations
}

fn violation(promise: Promise, detail: String) -> Violation {
    Violation { promise, detail }
}

fn own_answers(history: &History) -> Vec<Violation> {
    let wrong = history.calls.iter().filter(|call| call.end == CallEnd::WrongAnswer);
    wrong
        .map(|call| violation(Promise::OwnWholeAnswer, format!("token={} request={}", call.token, call.request)))
        .collect()
}

fn not_run(history: &History) -> Vec<Violation> {
    let ran: HashSet<&str> = history.executions.iter().map(|execution| execution.token.as_str()).collect();
    let told = history.calls.iter().filter(|call| call.outcome == "not-run" && ran.contains(call.token.as_str()));
    told.map(|call| violation(Promise::NotRunDidNotRun, format!("token={} request={}", call.token, call.request)))
        .collect()
}

fn at_most_once(history: &History) -> Vec<Violation> {
    let mut by_key: BTreeMap<(&str, &str), Vec<&Execution>> = BTreeMap::new();
    for execution in &history.executions {
        if let Some(key) = &execution.key {
            by_key.entry((key, &execution.call)).or_default().push(execution);
        }
    }
    let twice = by_key.into_iter().filter(|(_, executions)| executions.len() > 1);
    twice
        .map(|((key, call), executions)| {
            let runs: Vec<String> =
                executions.iter().map(|e| format!("{}@{} token={}", e.instance, e.start_us, e.token)).collect();
            violation(Promise::AtMostOnce, format!("key={key} call={call:?} runs={runs:?}"))
        })
        .collect()
}

fn retry_bound(history: &History) -> Vec<Violation> {
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

/// Executions that were retries, by root request.
pub fn retries_by_request(history: &History) -> HashMap<&str, u32> {
    let mut retries = HashMap::new();
    let retried = history.executions.iter().filter(|e| e.attempt > 0 && !e.request.is_empty());
    for execution in retried {
        *retries.entry(execution.request.as_str()).or_default() += 1;
    }
    retries
}

fn leaving(history: &History) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (position, event) in history.events.iter().enumerate() {
        let EventKind::Leaving(instance) = &event.what else {
            continue;
        };
        let back = |later: &&crate::history::Event| later.what == EventKind::Back(instance.clone());
        let until = history.events[position..].iter().find(back).map_or(u64::MAX, |later| later.at_us);
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

/// Judged only where nothing but planned stops can break a connection.
fn planned_stops(history: &History) -> Vec<Violation> {
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
    let rough = history.events.iter().any(|event| {
        matches!(
            event.what,
            EventKind::Kill(_) | EventKind::Freeze(..) | EventKind::Cut(_) | EventKind::CutOneWay(_)
        )
    });
    if planned && !rough {
        let broken = history.calls.iter().filter(|call| matches!(call.end, CallEnd::Broken | CallEnd::TimedOut));
        violations.extend(broken.map(|call| {
            violation(Promise::PlannedStopCutsNothing, format!("token={} target={}", call.token, call.target))
        }));
    }
    violations
}

fn versions(history: &History) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut last: BTreeMap<&str, (u64, &str)> = BTreeMap::new();
    let mut highest: HashMap<&str, u64> = HashMap::new();
    for sample in &history.versions {
        let seen = (sample.version, sample.digest.as_str());
        if let Some(before) = last.get(sample.node.as_str()).filter(|before| seen < **before) {
            violations.push(violation(
                Promise::VersionNeverReverts,
                format!("node={} from={}@{} to={}@{}", sample.node, before.0, before.1, seen.0, seen.1),
            ));
        }
        last.insert(&sample.node, seen);
        let place = sample.node.split('#').next().unwrap_or_default();
        let high = highest.entry(place).or_default();
        if sample.version > 0 && sample.version < *high {
            let detail = format!("node={} served version={} after {}", sample.node, sample.version, high);
            violations.push(violation(Promise::VersionNeverReverts, detail));
        }
        *high = (*high).max(sample.version);
    }
    violations.extend(convergence(history));
    violations.extend(in_force_in_time(history));
    violations
}

fn convergence(history: &History) -> Vec<Violation> {
    let Some(end) = history.versions.iter().map(|sample| sample.at_us).max() else {
        return Vec::new();
    };
    let disturbing = |event: &&crate::history::Event| {
        matches!(
            event.what,
            EventKind::Publish(..) | EventKind::Heal | EventKind::Start(_) | EventKind::Configuration(_)
        )
    };
    let last_change = history.events.iter().filter(disturbing).map(|event| event.at_us).max().unwrap_or(0);
    if end < last_change + CONVERGENCE_US {
        return Vec::new();
    }
    let mut finals: BTreeMap<&str, (u64, u64, &str)> = BTreeMap::new();
    for sample in &history.versions {
        let place = sample.node.split('#').next().unwrap_or_default();
        finals.insert(place, (sample.at_us, sample.version, &sample.digest));
    }
    let recent: Vec<_> = finals.iter().filter(|(_, (at, ..))| at + 1_000_000 > end).collect();
    let distinct: HashSet<(u64, &str)> =
        recent.iter().map(|(_, (_, version, digest))| (*version, *digest)).collect();
    if distinct.len() > 1 {
        return vec![violation(Promise::VersionsConverge, format!("nodes ended on {distinct:?}"))];
    }
    Vec::new()
}

fn refusals(history: &History) -> Vec<Violation> {
    let answered = history.calls.iter().filter(|call| call.end == CallEnd::Answered && call.status >= 500);
    let silent = answered.filter(|call| call.outcome.is_empty() || !call.retry_after);
    silent
        .map(|call| violation(Promise::RefusalSaysWhen, format!("token={} status={}", call.token, call.status)))
        .collect()
}

/// Time from each publication, followed by two undisturbed seconds, until every running
/// node showed that version or a higher one; in microseconds.
pub fn publication_times(history: &History) -> Vec<(u64, Option<u64>)> {
    let published = history.events.iter().filter_map(|event| match event.what {
        EventKind::Publish(version, _) => Some((event.at_us, version)),
        _ => None,
    });
    let undisturbed = published.filter(|(at, _)| !is_disturbed(history, *at));
    undisturbed.map(|(at, version)| (version, in_force_after(history, at, version))).collect()
}

/// True when something other than a publication happened shortly before or after `at`.
fn is_disturbed(history: &History, at: u64) -> bool {
    let near = |event: &&crate::history::Event| {
        event.at_us + 2 * CONVERGENCE_US > at && event.at_us < at + CONVERGENCE_US
    };
    let other =
        |event: &crate::history::Event| !matches!(event.what, EventKind::Publish(..) | EventKind::TriggerEnd);
    history.events.iter().filter(near).any(other)
}

/// Time after `at` from which on no sample shows less than `version`; `None` when the
/// samples end too early.
fn in_force_after(history: &History, at: u64, version: u64) -> Option<u64> {
    let end = history.versions.iter().map(|sample| sample.at_us).max().unwrap_or(0);
    if end < at + CONVERGENCE_US {
        return None;
    }
    let behind = history.versions.iter().filter(|sample| sample.at_us > at && sample.version < version);
    Some(behind.map(|sample| sample.at_us - at).max().unwrap_or(0))
}

fn in_force_in_time(history: &History) -> Vec<Violation> {
    let late = publication_times(history).into_iter().filter(|(_, time)| time.is_some_and(|t| t > CONVERGENCE_US));
    late.map(|(version, time)| {
        violation(Promise::VersionInForceInTime, format!("version={version} after_us={time:?}"))
    })
    .collect()
}
