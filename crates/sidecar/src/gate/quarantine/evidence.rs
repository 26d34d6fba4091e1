//! Attributes the end of an instance process to the contents it was running, and clears contents that were
//! answered.

use olivegate_quarantine::{FatalRun, SuspectedContent};
use olivegate_types::{InstanceName, Moment};

use super::run_content::RunContent;
use super::run_history::Run;
use super::{GateQuarantine, ReportOrigin};
use crate::directory::InstanceStatus;
use crate::state::Node;
use olivegate_clock as clock;

impl GateQuarantine {
    /// The instance ended at `ended` while it was executing `run`. Ends of an instance that was already
    /// leaving are not attributed.
    pub fn on_end(&self, node: &Node, run: &Run, ended: Moment) {
        self.suspect(node, run, ended);
        for abandoned in self.abandoned.take_for(&run.instance, ended) {
            self.suspect(node, &abandoned, ended);
        }
    }

    /// True when the instance may still have been executing an abandoned run.
    pub fn has_abandoned_runs(&self, instance: &InstanceName) -> bool {
        self.abandoned.has_any(instance, clock::now())
    }

    /// The instance ended while nobody waited for the runs that it was executing, so the end is attributed to
    /// abandoned runs only.
    pub fn on_unobserved_end(&self, node: &Node, instance: &InstanceName, ended: Moment) {
        for abandoned in self.abandoned.take_for(instance, ended) {
            self.suspect(node, &abandoned, ended);
        }
    }

    /// Nobody waits for this run any more, but the instance may still be executing it.
    pub fn on_abandoned(&self, run: Run) {
        self.abandoned.note(run, clock::now());
    }

    /// Records the end of the instance against the content of `run`.
    fn suspect(&self, node: &Node, run: &Run, ended: Moment) {
        let standing = node.cluster.borrow().directory.status(&run.instance);
        let was_leaving = matches!(standing, InstanceStatus::Draining | InstanceStatus::Gone);
        let began_later = run.began > ended;
        if was_leaving || began_later {
            return;
        }
        let was_answered = self.answered.contains(&run.content);
        let Some(suspected) = run.content.suspected(was_answered) else { return };
        self.note_end(node, suspected, &run.incarnation_name, FatalRun { ended, began: run.began });
        log::info!(
            "event=content_suspected content={} route={} caller={} instance={} {}",
            suspected.digest,
            run.route,
            run.content.caller(),
            run.instance,
            self.status_fields(node, &suspected.digest),
        );
    }

    /// Records that `instance`, given by the name of its incarnation, ended during a run of `content`.
    pub(super) fn note_end(&self, node: &Node, content: SuspectedContent, instance: &InstanceName, run: FatalRun) {
        let policy = node.settings().quarantine;
        if self.suspects.borrow_mut().note_end(&policy, content, instance, run) {
            self.queue_report(node, ReportOrigin::Local, content.digest);
        }
    }

    /// The instance answered this request completely, so the content doesn't end the process that runs it. An
    /// answer with a 5xx status proves less: the request may have failed before the point at which its
    /// content would have ended the process.
    pub fn on_answered(&self, node: &Node, content: &RunContent, status: u16) {
        if status >= 500 {
            return;
        }
        if !self.suspects.borrow().is_empty() {
            self.clear(node, content);
        }
        self.answered.insert(content);
    }

    fn clear(&self, node: &Node, content: &RunContent) {
        let Some(digest) = content.digest() else { return };
        let now = clock::now();
        if self.suspects.borrow_mut().note_answered(&digest, now) {
            log::info!("event=content_cleared content={digest}");
            self.queue_report(node, ReportOrigin::Local, digest);
        }
    }
}
