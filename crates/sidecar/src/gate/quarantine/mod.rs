//! Requests with which instances end: kept from the instance beside this node.
//!
//! Judged here and not at the edge: each request reaches an instance through its gate, whichever
//! edge it came by.
//!
//! - [`run_content`]: what makes the request that runs.
//! - [`watched_run`]: a run that is watched for the end of its instance.
//! - [`witnesses`]: what is remembered of runs that are over.

pub mod run_content;
pub mod watched_run;
pub mod witnesses;

use std::cell::{Cell, RefCell};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use olivegate_quarantine::{ContentDigest, FatalRun, SuspectReport, SuspectedContent, Suspects, Verdict};
use olivegate_types::{InstanceName, Moment, Refusal, RefusalReason};
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};

use crate::directory::Standing;
use crate::event::{LineClass, shown};
use crate::hop::Offer;
use crate::reply::{Body, BodyBroken};
use crate::state::Node;
use olivegate_clock as clock;
use run_content::RunContent;
use witnesses::{AnsweredContents, LeftRuns, Run};

/// When to come back for a suspect that found another one at work.
const SUSPECT_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Longest wait of a request at a node that has just started and has not heard yet what others
/// suspect. A peer answers within some round trips.
const HEARING_LIMIT: Duration = Duration::from_millis(400);
/// Bytes that are read at most of a streamed body which begins like that of a suspect.
const MOST_READ: usize = 1 << 20;

/// Where news comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// This gate saw it.
    Seen,
    /// Another gate told it.
    Told,
}

/// How a request was let in.
pub enum Entry {
    /// Nothing was held against it.
    Free,
    /// No other suspect runs meanwhile.
    Alone(OwnedSemaphorePermit),
    /// As a held content that may clear itself; no other suspect runs meanwhile.
    Probe(OwnedSemaphorePermit),
}

/// The quarantine of one gate.
pub struct GateQuarantine {
    suspects: RefCell<Suspects>,
    /// The place of the one suspect that may run.
    alone: Arc<Semaphore>,
    answered: AnsweredContents,
    left: LeftRuns,
    /// Contents of which there is news to tell.
    news: RefCell<Vec<(Origin, ContentDigest)>>,
    /// Told when there is such.
    pub news_changed: Notify,
    has_heard: Cell<bool>,
    heard: Notify,
}

impl Default for GateQuarantine {
    fn default() -> Self {
        GateQuarantine {
            suspects: RefCell::default(),
            alone: Arc::new(Semaphore::new(1)),
            answered: AnsweredContents::default(),
            left: LeftRuns::default(),
            news: RefCell::default(),
            news_changed: Notify::new(),
            has_heard: Cell::new(false),
            heard: Notify::new(),
        }
    }
}

fn held(retry_after: Duration) -> Refusal {
    Refusal::new(RefusalReason::Quarantined, retry_after)
}

fn waits() -> Refusal {
    Refusal::new(RefusalReason::SuspectWaits, SUSPECT_RETRY_AFTER)
}

/// Letting in.
impl GateQuarantine {
    /// Lets a request in that may run; waits while another suspect runs.
    pub async fn admit(&self, node: &Node, offer: &Offer, content: &RunContent) -> Result<Entry, Refusal> {
        self.wait_until_heard().await;
        if !offer.ended.is_empty() {
            self.take_word_of_edge(node, offer, content);
        }
        match self.judge(node, content) {
            Verdict::Free => Ok(Entry::Free),
            Verdict::Held { retry_after } => {
                self.log_held(node, offer, content);
                Err(held(retry_after))
            }
            Verdict::Probe => self.place().map(Entry::Probe),
            Verdict::Alone => {
                let longest = Duration::from_millis(u64::from(offer.longest_wait_ms));
                let place = tokio::time::timeout(longest, self.alone.clone().acquire_owned()).await;
                let Ok(Ok(place)) = place else { return Err(waits()) };
                Ok(Entry::Alone(place))
            }
        }
    }

    fn log_held(&self, node: &Node, offer: &Offer, content: &RunContent) {
        let Some(digest) = content.digest() else { return };
        if node.may_log(LineClass::Refusal, &offer.request_id) {
            log::info!(
                "event=request_held request={} route={} caller={} content={digest} {}",
                shown(&offer.request_id),
                offer.route,
                content.caller(),
                self.standing(node, &digest),
            );
        }
    }

