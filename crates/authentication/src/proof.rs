//! Until when a configuration may be relied on.
//!
//! A reading of the source that shows no newer version proves that none had been accepted when
//! the reading *began*. Nodes tell each other the age of that moment; the way of an answer
//! counts as age, too, since a node dates what it is told by the moment at which it *asked*,
//! on its own clock. No clock of another machine is believed, and a process that slept finds on
//! waking that its proof has aged.

use std::time::Duration;

use olivegate_types::Moment;

/// A reading's age at a moment of the own clock.
#[derive(Debug, Clone, Copy)]
struct Aged {
    at: Moment,
    age: Duration,
}

impl Aged {
    fn age(self, now: Moment) -> Duration {
        now.since(self.at) + self.age
    }
}

/// Proof of one node's configuration, which only ever grows more recent. It holds for a newer
/// version, too, once that is in force: what was the newest before it is older.
#[derive(Debug, Clone, Copy, Default)]
pub struct ConfigurationProof {
    reading: Option<Aged>,
}

impl ConfigurationProof {
    /// A reading that began at `began` showed no version newer than the one in force.
    pub fn on_read(&mut self, began: Moment) {
        self.take(Aged { at: began, age: Duration::ZERO });
    }

    /// A node that was asked at `asked` said that the version in force here, or an older one,
    /// was the newest as of `age` before it answered.
    pub fn on_peer_answer(&mut self, asked: Moment, age: Duration) {
        self.take(Aged { at: asked, age });
    }

    fn take(&mut self, news: Aged) {
        let Some(known) = self.reading else {
            self.reading = Some(news);
            return;
        };
        let later = news.at.max(known.at);
        if news.age(later) < known.age(later) {
            self.reading = Some(news);
        }
    }

    /// Age of what is proven; `None` when nothing is.
    pub fn age(&self, now: Moment) -> Option<Duration> {
        self.reading.map(|reading| reading.age(now))
    }
}
