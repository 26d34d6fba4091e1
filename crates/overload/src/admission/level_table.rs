//! Levels learnt from replies.

use std::collections::HashMap;
use std::time::Duration;

use olivegate_types::{Moment, ServiceName, SheddingRank};

use super::ClassKey;

/// A level that is not confirmed rises by this much per second.
const RECOVERY_PER_SECOND: f64 = 2.0;
/// Time without a reply after which a level starts to rise.
const HOLD: Duration = Duration::from_millis(100);
/// Least weight of a new report against the level held.
const REPORT_WEIGHT: f64 = 0.2;
/// Age at which the level held has lost all weight.
const REPORT_MEMORY: Duration = Duration::from_millis(150);
/// Levels from here on count as "everything is admitted".
const FULL_LEVEL: f64 = 0.995;
/// Largest level held. Above 1 it tells how much room a gate has left, which makes up for
/// another gate of the service that has none.
const LARGEST_LEVEL: f64 = 2.0;

#[derive(Debug, Clone)]
struct Learnt {
    service: ServiceName,
    hop: u8,
    level: f64,
    at: Moment,
}

impl Learnt {
    fn level_at(&self, hold: Duration, now: Moment) -> f64 {
        let unconfirmed = now.since(self.at).saturating_sub(hold);
        (self.level + RECOVERY_PER_SECOND * unconfirmed.as_secs_f64()).min(LARGEST_LEVEL)
    }
}

/// A level below 1 that binds a class, and the report that moved it last.
#[derive(Debug, Clone, PartialEq)]
pub struct BindingLevel {
    /// The class.
    pub class: ClassKey,
    /// The level in force, at most 1.
    pub level: f64,
    /// Service that reported it.
    pub service: ServiceName,
    /// Hop of the call that it was reported for.
    pub hop: u8,
    /// Level held after the last report.
    pub held: f64,
    /// Age of the last report.
    pub age: Duration,
}

/// Levels by class, reporting service and hop of the call; the smallest one binds.
///
/// The hop keeps reports from circling: a gate passes on only what it learnt from
/// calls deeper than the one it answers.
#[derive(Debug)]
pub struct LevelTable {
    levels: HashMap<ClassKey, Vec<Learnt>>,
    hold: Duration,
}

impl Default for LevelTable {
    fn default() -> Self {
        LevelTable { levels: HashMap::new(), hold: HOLD }
    }
}

impl LevelTable {
    /// Holds a level for `hold` after its last report, before it rises by itself.
    pub fn with_hold(hold: Duration) -> Self {
        LevelTable { hold, ..LevelTable::default() }
    }

    /// Notes the level that came with the reply of `service` to a call at `hop`; reports
    /// of the service's gates are averaged.
    pub fn on_report(&mut self, class: &ClassKey, service: &ServiceName, hop: u8, level: f64, now: Moment) {
        let level = level.clamp(0.0, LARGEST_LEVEL);
        let Some(learnt) = self.levels.get_mut(class) else {
            if level < FULL_LEVEL {
                self.levels.insert(class.clone(), vec![Learnt { service: service.clone(), hop, level, at: now }]);
            }
            return;
        };
        match learnt.iter_mut().find(|learnt| learnt.hop == hop && learnt.service == *service) {
            Some(entry) => {
                let held = entry.level_at(self.hold, now);
                let age = now.since(entry.at).as_secs_f64() / REPORT_MEMORY.as_secs_f64();
                entry.level = held + age.clamp(REPORT_WEIGHT, 1.0) * (level - held);
                entry.at = now;
            }
            None => learnt.push(Learnt { service: service.clone(), hop, level, at: now }),
        }
        learnt.retain(|entry| entry.level < LARGEST_LEVEL * FULL_LEVEL);
        if learnt.is_empty() {
            self.levels.remove(class);
        }
    }

    /// The level in force for a class at calls from `hop` on, at most 1. Levels rise while no
    /// report confirms them.
    pub fn level(&self, class: &ClassKey, hop: u8, now: Moment) -> f64 {
        self.headroom(class, hop, now).min(1.0)
    }

    /// The same for a gate that passes it on: above 1 where there is room for more.
    pub fn headroom(&self, class: &ClassKey, hop: u8, now: Moment) -> f64 {
        let learnt = self.levels.get(class).map(Vec::as_slice).unwrap_or_default();
        learnt
            .iter()
            .filter(|entry| entry.hop >= hop)
            .map(|entry| entry.level_at(self.hold, now))
            .fold(LARGEST_LEVEL, f64::min)
    }

    /// True when a root request of this rank may pass.
    pub fn admits(&self, class: &ClassKey, rank: SheddingRank, now: Moment) -> bool {
        rank.fraction() < self.level(class, 0, now)
    }

    /// Forgets classes of which `keeps` is false.
    pub fn retain(&mut self, keeps: impl Fn(&ClassKey) -> bool) {
        self.levels.retain(|class, _| keeps(class));
    }

    /// The level that binds each class, where it is below 1, in order of classes; for log lines.
    pub fn binding_levels(&self, now: Moment) -> Vec<BindingLevel> {
        let mut binding: Vec<BindingLevel> =
            self.levels.iter().filter_map(|(class, learnt)| self.binding_of(class, learnt, now)).collect();
        binding.sort_by(|left, right| left.class.cmp(&right.class));
        binding
    }

    fn binding_of(&self, class: &ClassKey, learnt: &[Learnt], now: Moment) -> Option<BindingLevel> {
        let level_of = |entry: &Learnt| entry.level_at(self.hold, now);
        let lowest = learnt.iter().min_by(|left, right| level_of(left).total_cmp(&level_of(right)))?;
        let level = level_of(lowest);
        (level < FULL_LEVEL).then(|| BindingLevel {
            class: class.clone(),
            level,
            service: lowest.service.clone(),
            hop: lowest.hop,
            held: lowest.level,
            age: now.since(lowest.at),
        })
    }

    /// Levels below 1, for status.
    pub fn entries(&self, now: Moment) -> Vec<(ClassKey, f64)> {
        self.binding_levels(now).into_iter().map(|binding| (binding.class, binding.level)).collect()
    }
}
