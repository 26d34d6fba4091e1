//! How long an instance is expected to take for requests of a route.
//!
//! Requests whose time is too short for that are refused before they begin. What is refused shows nothing,
//! so a route that was slow once would be refused for good: now and then one is let through as a trial.

use std::collections::HashMap;
use std::ops::RangeInclusive;
use std::time::Duration;

use olivegate_types::Moment;

/// Least and largest weight of a new sample in a mean.
const SAMPLE_WEIGHTS: RangeInclusive<f64> = 0.1..=0.5;
/// Time constant of a mean: where samples are rare, each says more of the present than those before.
const MEMORY: Duration = Duration::from_millis(500);
/// Time between trials of a route, and from its last sample to the next one: short against the time
/// within which a route is to be served again, long against what trials cost beside an instance that hangs.
const TRIAL_INTERVAL: Duration = Duration::from_millis(500);

#[derive(Debug, Clone, Copy)]
struct Estimate {
    mean: Duration,
    sampled: Moment,
    /// The last trial, or the last sample where that was later.
    tried: Moment,
}

impl Estimate {
    /// Weight of a sample that comes now.
    fn weight(&self, now: Moment) -> f64 {
        let age = now.since(self.sampled).as_secs_f64() / MEMORY.as_secs_f64();
        (1.0 - (-age).exp()).clamp(*SAMPLE_WEIGHTS.start(), *SAMPLE_WEIGHTS.end())
    }
}

/// Expected times in one instance, by route.
#[derive(Debug, Default)]
pub struct ExpectedTimes {
    routes: HashMap<String, Estimate>,
}

impl ExpectedTimes {
    /// The expected time of `route`; `unseen` where no request of it has ended yet.
    pub fn get(&self, route: &str, unseen: Duration) -> Duration {
        self.routes.get(route).map_or(unseen, |estimate| estimate.mean)
    }

    /// The expected time by which a request is judged that has `time_left`: of one that is let through as
    /// a trial, no more than half of that.
    pub fn for_request(&mut self, route: &str, unseen: Duration, time_left: Duration, now: Moment) -> Duration {
        let expected = self.get(route, unseen);
        if expected <= time_left {
            return expected;
        }
        match self.routes.get_mut(route) {
            Some(estimate) if now.since(estimate.tried) >= TRIAL_INTERVAL => {
                estimate.tried = now;
                expected.min(time_left / 2)
            }
            _ => expected,
        }
    }

    /// Notes that a request of `route` took `used`.
    pub fn record(&mut self, route: &str, used: Duration, now: Moment) {
        let sampled = Estimate { mean: used, sampled: now, tried: now };
        let Some(estimate) = self.routes.get_mut(route) else {
            self.routes.insert(route.to_string(), sampled);
            return;
        };
        let weight = estimate.weight(now);
        let mean = estimate.mean.mul_f64(1.0 - weight) + used.mul_f64(weight);
        *estimate = Estimate { mean, ..sampled };
    }
}
