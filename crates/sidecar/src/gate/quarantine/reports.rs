//! Exchange of quarantine reports with the other gates of the service.

use std::time::Duration;

use olivegate_quarantine::{ContentDigest, SuspectReport};

use super::{GateQuarantine, ReportOrigin};
use crate::state::Node;
use olivegate_clock as clock;

/// Maximum time that a request at a node that has just started waits for the reports of other gates. A peer
/// answers within a few round trips.
const SYNC_TIMEOUT: Duration = Duration::from_millis(400);

impl GateQuarantine {
    /// Number of ends, age and whether the content is held, as fields of a log line.
    pub(super) fn status_fields(&self, node: &Node, content: &ContentDigest) -> String {
        let policy = node.settings().quarantine;
        let now = clock::now();
        match self.suspects.borrow().status(&policy, content, now) {
            Some(status) => {
                let age = status.age.as_millis();
                format!("ends={} age_ms={age} held={}", status.ends, status.is_held)
            }
            None => "ends=0 age_ms=0 held=false".into(),
        }
    }

    /// Queues the report on `content` for the other gates.
    pub(super) fn queue_report(&self, node: &Node, origin: ReportOrigin, content: ContentDigest) {
        self.changed.borrow_mut().push((origin, content));
        self.reports_changed.notify_one();
        self.update_metrics(node);
    }

    fn update_metrics(&self, node: &Node) {
        let (suspected, held) = self.suspects.borrow().counts(&node.settings().quarantine);
        node.metrics.set_state("suspected_contents", suspected as u64);
        node.metrics.set_state("held_contents", held as u64);
    }

    /// Merges the reports of another gate of the service.
    pub fn merge(&self, node: &Node, reports: &[SuspectReport]) {
        let policy = node.settings().quarantine;
        let now = clock::now();
        for report in reports {
            if !self.suspects.borrow_mut().merge(&policy, report, now) {
                continue;
            }
            let content = report.content.digest;
            log::info!("event=content_told content={content} {}", self.status_fields(node, &content));
            self.queue_report(node, ReportOrigin::Peer, content);
        }
    }

    /// Takes the queued reports of this origin.
    pub fn take_changed_reports(&self, origin: ReportOrigin) -> Vec<SuspectReport> {
        let has_origin = |changed: &mut (ReportOrigin, ContentDigest)| changed.0 == origin;
        let mut changed = self.changed.borrow_mut();
        let mut contents: Vec<ContentDigest> =
            changed.extract_if(.., has_origin).map(|(_, content)| content).collect();
        drop(changed);
        contents.sort_unstable();
        contents.dedup();
        self.reports(&contents)
    }

    /// All contents that this gate has reports on.
    pub fn contents(&self) -> Vec<ContentDigest> {
        self.suspects.borrow().contents()
    }

    /// The contents that are held.
    pub fn held_contents(&self, node: &Node) -> Vec<ContentDigest> {
        self.suspects.borrow().held_contents(&node.settings().quarantine)
    }

    /// Reports on `contents`.
    pub fn reports(&self, contents: &[ContentDigest]) -> Vec<SuspectReport> {
        let now = clock::now();
        let suspects = self.suspects.borrow();
        contents.iter().filter_map(|content| suspects.report(content, now)).collect()
    }

    /// Drops expired suspects.
    pub fn expire(&self, node: &Node) {
        if self.suspects.borrow().is_empty() {
            return;
        }
        self.suspects.borrow_mut().expire(&node.settings().quarantine, clock::now());
        self.update_metrics(node);
    }

    /// True once this node has received the reports of other gates, or there was no gate to ask.
    pub fn has_synced(&self) -> bool {
        self.has_synced.get()
    }

    /// Other gates have sent their reports, or there is none that could.
    pub fn mark_synced(&self) {
        self.has_synced.set(true);
        self.synced.notify_waiters();
    }

    /// Waits for the reports of other gates, for at most [`SYNC_TIMEOUT`].
    pub(super) async fn wait_for_sync(&self) {
        let synced = self.synced.notified();
        if !self.has_synced.get() {
            // After the timeout, decisions use only what this gate has observed itself.
            let _ = tokio::time::timeout(SYNC_TIMEOUT, synced).await;
        }
    }
}
