//! Judges what instances say of themselves in answers alone: the rate that they take, and that they
//! leave. Whoever passed such an answer on to a caller is bound by it. Pure.

use std::collections::HashMap;

use super::checker::{Case, Promise, Violation};
use super::record::{Arrival, Call, CallEnd, Notice, Outage, OutageKind};

/// Length of the window over which arrivals are counted, in seconds.
const WINDOW_S: f64 = 4.0;
/// Arrivals allowed in a window, over what the rate allows.
const RATE_FACTOR: f64 = 1.5;
/// Arrivals allowed beyond that.
const RATE_SLACK: f64 = 5.0;
/// Time that a machine has to follow an answer that it passed on, in seconds.
const FOLLOWS_WITHIN_S: f64 = 0.5;

/// A machine passed on an answer that says something of its instance.
struct Told<'a> {
    notice: &'a Notice,
    call: &'a Call,
}

impl Case<'_> {
    /// Instances that got more than the rate that they had named, and those that had said that they leave
    /// and got something new.
    pub(super) fn declared(&self) -> Vec<Violation> {
        let mut arrivals: HashMap<&str, Vec<&Arrival>> = HashMap::new();
        for arrival in &self.record.arrivals {
            arrivals.entry(&arrival.instance).or_default().push(arrival);
        }
        let mut told: HashMap<&str, Vec<Told<'_>>> = HashMap::new();
        for told_now in self.told() {
            told.entry(&told_now.notice.instance).or_default().push(told_now);
        }
        let mut violations = Vec::new();
        for (instance, told) in &told {
            let arrivals = arrivals.get(instance).map(Vec::as_slice).unwrap_or_default();
            violations.extend(self.over_rate(instance, arrivals, told));
            violations.extend(self.after_said_leaving(arrivals, told));
        }
        violations
    }

    /// Answers that say something of their instance and were passed on.
    fn told(&self) -> impl Iterator<Item = Told<'_>> {
        let last: HashMap<&str, &Notice> =
            self.record.notices.iter().map(|notice| (notice.request.as_str(), notice)).collect();
        last.into_iter().filter_map(|(request, notice)| {
            let call = *self.calls.get(request)?;
            let is_passed_on = matches!(call.end, CallEnd::Answered | CallEnd::InstanceFailed(_));
            // An answer of another instance may have been passed on in its place.
            let is_of_last = self.runs_of(call).last().is_some_and(|run| run.instance == notice.instance);
            (is_passed_on && is_of_last).then_some(Told { notice, call })
        })
    }

    /// The first window in which an instance got too much, if there is one.
    fn over_rate(&self, instance: &str, arrivals: &[&Arrival], told: &[Told<'_>]) -> Option<Violation> {
        let named: Vec<(f64, Option<f64>)> = self.rates_of(instance);
        let first_s = named.iter().find(|(_, rate)| rate.is_some()).map(|(at_s, _)| *at_s)?;
        let judged_from_s = first_s + self.promised.contact_s;
        let is_bound = |arrival: &&&Arrival| {
            let Some(call) = self.calls.get(arrival.request.as_str()) else { return false };
            told.iter().any(|told| {
                told.notice.rate.is_some()
                    && self.is_told(
                        told,
                        call,
                        arrival.at_s - FOLLOWS_WITHIN_S,
                        &[OutageKind::Frozen, OutageKind::Cut],
                    )
            })
        };
        let bound: Vec<f64> = arrivals.iter().filter(is_bound).map(|arrival| arrival.at_s).collect();
        bound.iter().filter(|from_s| **from_s >= judged_from_s).find_map(|from_s| {
            let until_s = from_s + WINDOW_S;
            let rate = largest_within(&named, from_s - FOLLOWS_WITHIN_S, until_s)?;
            let allowed = RATE_FACTOR * rate * WINDOW_S + RATE_SLACK;
            let count = bound.iter().filter(|at_s| (*from_s..until_s).contains(*at_s)).count();
            (count as f64 > allowed).then(|| Violation {
                promise: Promise::DeclaredRateKept,
                subject: instance.to_string(),
                at_s: *from_s,
                detail: format!("{count} requests in {WINDOW_S} s at {rate} a second, {allowed:.0} allowed"),
            })
        })
    }

    /// What an instance named, in order of time; nothing where it takes what comes.
    fn rates_of(&self, instance: &str) -> Vec<(f64, Option<f64>)> {
        let of_instance = self.record.rates.iter().filter(|named| named.instance == instance);
        of_instance.map(|named| (named.at_s, named.rate)).collect()
    }

    fn after_said_leaving(&self, arrivals: &[&Arrival], told: &[Told<'_>]) -> Vec<Violation> {
        let bound_s = self.promised.drain_s + self.promised.slack_s;
        let mut violations = Vec::new();
        for arrival in arrivals {
            let Some(call) = self.calls.get(arrival.request.as_str()) else { continue };
            let knew = told.iter().find(|told| {
                told.notice.is_leaving && self.is_told(told, call, call.sent_s - bound_s, &[OutageKind::Frozen])
            });
            if let Some(knew) = knew {
                let after_s = call.sent_s - knew.call.ended_s;
                violations.push(Violation {
                    promise: Promise::SaidLeavingGetsNothing,
                    subject: arrival.request.clone(),
                    at_s: arrival.at_s,
                    detail: format!(
                        "sent {after_s:.3} s after machine {} had passed on that {} leaves",
                        call.machine, arrival.instance
                    ),
                });
            }
        }
        violations
    }

    /// True when the machine on which `call` began had passed on that answer by `until_s`, in the same life
    /// of its process and without one of these outages since.
    fn is_told(&self, told: &Told<'_>, call: &Call, until_s: f64, excuses: &[OutageKind]) -> bool {
        let is_same_life = told.call.machine == call.machine && told.call.life == call.life;
        let excuses_it = |outage: &&Outage| {
            outage.machine == call.machine
                && excuses.contains(&outage.kind)
                && outage.until_s >= told.call.ended_s
                && outage.from_s <= call.ended_s
        };
        is_same_life
            && told.call.ended_s <= until_s
            && !self.record.outages.iter().any(|outage| excuses_it(&outage))
    }
}

/// The largest rate in force at any moment of that time; `None` where there was none for a while.
fn largest_within(named: &[(f64, Option<f64>)], from_s: f64, until_s: f64) -> Option<f64> {
    let before = named.iter().rfind(|(at_s, _)| *at_s <= from_s).and_then(|(_, rate)| *rate)?;
    let within = named.iter().filter(|(at_s, _)| *at_s > from_s && *at_s < until_s);
    within.map(|(_, rate)| *rate).try_fold(before, |largest, rate| rate.map(|rate| largest.max(rate)))
}
