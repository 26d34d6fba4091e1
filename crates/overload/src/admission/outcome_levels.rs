//! Admission levels learnt from outcomes alone.
//!
//! Where requests carry no context through the back ends, nobody tells a root edge what a
//! deeper service can take. What a gate sees is how the requests of its instance end: too
//! many that fail because a call below them was refused mean that fewer should begin. Such
//! requests cost all the work done for them, so the level falls by the part that fails, and
//! rises again while requests go through. The gate returns the level with its replies, and
//! edges let that fraction of new requests through.

use std::collections::HashMap;
use std::time::Duration;

use olivegate_types::{Importance, Moment};

/// Shortest window of outcomes that is judged: about as long as requests take to show the
/// effect of the last step.
const WINDOW: Duration = Duration::from_millis(250);
/// Fewest outcomes that are judged.
const FEWEST_OUTCOMES: u32 = 5;
/// Part of requests failing from which on the level falls.
const FALL_ABOVE: f64 = 0.10;
/// Part of requests failing below which the level rises.
const RISE_BELOW: f64 = 0.05;
/// Part of the failures by which one step lowers the level.
const FALL_FACTOR: f64 = 0.6;
/// The same for the protected importance, which is shed last.
const PROTECTED_FALL_FACTOR: f64 = 0.3;
/// Growth of the level in the first step up.
const FIRST_RISE: f64 = 0.08;
/// Growth in the largest step up: the steps grow while nothing fails, since after a fault
/// the capacity may be back at once.
const LARGEST_RISE: f64 = 0.40;
/// Part of the level that was too high at which steps up begin small again.
const BARRIER_PART: f64 = 0.85;
/// Lowest level: some requests always go through, to see whether more can.
const LOWEST: f64 = 0.1;

#[derive(Debug, Clone)]
struct RouteLevel {
    level: f64,
    /// Level that was too high last time; steps up begin small again when it is reached.
    too_high: f64,
    steps_up: u32,
    window_began: Moment,
    outcomes: u32,
    overloaded: u32,
}

/// Admission levels of the routes of one gate.
#[derive(Debug, Default)]
pub struct OutcomeLevels {
    routes: HashMap<String, RouteLevel>,
}

impl OutcomeLevels {
    /// Level of `route`, 1 when nothing is held back.
    pub fn level(&self, route: &str) -> f64 {
        self.routes.get(route).map_or(1.0, |known| known.level)
    }

    /// Notes how a request that began at `began` ended: `overloaded` when it failed for want
    /// of capacity below it. Returns the level.
    pub fn on_outcome(
        &mut self,
        route: &str,
        importance: Importance,
        began: Moment,
        overloaded: bool,
        now: Moment,
    ) -> f64 {
        if !self.routes.contains_key(route) {
            let fresh = RouteLevel {
                level: 1.0,
                too_high: 1.0,
                steps_up: 0,
                window_began: Moment::START,
                outcomes: 0,
                overloaded: 0,
            };
            self.routes.insert(route.to_string(), fresh);
        }
        let Some(known) = self.routes.get_mut(route) else { return 1.0 };
        if began >= known.window_began {
            known.outcomes += 1;
            known.overloaded += u32::from(overloaded);
        }
        if now.since(known.window_began) >= WINDOW && known.outcomes >= FEWEST_OUTCOMES {
            known.judge(importance, now);
        }
        known.level
    }

    /// Forgets routes that are no longer configured.
    pub fn retain(&mut self, configured: impl Fn(&str) -> bool) {
        self.routes.retain(|route, _| configured(route));
    }
}

impl RouteLevel {
    /// One step up, larger with each step, up to the level that was too high last time; from
    /// there on the steps begin small again.
    fn rise(&mut self) {
        self.steps_up += 1;
        let growth = (FIRST_RISE * f64::from(self.steps_up)).min(LARGEST_RISE);
        let next = (self.level * (1.0 + growth)).min(1.0);
        let barrier = self.too_high * BARRIER_PART;
        if self.level < barrier && next >= barrier {
            self.level = barrier;
            self.steps_up = 0;
        } else {
            self.level = next;
        }
    }

    /// Moves the level by the window's outcomes and begins a new window.
    fn judge(&mut self, importance: Importance, now: Moment) {
        let failing = f64::from(self.overloaded) / f64::from(self.outcomes);
        let factor = if importance.is_protected() { PROTECTED_FALL_FACTOR } else { FALL_FACTOR };
        if failing > FALL_ABOVE {
            self.too_high = self.level;
            self.level = (self.level * (1.0 - failing * factor)).max(LOWEST);
            self.steps_up = 0;
        } else if failing < RISE_BELOW {
            self.rise();
        } else {
            self.steps_up = 0;
        }
        self.outcomes = 0;
        self.overloaded = 0;
        self.window_began = now;
    }
}

/// Age at which a reported level is forgotten: by then nothing is known.
const REPORT_LIFETIME: Duration = Duration::from_secs(3);
/// Weight of a new report; a service has several gates.
const REPORT_WEIGHT: f64 = 0.3;

/// Levels that gates reported to an edge, by route.
#[derive(Debug, Default)]
pub struct ReportedLevels {
    routes: HashMap<String, (f64, Moment)>,
}

impl ReportedLevels {
    /// Notes a gate's report.
    pub fn on_report(&mut self, route: &str, level: f64, now: Moment) {
        match self.routes.get_mut(route) {
            Some((known, at)) => {
                *known += (level - *known) * REPORT_WEIGHT;
                *at = now;
            }
            None if level < 1.0 => {
                self.routes.insert(route.to_string(), (level, now));
            }
            None => {}
        }
    }

    /// Level of `route`, 1 when nothing is held back.
    pub fn level(&self, route: &str, now: Moment) -> f64 {
        let fresh = self.routes.get(route).filter(|(_, at)| now.since(*at) < REPORT_LIFETIME);
        fresh.map_or(1.0, |(level, _)| *level)
    }

    /// Forgets routes that are no longer configured.
    pub fn retain(&mut self, configured: impl Fn(&str) -> bool) {
        self.routes.retain(|route, _| configured(route));
    }
}
