//! How recent a node's knowledge is, and who reads the source.
//!
//! The machines of a zone are ranked by hash, alike on all nodes. One of them reads the source
//! and tells the others how recent its reading is; while they hear of recent readings they
//! don't read. When the readings end, those of lower ranks take over a little earlier than the
//! others. A reader that stops says no more that it reads, so that another one does before it
//! ends. A reader goes on until it hears of one that ranks before it. What a node of another
//! zone knows from a recent reading is as good, but the first of each zone does not rely on it:
//! with one reader a zone, no change waits for a take-over.

use std::net::IpAddr;
use std::time::Duration;

use olivegate_types::Moment;

use super::relay::ranks_before;

/// A reading older than this makes the next rank read.
const STALE_AFTER: Duration = Duration::from_millis(1_150);
/// Further time that each rank waits.
const RANK_STEP: Duration = Duration::from_millis(80);
/// Ranks that wait longer than the one before.
const STEPPED_RANKS: u32 = 4;
/// A reading that is later by this much is news.
const PASSED_ON_AFTER: Duration = Duration::from_millis(150);

/// A reading of the source.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reading {
    /// The machine that read.
    pub reader: IpAddr,
    /// When.
    pub at: Moment,
}

/// How recent the knowledge of one node is.
#[derive(Debug)]
pub struct Freshness {
    own: IpAddr,
    latest: Option<Reading>,
    /// The latest one of this zone.
    latest_in_zone: Option<Moment>,
    /// Latest reading of a machine that ranks before this one.
    read_before_own_rank: Option<Moment>,
    is_reader: bool,
}

impl Freshness {
    /// The node on `own`, which knows of no reading yet.
    pub fn new(own: IpAddr) -> Self {
        Freshness { own, latest: None, latest_in_zone: None, read_before_own_rank: None, is_reader: false }
    }

    /// Notes that this node read the source.
    pub fn on_read(&mut self, now: Moment) {
        self.latest = Some(Reading { reader: self.own, at: now });
        self.latest_in_zone = Some(now);
    }

    /// Notes that a node told of a reading of this zone. True when it is news that is to be
    /// passed on.
    pub fn on_announced(&mut self, reading: Reading) -> bool {
        if ranks_before(reading.reader, self.own) {
            self.read_before_own_rank = self.read_before_own_rank.max(Some(reading.at));
        }
        self.latest_in_zone = self.latest_in_zone.max(Some(reading.at));
        let is_later = self.latest.is_none_or(|known| reading.at > known.at);
        let is_news = self.latest.is_none_or(|known| reading.at.since(known.at) >= PASSED_ON_AFTER);
        if is_later {
            self.latest = Some(reading);
        }
        is_news
    }

    /// Notes a reading of another zone, whose news this node has.
    pub fn on_read_elsewhere(&mut self, reading: Reading) {
        if self.latest.is_none_or(|known| reading.at > known.at) {
            self.latest = Some(reading);
        }
    }

    /// The latest reading that this node knows of, its own or another's.
    pub fn latest(&self) -> Option<Reading> {
        self.latest
    }

    /// The latest reading, as this node tells others. One that stops does not tell of its own
    /// readings any more: others would rely on them until long after its end.
    pub fn told(&self, is_stopping: bool) -> Option<Reading> {
        self.latest.filter(|reading| !is_stopping || reading.reader != self.own)
    }

    /// True while this node reads for its zone.
    pub fn is_reader(&self) -> bool {
        self.is_reader
    }

    /// True when a node of this rank, 0 being the first, is to read now.
    pub fn should_read(&self, rank: u32, now: Moment) -> bool {
        let is_over = |at: Option<Moment>, patience| at.is_none_or(|at| now.since(at) > patience);
        if self.is_reader {
            return is_over(self.read_before_own_rank, STALE_AFTER);
        }
        let patience = STALE_AFTER + RANK_STEP * rank.min(STEPPED_RANKS);
        let relied_on = if rank == 0 { self.latest_in_zone } else { self.latest.map(|reading| reading.at) };
        is_over(relied_on, patience)
    }

    /// This node reads from now on, or no longer.
    pub fn set_reader(&mut self, is_reader: bool) {
        self.is_reader = is_reader;
    }
}
