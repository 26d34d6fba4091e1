//! Judges the promises of the pages from what was seen. Pure.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt;

use super::record::{Call, CallEnd, CallPurpose, Disturbance, Leaving, Promised, Record, Run};

/// Part of the requests of the last seconds that have to be served.
const RECOVERED_PART: f64 = 0.9;
/// Length of those last seconds.
pub const LAST_S: f64 = 5.0;
/// Statuses that say that the request was not run and never will be.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// What is promised.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Promise {
    /// Each caller gets the whole answer to its own request.
    OwnWholeAnswer,
    /// What may not be repeated runs at most once.
    AtMostOnce,
    /// What is said not to have run did not run.
    NotRunDidNotRun,
    /// A request reaches no more instances than its route allows.
    AttemptsBounded,
    /// Instances run only what callers asked for, unchanged.
    OnlyWhatWasAsked,
    /// A leaving instance gets nothing new.
    LeavingGetsNothing,
    /// A planned stop cuts off nothing.
    StopCutsNothing,
    /// A version is in force in time.
    VersionInForce,
    /// A version never goes back within a life of a process.
    VersionNeverBack,
    /// A refusal says when to come back.
    RefusalSaysWhen,
    /// A route that is configured is not denied.
    NotDenied,
    /// Everything is served again after the faults.
    Recovers,
    /// Processes end only when they are told to.
    ProcessLives,
    /// A key goes no further than the edge.
    KeyStaysAtEdge,
    /// Instances are told the tenant that holds the key.
    TenantIsTold,
    /// Only keys that are held run, and withdrawn ones no longer than is promised.
    OnlyHeldKeysRun,
    /// A tenant's requests keep to its quota over all machines.
    QuotaKept,
    /// A content that has ended three instances soon reaches none any more.
    DeadlyContentHeld,
    /// No request is refused for want of an instance while a sound one lives that all nodes can know.
    SoundInstanceTakes,
    /// An instance gets no more requests a second than it names in its answers.
    DeclaredRateKept,
    /// An instance that says in its answers that it leaves gets nothing new.
    SaidLeavingGetsNothing,
}

/// A broken promise.
#[derive(Debug, Clone, PartialEq)]
pub struct Violation {
    /// Which.
    pub promise: Promise,
    /// Request, instance or machine.
    pub subject: String,
    /// When.
    pub at_s: f64,
    /// What was seen.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Violation { promise, subject, at_s, detail } = self;
        write!(formatter, "promise={promise:?} subject={subject} at_s={at_s:.3} {detail}")
    }
}

/// A record with its requests by id.
pub(super) struct Case<'a> {
    pub(super) record: &'a Record,
    pub(super) promised: &'a Promised,
    pub(super) calls: HashMap<&'a str, &'a Call>,
    runs: HashMap<&'a str, Vec<&'a Run>>,
}

/// The longest time from the word of an instance that it leaves to the begin of a run there that machines
/// in touch sent on, in seconds: what is left of the promise is the margin.
pub fn last_run_after_leaving_s(record: &Record, promised: &Promised) -> f64 {
    let case = Case::of(record, promised);
    case.after_leaving().map(|(run, _, left)| run.at_s - left.acknowledged_s).fold(0.0, f64::max)
}

impl<'a> Case<'a> {
    fn of(record: &'a Record, promised: &'a Promised) -> Self {
        let calls = record.calls.iter().map(|call| (call.id.as_str(), call)).collect();
        let mut runs: HashMap<&str, Vec<&Run>> = HashMap::new();
        for run in &record.runs {
            runs.entry(&run.id).or_default().push(run);
        }
        Case { record, promised, calls, runs }
    }
}

/// All broken promises, in order of time.
pub fn judge(record: &Record, promised: &Promised) -> Vec<Violation> {
    let case = Case::of(record, promised);
    let mut violations = case.answers();
    violations.extend(case.runs_of_calls());
    violations.extend(case.asked());
    violations.extend(case.leaving());
    violations.extend(case.stops());
    violations.extend(case.versions());
    violations.extend(case.versions_back());
    violations.extend(case.recovery());
    violations.extend(case.processes());
    violations.extend(case.tenants_told());
    violations.extend(case.keys_held());
    violations.extend(case.quota());
    violations.extend(case.deadly());
    violations.extend(case.declared());
    violations.extend(case.refused_beside_sound_instances());
    violations.sort_by(|left, right| left.at_s.total_cmp(&right.at_s));
    violations
}

pub(super) fn of_call(promise: Promise, call: &Call, detail: String) -> Violation {
    let detail = format!("{detail} machine={} asked={:?} end={:?}", call.machine, call.asked, call.end);
    Violation { promise, subject: call.id.clone(), at_s: call.sent_s, detail }
}

pub(super) fn of_run(promise: Promise, run: &Run, detail: &str) -> Violation {
    let detail = format!("{detail} machine={} instance={} asked={:?}", run.machine, run.instance, run.asked);
    Violation { promise, subject: run.id.clone(), at_s: run.at_s, detail }
}

