//! How long a connection to the instance may have rested and still be trusted. Pure.
//!
//! An instance may forget connections that rest, without a word; what is sent on one is lost.
//! A connection that breaks on its first use after a rest shows how long is too long.

use std::time::Duration;

use olivegate_types::Moment;

use crate::model::RepeatSafety;

/// Rest up to which a connection is trusted with a request that may run only once: whether a
/// lost one ran, nobody can say.
const TRUSTED_WITH_UNSAFE: Duration = Duration::from_millis(100);
/// Part of a rest that was too long which is still trusted.
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
    pub fn longest(&self, safety: RepeatSafety, now: Moment) -> Duration {
        let lesson = self.lesson.filter(|lesson| now.since(lesson.learnt) < LESSON_LASTS);
        let learnt = lesson.map_or(Duration::MAX, |lesson| lesson.longest);
        match safety {
            RepeatSafety::Safe => learnt,
            RepeatSafety::Unsafe => learnt.min(TRUSTED_WITH_UNSAFE),
        }
    }

    /// A connection broke on its first use after this rest.
    pub fn on_broken(&mut self, rested: Duration, now: Moment) {
        if rested < SHORTEST {
            return;
        }
        let longest = rested.mul_f64(TRUSTED_PART).min(self.longest(RepeatSafety::Safe, now)).max(SHORTEST);
        self.lesson = Some(Lesson { longest, learnt: now });
    }
}
