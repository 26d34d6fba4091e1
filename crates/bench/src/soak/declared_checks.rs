//! Checks what instances report about themselves only in responses: the rate that they accept, and that they
//! leave. A machine that relayed such a response to a caller has to follow it. Pure.

use std::collections::HashMap;

use super::checker::{IndexedRecord, Promise, Violation};
use super::record::{Arrival, Call, CallEnd, Outage, OutageKind, SelfReport};

/// Length of the window in which arrivals are counted, in seconds.
const WINDOW_S: f64 = 4.0;
/// Tolerated arrivals in a window, relative to what the rate allows.
const RATE_FACTOR: f64 = 1.5;
/// Tolerated arrivals in addition.
const RATE_SLACK: f64 = 5.0;
/// Time in which a machine has to follow a response that it relayed, in seconds.
const REACTION_TIME_S: f64 = 0.5;

/// A response that a machine relayed, with what the instance reported in it.
struct RelayedReport<'a> {
    self_report: &'a SelfReport,
    call: &'a Call,
}

impl IndexedRecord<'_> {
    /// Instances that got more requests than the rate they had declared, and those that had announced that
    /// they leave and got new requests.
    pub(super) fn check_declared(&self) -> Vec<Violation> {
        let mut arrivals: HashMap<&str, Vec<&Arrival>> = HashMap::new();
        for arrival in &self.record.arrivals {
            arrivals.entry(&arrival.instance).or_default().push(arrival);
        }
        let mut relayed: HashMap<&str, Vec<RelayedReport<'_>>> = HashMap::new();
        for report in self.relayed_reports() {
            relayed.entry(&report.self_report.instance).or_default().push(report);
        }
        let mut violations = Vec::new();
        for (instance, relayed) in &relayed {
            let arrivals = arrivals.get(instance).map(Vec::as_slice).unwrap_or_default();
            violations.extend(self.check_rate(instance, arrivals, relayed));
            violations.extend(self.check_announced_leaving(arrivals, relayed));
        }
        violations
    }

    /// Responses that report something about their instance and were relayed to the caller.
    fn relayed_reports(&self) -> impl Iterator<Item = RelayedReport<'_>> {
        let last: HashMap<&str, &SelfReport> = self
            .record
            .self_reports
            .iter()
            .map(|self_report| (self_report.request.as_str(), self_report))
            .collect();
        last.into_iter().filter_map(|(request, self_report)| {
            let call = *self.calls.get(request)?;
            let is_relayed = matches!(call.end, CallEnd::Answered | CallEnd::InstanceFailed(_));
            // The response of another instance may have been relayed instead.
            let is_of_last = self.runs_of(call).last().is_some_and(|run| run.instance == self_report.instance);
            (is_relayed && is_of_last).then_some(RelayedReport { self_report, call })
        })
    }

    /// The first window in which an instance got too many requests, if there is one.
    fn check_rate(
        &self,
        instance: &str,
        arrivals: &[&Arrival],
        relayed: &[RelayedReport<'_>],
    ) -> Option<Violation> {
        let declared: Vec<(f64, Option<f64>)> = self.declared_rates_of(instance);
        let first_s = declared.iter().find(|(_, rate)| rate.is_some()).map(|(at_s, _)| *at_s)?;
        let checked_from_s = first_s + self.bounds.contact_s;
        let has_to_follow = |arrival: &&&Arrival| {
            let Some(call) = self.calls.get(arrival.request.as_str()) else { return false };
            relayed.iter().any(|relayed| {
                relayed.self_report.rate.is_some()
                    && self.was_relayed(
                        relayed,
                        call,
                        arrival.at_s - REACTION_TIME_S,
                        &[OutageKind::Frozen, OutageKind::Cut],
                    )
            })
        };
        let followed: Vec<f64> = arrivals.iter().filter(has_to_follow).map(|arrival| arrival.at_s).collect();
        followed.iter().filter(|from_s| **from_s >= checked_from_s).find_map(|from_s| {
            let until_s = from_s + WINDOW_S;
            let rate = max_rate_within(&declared, from_s - REACTION_TIME_S, until_s)?;
            let allowed = RATE_FACTOR * rate * WINDOW_S + RATE_SLACK;
            let count = followed.iter().filter(|at_s| (*from_s..until_s).contains(*at_s)).count();
            (count as f64 > allowed).then(|| Violation {
                promise: Promise::DeclaredRateKept,
                subject: instance.to_string(),
                at_s: *from_s,
                detail: format!("{count} requests in {WINDOW_S} s at {rate} per second, {allowed:.0} allowed"),
            })
        })
    }

    /// The rates that an instance declared, in order of time; `None` where it declared none.
    fn declared_rates_of(&self, instance: &str) -> Vec<(f64, Option<f64>)> {
        let of_instance = self.record.declared_rates.iter().filter(|declared| declared.instance == instance);
        of_instance.map(|declared| (declared.at_s, declared.rate)).collect()
    }

    fn check_announced_leaving(&self, arrivals: &[&Arrival], relayed: &[RelayedReport<'_>]) -> Vec<Violation> {
        let bound_s = self.bounds.drain_s + self.bounds.slack_s;
        let mut violations = Vec::new();
        for arrival in arrivals {
            let Some(call) = self.calls.get(arrival.request.as_str()) else { continue };
            let known_report = relayed.iter().find(|relayed| {
                relayed.self_report.is_leaving
                    && self.was_relayed(relayed, call, call.sent_s - bound_s, &[OutageKind::Frozen])
            });
            if let Some(known_report) = known_report {
                let after_s = call.sent_s - known_report.call.ended_s;
                violations.push(Violation {
                    promise: Promise::SaidLeavingGetsNothing,
                    subject: arrival.request.clone(),
                    at_s: arrival.at_s,
                    detail: format!(
                        "sent {after_s:.3} s after machine {} had relayed that {} leaves",
                        call.machine, arrival.instance
                    ),
                });
            }
        }
        violations
    }

    /// True if the machine through which `call` was sent had relayed that response by `until_s`, with the
    /// same start of its process and without one of the `excusing` outages since.
    fn was_relayed(
        &self,
        relayed: &RelayedReport<'_>,
        call: &Call,
        until_s: f64,
        excusing: &[OutageKind],
    ) -> bool {
        let is_same_generation =
            relayed.call.machine == call.machine && relayed.call.generation == call.generation;
        let is_excusing = |outage: &&Outage| {
            outage.machine == call.machine
                && excusing.contains(&outage.kind)
                && outage.until_s >= relayed.call.ended_s
                && outage.from_s <= call.ended_s
        };
        is_same_generation
            && relayed.call.ended_s <= until_s
            && !self.record.outages.iter().any(|outage| is_excusing(&outage))
    }
}

/// The largest rate in force during that time; `None` if there was none for a while.
fn max_rate_within(declared: &[(f64, Option<f64>)], from_s: f64, until_s: f64) -> Option<f64> {
    let before = declared.iter().rfind(|(at_s, _)| *at_s <= from_s).and_then(|(_, rate)| *rate)?;
    let within = declared.iter().filter(|(at_s, _)| *at_s > from_s && *at_s < until_s);
    within.map(|(_, rate)| *rate).try_fold(before, |largest, rate| rate.map(|rate| largest.max(rate)))
}