impl Case<'_> {
    /// Where and when a request ran, and what had disturbed those machines by then.
    fn places_of(&self, runs: &[&Run]) -> String {
        let place = |run: &&Run| {
            let Run { instance, machine, at_s, .. } = run;
            format!("{instance} at {at_s:.3} s on machine {machine} ({})", self.disturbances_before(run))
        };
        format!("ran as {}", runs.iter().map(place).collect::<Vec<String>>().join(", "))
    }

    fn disturbances_before(&self, run: &Run) -> String {
        let is_recent = |disturbance: &&Disturbance| {
            let from_s = run.at_s - self.promised.contact_s;
            disturbance.machine == Some(run.machine)
                && disturbance.from_s <= run.at_s
                && disturbance.until_s >= from_s
        };
        let recent: Vec<String> = self
            .record
            .disturbances
            .iter()
            .filter(is_recent)
            .map(|disturbance| format!("disturbed {:.3} to {:.3} s", disturbance.from_s, disturbance.until_s))
            .collect();
        if recent.is_empty() { "calm".into() } else { recent.join(", ") }
    }

    pub(super) fn runs_of(&self, call: &Call) -> &[&Run] {
        self.runs.get(call.id.as_str()).map_or(&[], Vec::as_slice)
    }

    fn answers(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        for call in &self.record.calls {
            match call.end {
                CallEnd::WrongAnswer => {
                    violations.push(of_call(Promise::OwnWholeAnswer, call, "not its own whole answer".into()));
                }
                CallEnd::NodeFailed { status: 503, names_return: false, .. } => {
                    violations.push(of_call(Promise::RefusalSaysWhen, call, "no time to come back".into()));
                }
                CallEnd::NodeFailed { status, .. } if is_denial(status) && is_always_allowed(call) => {
                    violations.push(of_call(Promise::NotDenied, call, "a configured route was denied".into()));
                }
                _ => {}
            }
        }
        violations
    }

    fn runs_of_calls(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        for call in &self.record.calls {
            let runs = self.runs_of(call);
            if runs.len() > 1 && !call.repeatable {
                violations.push(of_call(Promise::AtMostOnce, call, self.places_of(runs)));
            }
            if runs.len() > call.attempts as usize {
                let detail = format!("{}, {} allowed", self.places_of(runs), call.attempts);
                violations.push(of_call(Promise::AttemptsBounded, call, detail));
            }
            let is_told_not_run =
                matches!(call.end, CallEnd::NodeFailed { status, .. } if NOT_RUN.contains(&status));
            if is_told_not_run && !runs.is_empty() {
                violations.push(of_call(Promise::NotRunDidNotRun, call, "it ran".into()));
            }
        }
        violations
    }

    fn asked(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        for run in &self.record.runs {
            let Some(call) = self.calls.get(run.id.as_str()) else {
                violations.push(of_run(Promise::OnlyWhatWasAsked, run, "nobody asked for it"));
                continue;
            };
            let origin = &self.record.services[call.machine];
            let is_as_asked = run.asked == call.asked && run.body_is_whole && run.service == call.service;
            if !is_as_asked || run.caller != *origin {
                violations.push(of_run(Promise::OnlyWhatWasAsked, run, "changed on its way"));
            }
        }
        violations
    }

    fn leaving(&self) -> Vec<Violation> {
        let bound_s = self.promised.drain_s + self.promised.slack_s;
        let is_late = |(run, call, left): &(&Run, &Call, &Leaving)| {
            let bound_s = left.acknowledged_s + bound_s;
            run.at_s > bound_s && call.sent_s > bound_s
        };
        let late = self.after_leaving().filter(is_late);
        late.map(|(run, _, _)| of_run(Promise::LeavingGetsNothing, run, "the instance had left")).collect()
    }

    /// Runs that began after the instance had said that it leaves, sent on by machines in touch since
    /// before that.
    fn after_leaving(&self) -> impl Iterator<Item = (&Run, &Call, &Leaving)> {
        let left: HashMap<&str, &Leaving> =
            self.record.leaving.iter().map(|left| (left.instance.as_str(), left)).collect();
        let with_leaving = move |run: &'_ _| left.get((run as &Run).instance.as_str()).copied();
        self.record.runs.iter().filter_map(move |run| {
            let left = with_leaving(run).filter(|left| run.at_s > left.acknowledged_s)?;
            let call = *self.calls.get(run.id.as_str())?;
            let is_in_touch =
                |machine| self.record.is_in_touch(machine, left.acknowledged_s, run.at_s, self.promised);
            (is_in_touch(call.machine) && is_in_touch(run.machine)).then_some((run, call, left))
        })
    }

    fn stops(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        for stop in &self.record.stops {
            let from_s = stop.at_s - self.promised.contact_s;
            let is_calm = self.record.all_in_touch(from_s, stop.ended_s, self.promised);
            if is_calm && !stop.clean {
                violations.push(Violation {
                    promise: Promise::StopCutsNothing,
                    subject: format!("machine-{}", stop.machine),
                    at_s: stop.at_s,
                    detail: "the process says that it cut off requests".into(),
                });
            }
            let of_machine = self.record.calls.iter().filter(|call| {
                call.machine == stop.machine && call.sent_s >= from_s && call.sent_s <= stop.ended_s
            });
            for call in of_machine.filter(|call| call.end == CallEnd::Cut && call.ended_s >= stop.at_s) {
                if is_calm && !self.runs_of(call).is_empty() {
                    violations.push(of_call(Promise::StopCutsNothing, call, "cut off by a planned stop".into()));
                }
            }
        }
        violations
    }

    /// Probes of versions: a version is served once it is in force, and no longer once the
    /// next one is.
    fn versions(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        for (call, version) in self.probes() {
            let Some(taken_s) = self.record.versions.get(&version) else { continue };
            let margin_s = self.promised.apply_s + self.promised.slack_s;
            let superseded_s = self.record.superseded_s(version);
            let in_touch = |since: f64| self.record.is_in_touch(call.machine, since, call.ended_s, self.promised);
            let is_current = superseded_s.is_none_or(|at| call.ended_s < at);
            if call.sent_s > taken_s + margin_s && is_current && in_touch(*taken_s) && is_denied(call) {
                violations.push(of_call(Promise::VersionInForce, call, format!("version {version} is not there")));
            }
            let is_over = superseded_s.is_some_and(|at| call.sent_s > at + margin_s && in_touch(at));
            if is_over && call.end == CallEnd::Answered {
                violations.push(of_call(Promise::VersionInForce, call, format!("version {version} still is")));
            }
        }
        violations
    }

    fn versions_back(&self) -> Vec<Violation> {
        let mut seen: HashMap<(usize, u32), Vec<(f64, u64)>> = HashMap::new();
        for (call, version) in self.probes().filter(|(call, _)| call.end == CallEnd::Answered) {
            seen.entry((call.machine, call.life)).or_default().push((call.ended_s, version));
        }
        let mut violations = Vec::new();
        for (call, version) in self.probes().filter(|(call, _)| call.end == CallEnd::Answered) {
            let Some(seen) = seen.get(&(call.machine, call.life)) else { continue };
            let bound_s = call.sent_s - self.promised.rollback_s - self.promised.slack_s;
            let newer = seen.iter().filter(|(at_s, newer)| *at_s < bound_s && *newer > version);
            if let Some((_, newer)) = newer.max_by_key(|(_, newer)| *newer) {
                let detail = format!("version {version} after {newer}");
                violations.push(of_call(Promise::VersionNeverBack, call, detail));
            }
        }
        violations
    }

    fn probes(&self) -> impl Iterator<Item = (&Call, u64)> {
        self.record.calls.iter().filter_map(|call| match call.purpose {
            CallPurpose::Probe { version } => Some((call, version)),
            _ => None,
        })
    }

    fn recovery(&self) -> Option<Violation> {
        let from_s = self.record.length_s - LAST_S;
        let of_clients = |call: &&Call| call.purpose == CallPurpose::Client && call.end != CallEnd::GaveUp;
        let last: Vec<&Call> =
            self.record.calls.iter().filter(of_clients).filter(|call| call.sent_s >= from_s).collect();
        let served = last.iter().filter(|call| call.end == CallEnd::Answered).count();
        let is_recovered = !last.is_empty() && served as f64 >= RECOVERED_PART * last.len() as f64;
        let detail = format!("{served} of {} requests of the last {LAST_S} s were served", last.len());
        let subject = "all".to_string();
        (!is_recovered).then_some(Violation { promise: Promise::Recovers, subject, at_s: from_s, detail })
    }

    fn processes(&self) -> Vec<Violation> {
        let machines: HashSet<usize> = self.record.ended_by_themselves.iter().copied().collect();
        let violation = |machine| Violation {
            promise: Promise::ProcessLives,
            subject: format!("machine-{machine}"),
            at_s: self.record.length_s,
            detail: "its process ended by itself".into(),
        };
        machines.into_iter().map(violation).collect()
    }
}

/// True where neither route nor key ever goes.
fn is_always_allowed(call: &Call) -> bool {
    matches!(call.purpose, CallPurpose::Client | CallPurpose::OnBehalf)
}

fn is_denial(status: u16) -> bool {
    matches!(status, 400 | 401 | 403 | 404 | 413 | 431)
}

fn is_denied(call: &Call) -> bool {
    matches!(call.end, CallEnd::NodeFailed { status: 404, .. })
}

/// How many requests ended in which way.
pub fn outcomes(record: &Record) -> BTreeMap<String, usize> {
    let mut outcomes = BTreeMap::new();
    for call in &record.calls {
        let name = match call.end {
            CallEnd::NodeFailed { status, .. } => format!("node-{status}"),
            CallEnd::InstanceFailed(status) => format!("instance-{status}"),
            end => format!("{end:?}").to_lowercase(),
        };
        *outcomes.entry(name).or_default() += 1;
    }
    outcomes
}
