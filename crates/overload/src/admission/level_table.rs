//! Admission levels received with replies.

use std::collections::HashMap;
use std::time::Duration;

use olivegate_types::{Moment, ServiceName, SheddingRank};

use super::ClassKey;

/// Rise per second of a level that no new report confirms.
const RECOVERY_PER_SECOND: f64 = 2.0;
/// Default time without a report after which a level starts to rise.
const DEFAULT_HOLD: Duration = Duration::from_millis(100);
/// Smallest weight of a new report against the level held.
const MIN_REPORT_WEIGHT: f64 = 0.2;
/// Age at which the level held has no weight any more against a new report.
const MAX_REPORT_AGE: Duration = Duration::from_millis(150);
/// Levels from this one on count as full admission.
const FULL_LEVEL: f64 = 0.995;
/// Highest level held. A level above 1 is the headroom of a gate, which compensates for another gate of the
/// service that has none.
const MAX_LEVEL: f64 = 2.0;

#[derive(Debug, Clone)]
struct Report {
    service: ServiceName,
    hop: u8,
    level: f64,
    reported_at: Moment,
}

impl Report {
    fn level_at(&self, hold: Duration, now: Moment) -> f64 {
        let unconfirmed = now.since(self.reported_at).saturating_sub(hold);
        (self.level + RECOVERY_PER_SECOND * unconfirmed.as_secs_f64()).min(MAX_LEVEL)
    }
}

/// A level below 1 that limits a class, and the report that changed it last.
#[derive(Debug, Clone, PartialEq)]
pub struct BindingLevel {
    /// The class.
    pub class: ClassKey,
    /// The level in force, at most 1.
    pub level: f64,
    /// Service that reported it.
    pub service: ServiceName,
    /// Hop of the call for which it was reported.
    pub hop: u8,
    /// Level after the last report.
    pub held: f64,
    /// Age of the last report.
    pub age: Duration,
}

/// Levels by class, reporting service and hop of the call; the smallest one applies.
///
/// The hop prevents reports from going round in circles: a gate passes on only levels of calls deeper than
/// the one that it answers.
#[derive(Debug)]
pub struct LevelTable {
    levels: HashMap<ClassKey, Vec<Report>>,
    hold: Duration,
}

impl Default for LevelTable {
    fn default() -> Self {
        LevelTable { levels: HashMap::new(), hold: DEFAULT_HOLD }
    }
}

impl LevelTable {
    /// A table that holds a level for `hold` after its last report, before the level rises.
    pub fn with_hold(hold: Duration) -> Self {
        LevelTable { hold, ..LevelTable::default() }
    }

    /// Records the level that came with the reply of `service` to a call at `hop`. Reports of all gates of
    /// the service are averaged.
    pub fn on_report(&mut self, class: &ClassKey, service: &ServiceName, hop: u8, level: f64, now: Moment) {
        let level = level.clamp(0.0, MAX_LEVEL);
        let Some(reports) = self.levels.get_mut(class) else {
            if level < FULL_LEVEL {
                self.levels.insert(
                    class.clone(),
                    vec![Report { service: service.clone(), hop, level, reported_at: now }],
                );
            }
            return;
        };
        match reports.iter_mut().find(|report| report.hop == hop && report.service == *service) {
            Some(entry) => {
                let held = entry.level_at(self.hold, now);
                let age = now.since(entry.reported_at).as_secs_f64() / MAX_REPORT_AGE.as_secs_f64();
                entry.level = held + age.clamp(MIN_REPORT_WEIGHT, 1.0) * (level - held);
                entry.reported_at = now;
            }
            None => reports.push(Report { service: service.clone(), hop, level, reported_at: now }),
        }
        reports.retain(|entry| entry.level < MAX_LEVEL * FULL_LEVEL);
        if reports.is_empty() {
            self.levels.remove(class);
        }
    }

    /// The level in force for a class, from calls at `hop` or deeper; at most 1. Levels rise while no report
    /// confirms them.
    pub fn level(&self, class: &ClassKey, hop: u8, now: Moment) -> f64 {
        self.headroom(class, hop, now).min(1.0)
    }

    /// Like [`Self::level`], but for a gate that passes it on: above 1 if there is capacity for more.
    pub fn headroom(&self, class: &ClassKey, hop: u8, now: Moment) -> f64 {
        let reports = self.levels.get(class).map(Vec::as_slice).unwrap_or_default();
        reports
            .iter()
            .filter(|entry| entry.hop >= hop)
            .map(|entry| entry.level_at(self.hold, now))
            .fold(MAX_LEVEL, f64::min)
    }

    /// True if a root request of this rank is admitted.
    pub fn admits(&self, class: &ClassKey, rank: SheddingRank, now: Moment) -> bool {
        rank.fraction() < self.level(class, 0, now)
    }

    /// Removes the classes for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(&ClassKey) -> bool) {
        self.levels.retain(|class, _| keep(class));
    }

    /// The level in force of each class that is below 1, sorted by class; for log lines.
    pub fn binding_levels(&self, now: Moment) -> Vec<BindingLevel> {
        let mut binding: Vec<BindingLevel> =
            self.levels.iter().filter_map(|(class, reports)| self.binding_of(class, reports, now)).collect();
        binding.sort_by(|left, right| left.class.cmp(&right.class));
        binding
    }

    fn binding_of(&self, class: &ClassKey, reports: &[Report], now: Moment) -> Option<BindingLevel> {
        let level_of = |entry: &Report| entry.level_at(self.hold, now);
        let lowest = reports.iter().min_by(|left, right| level_of(left).total_cmp(&level_of(right)))?;
        let level = level_of(lowest);
        (level < FULL_LEVEL).then(|| BindingLevel {
            class: class.clone(),
            level,
            service: lowest.service.clone(),
            hop: lowest.hop,
            held: lowest.level,
            age: now.since(lowest.reported_at),
        })
    }

    /// Levels below 1, for the status page.
    pub fn entries(&self, now: Moment) -> Vec<(ClassKey, f64)> {
        self.binding_levels(now).into_iter().map(|binding| (binding.class, binding.level)).collect()
    }
}
