//! How recent a node's knowledge is, and who reads the source.
//!
//! The machines of a zone are ranked by hash, alike on all nodes. The first reads the
//! source and tells the others how recent its reading is. A node that hears of no recent
//! reading reads itself, those of lower ranks a little earlier than the others.

use std::time::Duration;

use olivegate_types::Moment;

/// A reading older than this makes the next rank read.
const STALE_AFTER: Duration = Duration::from_millis(1_150);
/// Further time that each rank waits.
const RANK_STEP: Duration = Duration::from_millis(80);
/// Ranks that wait longer than the one before.
const STEPPED_RANKS: u32 = 4;
/// A reading that is later by this much is news.
const PASSED_ON_AFTER: Duration = Duration::from_millis(150);
/// A node that took over goes on reading for this long.
const KEEP_READING: Duration = Duration::from_secs(4);

/// How recent the knowledge of this node is.
#[derive(Debug, Default)]
pub struct Freshness {
    read_by_others: Option<Moment>,
    read_here: Option<Moment>,
    reading_until: Option<Moment>,
}

impl Freshness {
    /// Notes that this node read the source.
    pub fn on_read(&mut self, now: Moment) {
        self.read_here = Some(now);
    }

    /// Notes that a node of this zone told of a reading made `age` ago. True when it is news
    /// that is to be passed on.
    pub fn on_announced(&mut self, age: Duration, now: Moment) -> bool {
        let read = now.saturating_sub(age);
        let is_news = self.read_by_others.is_none_or(|known| read.since(known) >= PASSED_ON_AFTER);
        self.read_by_others = self.read_by_others.max(Some(read));
        is_news
    }

    /// Age of the latest reading that this node knows of, its own or another's.
    pub fn latest_age(&self, now: Moment) -> Option<Duration> {
        self.read_here.max(self.read_by_others).map(|read| now.since(read))
    }

    /// Age of this node's own last reading.
    pub fn own_age(&self, now: Moment) -> Option<Duration> {
        self.read_here.map(|read| now.since(read))
    }

    /// True when a node of this rank, 0 being the first, is to read now. A node that has just
    /// started reads once and then waits to hear from the first; one that takes over from a
    /// reader goes on for a while.
    pub fn should_read(&mut self, rank: u32, now: Moment) -> bool {
        if rank == 0 || self.reading_until.is_some_and(|until| now < until) {
            return true;
        }
        let patience = STALE_AFTER + RANK_STEP * rank.min(STEPPED_RANKS);
        let is_stale = self.latest_age(now).is_none_or(|age| age > patience);
        if is_stale && self.read_by_others.is_some() {
            self.reading_until = Some(now + KEEP_READING);
        }
        is_stale
    }
}
