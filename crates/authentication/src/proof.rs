//! Age of the proof that a configuration is current.
//!
//! A read of the source that returns no newer version proves that none had been accepted when the read
//! *began*. Nodes tell each other the age of that moment. A node dates an answer to the moment at which it
//! *asked*, on its own clock, so the transit time counts as age, too. The clocks of other machines are
//! never trusted, and the proof of a process that was suspended has aged by that time when it resumes.

use std::time::Duration;

use olivegate_types::Moment;

/// Age of a read of the source at a moment of the node's own clock.
#[derive(Debug, Clone, Copy)]
struct ReadingAge {
    at: Moment,
    age: Duration,
}

impl ReadingAge {
    fn age(self, now: Moment) -> Duration {
        now.since(self.at) + self.age
    }
}

/// Proof that the configuration of one node is current. It is only ever replaced by a more recent one, and
/// stays valid when a newer version comes into force: the newest version at the time of the read is older
/// than that.
#[derive(Debug, Clone, Copy, Default)]
pub struct ConfigurationProof {
    reading: Option<ReadingAge>,
}

impl ConfigurationProof {
    /// Records a read of the source that began at `began` and returned no version newer than the one in
    /// force.
    pub fn on_read(&mut self, began: Moment) {
        self.update(ReadingAge { at: began, age: Duration::ZERO });
    }

    /// Records the answer of a node asked at `asked_at`: the version in force here, or an older one, was the
    /// newest at a time `age` before the answer.
    pub fn on_peer_answer(&mut self, asked_at: Moment, age: Duration) {
        self.update(ReadingAge { at: asked_at, age });
    }

    fn update(&mut self, candidate: ReadingAge) {
        let Some(current) = self.reading else {
            self.reading = Some(candidate);
            return;
        };
        let later = candidate.at.max(current.at);
        if candidate.age(later) < current.age(later) {
            self.reading = Some(candidate);
        }
    }

    /// Age of the proof; `None` without any proof.
    pub fn age(&self, now: Moment) -> Option<Duration> {
        self.reading.map(|reading| reading.age(now))
    }
}
