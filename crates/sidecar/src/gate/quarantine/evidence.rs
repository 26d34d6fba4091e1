//! What the end of an instance, and the answers of one, say of the requests that it ran.

use olivegate_quarantine::{FatalRun, SuspectedContent};
use olivegate_types::{InstanceName, Moment};

use super::run_content::RunContent;
use super::run_history::Run;
use super::{GateQuarantine, ReportOrigin};
use crate::directory::InstanceStatus;
use crate::state::Node;
use olivegate_clock as clock;

impl GateQuarantine {
    /// The instance ended at `ended` with this run. One that was about to leave was not ended by it.
    pub fn on_end(&self, node: &Node, run: &Run, ended: Moment) {
        self.mark(node, run, ended);
        for left in self.left.take_of(&run.instance, ended) {
            self.mark(node, &left, ended);
        }
    }

    /// True when the instance may have ended with a run that nobody waited for any more.
    pub fn has_left_runs(&self, instance: &InstanceName) -> bool {
        self.left.any_of(instance, clock::now())
    }

    /// The instance ended, and nobody waited for what it ran.
    pub fn on_end_unseen(&self, node: &Node, instance: &InstanceName, ended: Moment) {
        for left in self.left.take_of(instance, ended) {
            self.mark(node, &left, ended);
        }
    }

    /// Nobody waits for this run any more; the instance may still be at work on it.
    pub fn on_left(&self, run: Run) {
        self.left.note(run, clock::now());
    }

    fn mark(&self, node: &Node, run: &Run, ended: Moment) {
        let status = node.cluster.borrow().directory.status(&run.instance);
        let was_leaving = matches!(status, InstanceStatus::Draining | InstanceStatus::Gone);
        let began_later = run.began > ended;
        if was_leaving || began_later {
            return;
        }
        let was_answered = self.answered.contains(&run.content);
        let Some(suspected) = run.content.suspected(was_answered) else { return };
        self.note_end(node, suspected, &run.start, FatalRun { ended, began: run.began });
        log::info!(
            "event=content_suspected content={} route={} caller={} instance={} {}",
            suspected.digest,
            run.route,
            run.content.caller(),
            run.instance,
            self.standing(node, &suspected.digest),
        );
    }

    /// Notes that `instance`, by the name of its start, ended with a run of `content`.
    pub(super) fn note_end(&self, node: &Node, content: SuspectedContent, instance: &InstanceName, run: FatalRun) {
        let policy = node.settings().quarantine;
        if self.suspects.borrow_mut().note_end(&policy, content, instance, run) {
            self.tell(node, ReportOrigin::Local, content.digest);
        }
    }

    /// The instance answered this request whole: its content does not end what runs it. A failure
    /// shows less: it may have come before the point at which the content would have ended it.
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
            self.tell(node, ReportOrigin::Local, digest);
        }
    }
}
