//! How recent a node's state is, and which nodes read the source.
//!
//! The machines of a zone are ranked by a hash that is the same on all nodes. One of them reads the source
//! and announces how recent its reading is; the others do not read while they hear of recent readings. When
//! the announcements stop, lower ranks take over slightly earlier than higher ones. A reader that is shutting
//! down no longer announces its own readings, so that another node takes over before it ends. A reader
//! continues until it hears of a reader of lower rank. A recent reading by a node of another zone is
//! sufficient as well, except for the first machine of each zone, which does not rely on it: with one reader
//! per zone, no change has to wait for a takeover.

use std::net::IpAddr;
use std::time::Duration;

use olivegate_types::Moment;

use super::relay::ranks_before;

/// Age of the last reading after which the next rank starts to read.
const STALE_AFTER: Duration = Duration::from_millis(1_150);
/// Additional delay per rank.
const RANK_STEP: Duration = Duration::from_millis(80);
/// Number of ranks with a longer delay than the one before; all higher ranks share the longest delay.
const MAX_STEPS: u32 = 4;
/// A reading is forwarded if it is more recent than the known one by at least this much.
const MIN_FORWARD_ADVANCE: Duration = Duration::from_millis(150);

/// A read of the source.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reading {
    /// The machine that read.
    pub reader: IpAddr,
    /// When it read.
    pub at: Moment,
}

/// How recent the state of one node is.
#[derive(Debug)]
pub struct Freshness {
    own: IpAddr,
    latest: Option<Reading>,
    /// The latest reading of this zone.
    latest_in_zone: Option<Moment>,
    /// The latest reading by a machine of lower rank than this one.
    latest_of_lower_rank: Option<Moment>,
    is_reader: bool,
}

impl Freshness {
    /// Creates the record of the node at `own`, without any reading.
    pub fn new(own: IpAddr) -> Self {
        Freshness { own, latest: None, latest_in_zone: None, latest_of_lower_rank: None, is_reader: false }
    }

    /// Records that this node read the source.
    pub fn on_read(&mut self, now: Moment) {
        self.latest = Some(Reading { reader: self.own, at: now });
        self.latest_in_zone = Some(now);
    }

    /// Records a reading of this zone that another node announced. Returns true if it is to be forwarded.
    pub fn on_announced(&mut self, reading: Reading) -> bool {
        if ranks_before(reading.reader, self.own) {
            self.latest_of_lower_rank = self.latest_of_lower_rank.max(Some(reading.at));
        }
        self.latest_in_zone = self.latest_in_zone.max(Some(reading.at));
        let is_later = self.latest.is_none_or(|known| reading.at > known.at);
        let is_forwarded = self.latest.is_none_or(|known| reading.at.since(known.at) >= MIN_FORWARD_ADVANCE);
        if is_later {
            self.latest = Some(reading);
        }
        is_forwarded
    }

    /// Records a reading of another zone whose result this node has.
    pub fn on_other_zone_reading(&mut self, reading: Reading) {
        if self.latest.is_none_or(|known| reading.at > known.at) {
            self.latest = Some(reading);
        }
    }

    /// Returns the latest known reading, by this node or another.
    pub fn latest(&self) -> Option<Reading> {
        self.latest
    }

    /// Returns the latest reading as it is announced to other nodes. A node that is shutting down no longer
    /// announces its own readings: others would rely on them until long after it ended.
    pub fn announced(&self, is_stopping: bool) -> Option<Reading> {
        self.latest.filter(|reading| !is_stopping || reading.reader != self.own)
    }

    /// Returns true while this node reads for its zone.
    pub fn is_reader(&self) -> bool {
        self.is_reader
    }

    /// Returns true if a node of this rank, 0 being the first, is to read now.
    pub fn should_read(&self, rank: u32, now: Moment) -> bool {
        let is_stale = |at: Option<Moment>, timeout| at.is_none_or(|at| now.since(at) > timeout);
        if self.is_reader {
            return is_stale(self.latest_of_lower_rank, STALE_AFTER);
        }
        let timeout = STALE_AFTER + RANK_STEP * rank.min(MAX_STEPS);
        let relied_on = if rank == 0 { self.latest_in_zone } else { self.latest.map(|reading| reading.at) };
        is_stale(relied_on, timeout)
    }

    /// Sets whether this node reads for its zone.
    pub fn set_reader(&mut self, is_reader: bool) {
        self.is_reader = is_reader;
    }
}
