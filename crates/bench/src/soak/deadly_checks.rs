//! Checks that requests whose content crashes instances are quarantined. Pure.

use std::collections::BTreeMap;

use super::checker::{IndexedRecord, Promise, Violation, run_violation};
use super::exchange::is_deadly_target;
use super::record::Run;

/// Number of crashed instances after which all nodes have to know the content.
const CRASHES_BEFORE_QUARANTINE: usize = 3;
/// Number of runs that are tolerated after that for one content, over the whole soak.
const MAX_LATE_ARRIVALS: usize = 3;

impl IndexedRecord<'_> {
    /// Contents, by calling service, with too many runs later than the contact time after the third crash.
    pub(super) fn check_deadly_contents(&self) -> Vec<Violation> {
        let mut contents: BTreeMap<(&str, &str), Vec<&Run>> = BTreeMap::new();
        for run in self.record.runs.iter().filter(|run| is_deadly_target(&run.request_line)) {
            contents.entry((&run.caller, &run.request_line)).or_default().push(run);
        }
        contents.into_values().filter_map(|runs| self.check_content(&runs)).collect()
    }

    fn check_content(&self, runs: &[&Run]) -> Option<Violation> {
        let crash_of = |run: &&Run| self.record.crashes.iter().find(|crash| crash.instance == run.instance);
        let mut crash_times: Vec<f64> = runs.iter().filter_map(crash_of).map(|crash| crash.at_s).collect();
        crash_times.sort_by(f64::total_cmp);
        crash_times.dedup();
        let quarantined_s =
            crash_times.get(CRASHES_BEFORE_QUARANTINE - 1)? + self.bounds.contact_s + self.bounds.slack_s;
        let is_late = |run: &&&Run| run.at_s > quarantined_s && self.is_undisturbed(run);
        let late: Vec<&&Run> = runs.iter().filter(is_late).collect();
        let first_violating = late.get(MAX_LATE_ARRIVALS)?;
        let detail = format!("{} late arrivals, {} instances crashed;", late.len(), crash_times.len());
        Some(run_violation(Promise::DeadlyContentHeld, first_violating, &detail))
    }

    /// True if the machine that forwarded the request was undisturbed.
    fn is_undisturbed(&self, run: &Run) -> bool {
        self.record.is_undisturbed(run.machine, run.at_s, run.at_s, self.bounds)
    }
}