    /// Looks again right before the run: news may have come while it waited, and a streamed body
    /// is known only now.
    pub fn admit_to_run(&self, node: &Node, content: &RunContent, entry: Entry) -> Result<Entry, Refusal> {
        if matches!(entry, Entry::Probe(_)) {
            return Ok(entry);
        }
        match (self.judge(node, content), entry) {
            (Verdict::Held { retry_after }, _) => Err(held(retry_after)),
            (Verdict::Alone, Entry::Free) => self.place().map(Entry::Alone),
            (Verdict::Probe, Entry::Free) => self.place().map(Entry::Probe),
            (_, entry) => Ok(entry),
        }
    }

    /// The place of the one suspect that may run, where it is free.
    fn place(&self) -> Result<OwnedSemaphorePermit, Refusal> {
        self.alone.clone().try_acquire_owned().map_err(|_| waits())
    }

    /// Reads a streamed body on where it begins like that of a suspect: it can't be judged before it
    /// is whole. Nothing is read while no such body is suspected.
    pub async fn read_suspected(&self, content: &RunContent, body: Body) -> Body {
        let Body::Stream(stream, length) = body else { return body };
        if !self.suspects.borrow().has_streamed() {
            return Body::Stream(stream, length);
        }
        let mut stream = stream.fuse();
        let mut read: Vec<Result<Bytes, BodyBroken>> = Vec::new();
        let mut bytes = 0;
        while bytes <= MOST_READ {
            let begins_otherwise =
                content.beginning().is_some_and(|beginning| !self.suspects.borrow().begins(&beginning));
            if begins_otherwise {
                break;
            }
            let Some(piece) = stream.next().await else { break };
            let is_broken = piece.is_err();
            bytes += piece.as_ref().map_or(0, Bytes::len);
            read.push(piece);
            if is_broken {
                break;
            }
        }
        Body::Stream(futures::stream::iter(read).chain(stream).boxed_local(), length)
    }

    /// What follows for a request; nothing is hashed while nothing is suspected.
    fn judge(&self, node: &Node, content: &RunContent) -> Verdict {
        if self.suspects.borrow().is_empty() {
            return Verdict::Free;
        }
        let policy = node.settings().quarantine;
        let now = clock::now_with_suspension();
        let Some(digest) = content.digest() else {
            let beginning = content.beginning();
            return beginning
                .map_or(Verdict::Free, |beginning| self.suspects.borrow().judge_beginning(&policy, &beginning));
        };
        let may_probe = is_prober(node, &digest);
        self.suspects.borrow_mut().judge(&policy, &digest, may_probe, now)
    }

    /// The edge saw instances end with this very request: their gates' word may still be on its way.
    fn take_word_of_edge(&self, node: &Node, offer: &Offer, content: &RunContent) {
        let Some(suspected) = content.suspected(self.answered.contain(content)) else { return };
        let now = clock::now_with_suspension();
        for end in &offer.ended {
            self.note_end(node, suspected, &end.instance, end.run(now));
        }
    }
}

/// Evidence.
impl GateQuarantine {
    /// The instance ended at `ended` with this run. One that was about to leave was not ended by it.
    pub fn on_end(&self, node: &Node, run: &Run, ended: Moment) {
        self.mark(node, run, ended);
        for left in self.left.take_of(&run.instance, ended) {
            self.mark(node, &left, ended);
        }
    }

    /// True when the instance may have ended with a run that nobody waited for any more.
    pub fn is_watched(&self, instance: &InstanceName) -> bool {
        self.left.any_of(instance, clock::now_with_suspension())
    }

    /// The instance ended, and nobody waited for what it ran.
    pub fn on_end_unseen(&self, node: &Node, instance: &InstanceName, ended: Moment) {
        for left in self.left.take_of(instance, ended) {
            self.mark(node, &left, ended);
        }
    }

    /// Nobody waits for this run any more; the instance may still be at work on it.
    pub fn on_left(&self, run: Run) {
        self.left.note(run, clock::now_with_suspension());
    }

