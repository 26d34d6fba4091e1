//! Judges what becomes of requests whose content ends the instances that run them. Pure.

use std::collections::BTreeMap;

use super::checker::{Case, Promise, Violation, of_run};
use super::exchange::is_deadly;
use super::record::Run;

/// Instances that may end before all nodes have to know the content.
const ENDS_BORNE: usize = 3;
/// Arrivals at instances that are borne after that, over the whole soak.
const LATE_ARRIVALS_BORNE: usize = 3;

impl Case<'_> {
    /// Runs of each content, by caller, that come later than the time of contact after its third end.
    pub(super) fn deadly(&self) -> Vec<Violation> {
        let mut contents: BTreeMap<(&str, &str), Vec<&Run>> = BTreeMap::new();
        for run in self.record.runs.iter().filter(|run| is_deadly(&run.asked)) {
            contents.entry((&run.caller, &run.asked)).or_default().push(run);
        }
        contents.into_values().filter_map(|runs| self.late(&runs)).collect()
    }

    fn late(&self, runs: &[&Run]) -> Option<Violation> {
        let crashed = |run: &&Run| self.record.crashes.iter().find(|crash| crash.instance == run.instance);
        let mut ends: Vec<f64> = runs.iter().filter_map(crashed).map(|crash| crash.at_s).collect();
        ends.sort_by(f64::total_cmp);
        ends.dedup();
        let known_s = ends.get(ENDS_BORNE - 1)? + self.promised.contact_s + self.promised.slack_s;
        let is_late = |run: &&&Run| run.at_s > known_s && self.is_bound(run);
        let late: Vec<&&Run> = runs.iter().filter(is_late).collect();
        let first_over = late.get(LATE_ARRIVALS_BORNE)?;
        let detail = format!("{} late arrivals, {} instances ended;", late.len(), ends.len());
        Some(of_run(Promise::DeadlyContentHeld, first_over, &detail))
    }

    /// True when the machine that sent the request on was in touch.
    fn is_bound(&self, run: &Run) -> bool {
        self.record.is_in_touch(run.machine, run.at_s, run.at_s, self.promised)
    }
}
