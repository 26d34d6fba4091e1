//! Expected service time of requests in an instance, by route.
//!
//! A request with less time left than this is refused before it starts. Refused requests yield no samples,
//! so a route that was slow once would be refused forever: a probe request is let through now and then.

use std::collections::HashMap;
use std::ops::RangeInclusive;
use std::time::Duration;

use olivegate_types::Moment;

/// Smallest and largest weight of a new sample in the moving average.
const SAMPLE_WEIGHTS: RangeInclusive<f64> = 0.1..=0.5;
/// Time constant of the moving average: the rarer the samples, the more each one weighs against older ones.
const TIME_CONSTANT: Duration = Duration::from_millis(500);
/// Time between probes of a route, and from its last sample to the next probe: short compared with the time
/// within which a recovered route must be served again, long compared with the cost of probing an instance
/// that hangs.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

#[derive(Debug, Clone, Copy)]
struct Estimate {
    mean: Duration,
    last_sample: Moment,
    /// Time of the last probe or of the last sample, whichever is later.
    last_probe: Moment,
}

impl Estimate {
    /// Weight of a sample taken now.
    fn weight(&self, now: Moment) -> f64 {
        let age = now.since(self.last_sample).as_secs_f64() / TIME_CONSTANT.as_secs_f64();
        (1.0 - (-age).exp()).clamp(*SAMPLE_WEIGHTS.start(), *SAMPLE_WEIGHTS.end())
    }
}

/// Expected service times in one instance, by route.
#[derive(Debug, Default)]
pub struct ExpectedTimes {
    routes: HashMap<String, Estimate>,
}

impl ExpectedTimes {
    /// The expected time of `route`; `default` if no request of it has completed yet.
    pub fn get(&self, route: &str, default: Duration) -> Duration {
        self.routes.get(route).map_or(default, |estimate| estimate.mean)
    }

    /// The expected time to check a request with `time_left` against. For a request that is let through as a
    /// probe it is at most half of `time_left`.
    pub fn for_request(&mut self, route: &str, default: Duration, time_left: Duration, now: Moment) -> Duration {
        let expected = self.get(route, default);
        if expected <= time_left {
            return expected;
        }
        match self.routes.get_mut(route) {
            Some(estimate) if now.since(estimate.last_probe) >= PROBE_INTERVAL => {
                estimate.last_probe = now;
                expected.min(time_left / 2)
            }
            _ => expected,
        }
    }

    /// Records that a request of `route` took `used`.
    pub fn record(&mut self, route: &str, used: Duration, now: Moment) {
        let sample = Estimate { mean: used, last_sample: now, last_probe: now };
        let Some(estimate) = self.routes.get_mut(route) else {
            self.routes.insert(route.to_string(), sample);
            return;
        };
        let weight = estimate.weight(now);
        let mean = estimate.mean.mul_f64(1.0 - weight) + used.mul_f64(weight);
        *estimate = Estimate { mean, ..sample };
    }
}
