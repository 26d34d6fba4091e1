//! How long a connection to the instance may have rested and still be trusted. Pure.
//!
//! An instance may forget connections that rest, without a word; what is sent on one is lost.
//! A connection that breaks on its first use after a rest shows that this was too long, and
//! nothing of how long would not have been: it may have been forgotten long before.

use std::time::Duration;

use olivegate_types::Moment;

use crate::model::RetrySafety;

/// Rest up to which a connection is trusted where a lost request costs much: one that may run only
/// once, for nobody can say whether it ran, and any while the instance is known to forget.
const CAUTIOUS: Duration = Duration::from_millis(100);
/// Part of a rest that was too long which is still trusted, if that is less.
const TRUSTED_PART: f64 = 0.6;
/// Shortest rest that is distrusted.
const SHORTEST: Duration = Duration::from_millis(20);
/// Time after which a lesson is forgotten.
const LESSON_LASTS: Duration = Duration::from_secs(10);

/// What was learnt about connections that rest.
#[derive(Debug, Clone, Copy, Default)]
pub struct RestTrust {
    lesson: Option<Lesson>,
}

#[derive(Debug, Clone, Copy)]
struct Lesson {
    longest: Duration,
    learnt: Moment,
}

impl RestTrust {
    /// Longest rest after which a connection may carry a request.
    pub fn longest(&self, safety: RetrySafety, now: Moment) -> Duration {
        let lesson = self.lesson.filter(|lesson| now.since(lesson.learnt) < LESSON_LASTS);
        let learnt = lesson.map_or(Duration::MAX, |lesson| lesson.longest);
        match safety {
            RetrySafety::Safe => learnt,
            RetrySafety::Unsafe => learnt.min(CAUTIOUS),
        }
    }

    /// A connection broke on its first use after this rest.
    pub fn on_broken(&mut self, rested: Duration, now: Moment) {
        if rested < SHORTEST {
            return;
        }
        let known = self.longest(RetrySafety::Safe, now);
        let longest = rested.mul_f64(TRUSTED_PART).min(CAUTIOUS).min(known).max(SHORTEST);
        self.lesson = Some(Lesson { longest, learnt: now });
    }
}
