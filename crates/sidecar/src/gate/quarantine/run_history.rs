//! What a gate remembers of runs that are over, to judge the end of an instance by.

use std::cell::RefCell;
use std::collections::{HashSet, VecDeque};
use std::hash::RandomState;
use std::time::Duration;

use olivegate_types::{InstanceName, Moment};

use super::run_content::RunContent;

/// Answered contents that each of two generations remembers.
const GENERATION: usize = 2_048;
/// Runs that nobody waits for any more which are remembered.
const MOST_LEFT: usize = 64;
/// Time for which an instance may still be at work on a run that nobody waits for any more.
const LEFT_MEMORY: Duration = Duration::from_secs(1);

/// Contents that were answered lately: the last 2,048 at least, as keyed hashes. A collision makes
/// one content in 10^16 pass for answered, and it then takes two ends more to hold it.
#[derive(Debug, Default)]
pub struct AnsweredContents {
    hasher: RandomState,
    generations: RefCell<Generations>,
}

#[derive(Debug, Default)]
struct Generations {
    present: HashSet<u64>,
    last: HashSet<u64>,
}

impl AnsweredContents {
    /// Notes an answered content; only those with a small body are kept.
    pub fn insert(&self, content: &RunContent) {
        let Some(hash) = content.quick_hash(&self.hasher) else { return };
        let mut generations = self.generations.borrow_mut();
        if generations.present.len() >= GENERATION {
            generations.last = std::mem::take(&mut generations.present);
        }
        generations.present.insert(hash);
    }

    /// True when this content was answered lately.
    pub fn contains(&self, content: &RunContent) -> bool {
        let generations = self.generations.borrow();
        let is_known = |hash| generations.present.contains(&hash) || generations.last.contains(&hash);
        content.quick_hash(&self.hasher).is_some_and(is_known)
    }
}

/// A run of the instance beside this node.
#[derive(Debug, Clone)]
pub struct Run {
    /// The instance.
    pub instance: InstanceName,
    /// Name of this start of it: one that starts again under its name may end again.
    pub start: InstanceName,
    /// Name of the request's route.
    pub route: String,
    /// The request.
    pub content: RunContent,
    /// When it began.
    pub began: Moment,
}

/// Runs that were given up, by their client or at their deadline, while the instance was at work.
#[derive(Debug, Default)]
pub struct LeftRuns(RefCell<VecDeque<(Moment, Run)>>);

impl LeftRuns {
    /// Notes a run that nobody waits for any more.
    pub fn note(&self, run: Run, now: Moment) {
        let mut left = self.0.borrow_mut();
        left.truncate(MOST_LEFT - 1);
        left.push_front((now, run));
    }

    /// True when an instance may still be at work on such a run.
    pub fn any_of(&self, instance: &InstanceName, now: Moment) -> bool {
        let is_recent = |at: Moment| now.since(at) <= LEFT_MEMORY;
        self.0.borrow().iter().any(|(at, run)| is_recent(*at) && run.instance == *instance)
    }

    /// Takes the runs that `instance` may still have been at work on when it ended.
    pub fn take_of(&self, instance: &InstanceName, ended: Moment) -> Vec<Run> {
        let mut taken = Vec::new();
        self.0.borrow_mut().retain(|(at, run)| {
            let is_of_it = run.instance == *instance;
            if is_of_it && ended.since(*at) <= LEFT_MEMORY {
                taken.push(run.clone());
            }
            !is_of_it
        });
        taken
    }
}
