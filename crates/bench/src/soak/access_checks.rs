//! Checks the promises about keys, tenants and quotas. Pure.

use std::collections::HashSet;

use super::checker::{IndexedRecord, Promise, Violation, run_violation};
use super::record::{CallPurpose, Run};
use super::tenants::{GUESTS, LIMIT, LIMITED, MEMBERS, TOLERANCE};

impl IndexedRecord<'_> {
    /// Runs that carry a credential, or name another tenant than the one that the key belongs to.
    pub(super) fn check_tenants(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        for run in &self.record.runs {
            let Some(call) = self.calls.get(run.id.as_str()) else { continue };
            let tenant = match call.purpose {
                CallPurpose::OnBehalf | CallPurpose::Stranger => "",
                CallPurpose::Client
                | CallPurpose::Transfer { .. }
                | CallPurpose::Deadly
                | CallPurpose::Probe { .. } => MEMBERS,
                CallPurpose::Limited => LIMITED,
                CallPurpose::Guest { .. } => GUESTS,
            };
            if run.carries_credential {
                violations.push(run_violation(Promise::KeyStaysAtEdge, run, "the credential was passed on"));
            }
            if run.tenant != tenant {
                let detail = format!("tenant is {:?} instead of {tenant:?}", run.tenant);
                violations.push(run_violation(Promise::TenantIsTold, run, &detail));
            }
        }
        violations
    }

    /// Runs with a key that no tenant has, or that was withdrawn longer ago than is promised, on any machine,
    /// disturbed or not.
    pub(super) fn check_keys(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        for run in &self.record.runs {
            let Some(call) = self.calls.get(run.id.as_str()) else { continue };
            match call.purpose {
                CallPurpose::Stranger => {
                    violations.push(run_violation(Promise::OnlyHeldKeysRun, run, "no tenant has its key"));
                }
                CallPurpose::Guest { version } => {
                    let withdrawn_s = self.record.superseded_s(version);
                    let late_s = withdrawn_s.map_or(0.0, |at_s| call.sent_s - at_s - self.bounds.keys_s);
                    if late_s > 0.0 {
                        let detail = format!("its key was withdrawn {late_s:.3} s longer ago than is allowed");
                        violations.push(run_violation(Promise::OnlyHeldKeysRun, run, &detail));
                    }
                }
                _ => {}
            }
        }
        violations
    }

    /// The fullest window, if more of the limited tenant's requests ran in it than its quota allows.
    pub(super) fn check_quota(&self) -> Option<Violation> {
        let is_limited = |run: &&Run| {
            let call = self.calls.get(run.id.as_str());
            call.is_some_and(|call| call.purpose == CallPurpose::Limited)
        };
        let mut runs: Vec<&Run> = self.record.runs.iter().filter(is_limited).collect();
        runs.sort_by(|left, right| left.at_s.total_cmp(&right.at_s));
        let allowed = LIMIT.max_in_window(&TOLERANCE) as usize;
        let window_s = TOLERANCE.window.as_secs_f64();
        let windows = runs.iter().enumerate().map(|(first, run)| {
            let end = runs.partition_point(|other| other.at_s < run.at_s + window_s);
            &runs[first..end]
        });
        let fullest = windows.max_by_key(|window| window.len())?;
        let (max_runs, at_s) = (fullest.len(), fullest.first()?.at_s);
        let requests: HashSet<&str> = fullest.iter().map(|run| run.id.as_str()).collect();
        let detail = format!("{max_runs} runs in {window_s} s of {} requests, {allowed} allowed", requests.len());
        let subject = LIMITED.to_string();
        (max_runs > allowed).then_some(Violation { promise: Promise::QuotaKept, subject, at_s, detail })
    }
}
