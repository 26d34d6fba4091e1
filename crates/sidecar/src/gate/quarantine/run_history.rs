//! History of past runs, used to attribute the end of an instance.

use std::cell::RefCell;
use std::collections::{HashSet, VecDeque};
use std::hash::RandomState;
use std::time::Duration;

use olivegate_types::{InstanceName, Moment};

use super::run_content::RunContent;

/// Maximum number of answered contents in each of the two generations.
const GENERATION_SIZE: usize = 2_048;
/// Maximum number of abandoned runs that are remembered.
const MAX_ABANDONED: usize = 64;
/// Time for which an instance may still be executing an abandoned run.
const ABANDONED_RETENTION: Duration = Duration::from_secs(1);

/// Contents that were answered recently, at least the last 2,048, as keyed hashes. Because of collisions,
/// about one content in 10^16 is wrongly taken for answered; two more ends are then needed to hold it.
#[derive(Debug, Default)]
pub struct AnsweredContents {
    hasher: RandomState,
    generations: RefCell<Generations>,
}

#[derive(Debug, Default)]
struct Generations {
    current: HashSet<u64>,
    previous: HashSet<u64>,
}

impl AnsweredContents {
    /// Adds an answered content. Contents with a large or streamed body are ignored.
    pub fn insert(&self, content: &RunContent) {
        let Some(hash) = content.quick_hash(&self.hasher) else { return };
        let mut generations = self.generations.borrow_mut();
        if generations.current.len() >= GENERATION_SIZE {
            generations.previous = std::mem::take(&mut generations.current);
        }
        generations.current.insert(hash);
    }

    /// True when this content was answered recently.
    pub fn contains(&self, content: &RunContent) -> bool {
        let generations = self.generations.borrow();
        let is_known = |hash| generations.current.contains(&hash) || generations.previous.contains(&hash);
        content.quick_hash(&self.hasher).is_some_and(is_known)
    }
}

/// One execution of a request by the instance beside this node.
#[derive(Debug, Clone)]
pub struct Run {
    /// The instance.
    pub instance: InstanceName,
    /// Name of the instance's incarnation: an instance that restarts under the same name may end again.
    pub incarnation_name: InstanceName,
    /// Name of the request's route.
    pub route: String,
    /// Content of the request.
    pub content: RunContent,
    /// When the run began.
    pub began: Moment,
}

/// Runs that were abandoned, by their client or at their deadline, while the instance was executing them.
#[derive(Debug, Default)]
pub struct AbandonedRuns(RefCell<VecDeque<(Moment, Run)>>);

impl AbandonedRuns {
    /// Adds a run that was abandoned at `now`; drops the oldest ones beyond `MAX_ABANDONED`.
    pub fn note(&self, run: Run, now: Moment) {
        let mut abandoned = self.0.borrow_mut();
        abandoned.truncate(MAX_ABANDONED - 1);
        abandoned.push_front((now, run));
    }

    /// True when `instance` may still be executing an abandoned run.
    pub fn has_any(&self, instance: &InstanceName, now: Moment) -> bool {
        let is_recent = |at: Moment| now.since(at) <= ABANDONED_RETENTION;
        self.0.borrow().iter().any(|(at, run)| is_recent(*at) && run.instance == *instance)
    }

    /// Removes all abandoned runs of `instance` and returns those that it may still have been executing when
    /// it ended.
    pub fn take_for(&self, instance: &InstanceName, ended: Moment) -> Vec<Run> {
        let mut runs = Vec::new();
        self.0.borrow_mut().retain(|(at, run)| {
            let is_match = run.instance == *instance;
            if is_match && ended.since(*at) <= ABANDONED_RETENTION {
                runs.push(run.clone());
            }
            !is_match
        });
        runs
    }
}
