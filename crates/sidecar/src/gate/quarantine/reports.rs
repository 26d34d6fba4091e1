//! What there is to tell the other gates of the service, and what they tell.

use std::time::Duration;

use olivegate_quarantine::{ContentDigest, SuspectReport};

use super::{GateQuarantine, ReportOrigin};
use crate::state::Node;
use olivegate_clock as clock;

/// Longest wait of a request at a node that has just started and has not heard yet what others
/// suspect. A peer answers within some round trips.
const HEARING_LIMIT: Duration = Duration::from_millis(400);

impl GateQuarantine {
    /// Ends, age and consequence, for log lines.
    pub(super) fn standing(&self, node: &Node, content: &ContentDigest) -> String {
        let policy = node.settings().quarantine;
        let now = clock::now();
        match self.suspects.borrow().status(&policy, content, now) {
            Some(standing) => {
                let age = standing.age.as_millis();
                format!("ends={} age_ms={age} held={}", standing.ends, standing.is_held)
            }
            None => "ends=0 age_ms=0 held=false".into(),
        }
    }

    /// Has the other gates told of it.
    pub(super) fn tell(&self, node: &Node, origin: ReportOrigin, content: ContentDigest) {
        self.news.borrow_mut().push((origin, content));
        self.reports_changed.notify_one();
        self.show(node);
    }

    fn show(&self, node: &Node) {
        let (suspected, held) = self.suspects.borrow().counts(&node.settings().quarantine);
        node.metrics.set_state("suspected_contents", suspected as u64);
        node.metrics.set_state("held_contents", held as u64);
    }

    /// Takes over what another gate of the service knows.
    pub fn merge(&self, node: &Node, reports: &[SuspectReport]) {
        let policy = node.settings().quarantine;
        let now = clock::now();
        for report in reports {
            if !self.suspects.borrow_mut().merge(&policy, report, now) {
                continue;
            }
            let content = report.content.digest;
            log::info!("event=content_told content={content} {}", self.standing(node, &content));
            self.tell(node, ReportOrigin::Peer, content);
        }
    }

    /// What there is news of that came this way.
    pub fn take_changed_reports(&self, origin: ReportOrigin) -> Vec<SuspectReport> {
        let is_wanted = |news: &mut (ReportOrigin, ContentDigest)| news.0 == origin;
        let mut news = self.news.borrow_mut();
        let mut contents: Vec<ContentDigest> =
            news.extract_if(.., is_wanted).map(|(_, content)| content).collect();
        drop(news);
        contents.sort_unstable();
        contents.dedup();
        self.reports(&contents)
    }

    /// All contents that are remembered.
    pub fn contents(&self) -> Vec<ContentDigest> {
        self.suspects.borrow().contents()
    }

    /// Those that are held.
    pub fn held_contents(&self, node: &Node) -> Vec<ContentDigest> {
        self.suspects.borrow().held_contents(&node.settings().quarantine)
    }

    /// What is known of these.
    pub fn reports(&self, contents: &[ContentDigest]) -> Vec<SuspectReport> {
        let now = clock::now();
        let suspects = self.suspects.borrow();
        contents.iter().filter_map(|content| suspects.report(content, now)).collect()
    }

    /// Forgets what is over.
    pub fn expire(&self, node: &Node) {
        if self.suspects.borrow().is_empty() {
            return;
        }
        self.suspects.borrow_mut().expire(&node.settings().quarantine, clock::now());
        self.show(node);
    }

    /// True once this node has heard what others suspect.
    pub fn has_synced(&self) -> bool {
        self.has_synced.get()
    }

    /// Others have told, or there is nobody who could.
    pub fn mark_synced(&self) {
        self.has_synced.set(true);
        self.heard.notify_waiters();
    }

    /// Waits until others have told what they suspect, for a while at most.
    pub(super) async fn wait_until_heard(&self) {
        let heard = self.heard.notified();
        if !self.has_synced.get() {
            // After the limit it goes by what it has seen itself.
            let _ = tokio::time::timeout(HEARING_LIMIT, heard).await;
        }
    }
}
