//! Matching requests to routes, and distributing the requests of a weighted route.

use std::collections::HashMap;
use std::rc::Rc;

use olivegate_types::ServiceName;
use rand::{Rng, RngExt};

use crate::model::{ClientLimits, Configuration, ConfigurationVersion, Route, WeightedService};

/// The routes of one configuration, indexed for lookup. A request uses the same table from its arrival to its
/// response.
#[derive(Debug, Default)]
pub struct RouteTable {
    version: ConfigurationVersion,
    limits: ClientLimits,
    /// Routes of each host, longest prefix first.
    by_host: HashMap<String, Vec<Rc<Route>>>,
}

impl RouteTable {
    /// Builds the table of `configuration`.
    pub fn new(configuration: &Configuration) -> Self {
        let mut by_host: HashMap<String, Vec<Rc<Route>>> = HashMap::new();
        for route in &configuration.routes {
            by_host.entry(route.host.clone()).or_default().push(Rc::new(route.clone()));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        RouteTable { version: configuration.version, limits: configuration.limits, by_host }
    }

    /// Version of the configuration.
    pub fn version(&self) -> ConfigurationVersion {
        self.version
    }

    /// Limits for clients.
    pub fn limits(&self) -> ClientLimits {
        self.limits
    }

    /// The route of `host` with the longest prefix of `path`.
    pub fn find(&self, host: &str, path: &str) -> Option<Rc<Route>> {
        let routes = self.by_host.get(host)?;
        routes.iter().find(|route| path.starts_with(&route.path_prefix)).cloned()
    }
}

/// Maximum number of steps by which the start of a rotation is moved.
const MAX_START_STEPS: i64 = 1_000;

/// Distributes the requests of weighted routes to their services in proportion to the weights, by smooth
/// weighted round robin: after any number of requests, each service is within one request of its share.
#[derive(Debug, Default)]
pub struct WeightedRoundRobin {
    rotations: HashMap<String, Rotation>,
}

impl WeightedRoundRobin {
    /// Selects the service for the next request of `route`.
    pub fn next_service(&mut self, route: &Route, random: &mut impl Rng) -> Option<ServiceName> {
        if route.services.len() <= 1 {
            return route.services.first().map(|weighted| weighted.service.clone());
        }
        let rotation = self.rotations.entry(route.name.clone()).or_default();
        if rotation.services != route.services {
            *rotation = Rotation::start(&route.services, random);
        }
        rotation.next()
    }

    /// Drops the state of routes that are no longer configured.
    pub fn retain(&mut self, configuration: &Configuration) {
        self.rotations.retain(|name, _| configuration.routes.iter().any(|route| route.name == *name));
    }
}

/// The rotation through the services of one route, for one set of weights.
#[derive(Debug, Default)]
struct Rotation {
    services: Vec<WeightedService>,
    /// How far each service is behind its share, in units of the weights.
    credits: Vec<i64>,
}

impl Rotation {
    /// Starts at a random position, as other nodes do: if all began with the same service, it would get too
    /// much of a route with few requests.
    fn start(services: &[WeightedService], random: &mut impl Rng) -> Self {
        let mut rotation = Rotation { services: services.to_vec(), credits: vec![0; services.len()] };
        let steps = random.random_range(0..rotation.period().clamp(1, MAX_START_STEPS));
        for _ in 0..steps {
            rotation.next();
        }
        rotation
    }

    /// Number of steps after which the rotation repeats.
    fn period(&self) -> i64 {
        let weights = || self.services.iter().map(|weighted| i64::from(weighted.weight));
        let divisor = weights().fold(0, greatest_common_divisor);
        weights().sum::<i64>() / divisor.max(1)
    }

    fn next(&mut self) -> Option<ServiceName> {
        let mut total = 0;
        for (credit, weighted) in self.credits.iter_mut().zip(&self.services) {
            *credit += i64::from(weighted.weight);
            total += i64::from(weighted.weight);
        }
        let indices = 0..self.credits.len();
        let chosen = indices.max_by_key(|&index| (self.credits[index], std::cmp::Reverse(index)))?;
        self.credits[chosen] -= total;
        Some(self.services[chosen].service.clone())
    }
}

fn greatest_common_divisor(first: i64, second: i64) -> i64 {
    if second == 0 { first } else { greatest_common_divisor(second, first % second) }
}