    fn mark(&self, node: &Node, run: &Run, ended: Moment) {
        let standing = node.knowledge.borrow().directory.standing(&run.instance);
        let was_leaving = matches!(standing, Standing::Draining | Standing::Gone);
        let began_later = run.began > ended;
        if was_leaving || began_later {
            return;
        }
        let was_answered = self.answered.contain(&run.content);
        let Some(suspected) = run.content.suspected(was_answered) else { return };
        self.note_end(node, suspected, &run.instance, FatalRun { ended, began: run.began });
        log::info!(
            "event=content_suspected content={} route={} caller={} instance={} {}",
            suspected.digest,
            run.route,
            run.content.caller(),
            run.instance,
            self.standing(node, &suspected.digest),
        );
    }

    fn note_end(&self, node: &Node, content: SuspectedContent, instance: &InstanceName, run: FatalRun) {
        let policy = node.settings().quarantine;
        if self.suspects.borrow_mut().note_end(&policy, content, instance, run) {
            self.tell(node, Origin::Seen, content.digest);
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
        self.answered.note(content);
    }

    fn clear(&self, node: &Node, content: &RunContent) {
        let Some(digest) = content.digest() else { return };
        let now = clock::now_with_suspension();
        if self.suspects.borrow_mut().note_answered(&digest, now) {
            log::info!("event=content_cleared content={digest}");
            self.tell(node, Origin::Seen, digest);
        }
    }
}

/// What gates tell each other.
impl GateQuarantine {
    /// Ends, age and consequence, for log lines.
    fn standing(&self, node: &Node, content: &ContentDigest) -> String {
        let policy = node.settings().quarantine;
        let now = clock::now_with_suspension();
        match self.suspects.borrow().standing(&policy, content, now) {
            Some(standing) => {
                let age = standing.age.as_millis();
                format!("ends={} age_ms={age} held={}", standing.ends, standing.is_held)
            }
            None => "ends=0 age_ms=0 held=false".into(),
        }
    }

    fn tell(&self, node: &Node, origin: Origin, content: ContentDigest) {
        self.news.borrow_mut().push((origin, content));
        self.news_changed.notify_one();
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
        let now = clock::now_with_suspension();
        for report in reports {
            if !self.suspects.borrow_mut().merge(&policy, report, now) {
                continue;
            }
            let content = report.content.digest;
            log::info!("event=content_told content={content} {}", self.standing(node, &content));
            self.tell(node, Origin::Told, content);
        }
    }

    /// What there is news of that came this way.
    pub fn take_news(&self, origin: Origin) -> Vec<SuspectReport> {
        let is_wanted = |news: &mut (Origin, ContentDigest)| news.0 == origin;
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
        let now = clock::now_with_suspension();
        let suspects = self.suspects.borrow();
        contents.iter().filter_map(|content| suspects.report(content, now)).collect()
    }

    /// Forgets what is over.
    pub fn expire(&self, node: &Node) {
        if self.suspects.borrow().is_empty() {
            return;
        }
        self.suspects.borrow_mut().expire(&node.settings().quarantine, clock::now_with_suspension());
        self.show(node);
    }

    /// True once this node has heard what others suspect.
    pub fn has_heard(&self) -> bool {
        self.has_heard.get()
    }

    /// Others have told, or there is nobody who could.
    pub fn note_heard(&self) {
        self.has_heard.set(true);
        self.heard.notify_waiters();
    }

    async fn wait_until_heard(&self) {
        let heard = self.heard.notified();
        if !self.has_heard.get() {
            // After the limit it goes by what it has seen itself.
            let _ = tokio::time::timeout(HEARING_LIMIT, heard).await;
        }
    }
}

/// True on the one gate of the service that lets a held content run once in a while: the same on
/// all nodes that know the same instances.
fn is_prober(node: &Node, content: &ContentDigest) -> bool {
    let settings = node.settings();
    let instances = node.knowledge.borrow().directory.ready_instances(&settings.service);
    let first = instances.iter().max_by_key(|instance| place(content, &instance.name));
    first.is_some_and(|instance| instance.address == settings.instance)
}

/// Place of an instance in the order drawn for a content (rendezvous hashing).
fn place(content: &ContentDigest, instance: &InstanceName) -> ContentDigest {
    ContentDigest::of(&content.0, instance.as_str().as_bytes(), &[], &[])
}
