//! Matching requests to routes, and distributing the requests of a weighted route.

use std::collections::HashMap;
use std::rc::Rc;

use olivegate_types::ServiceName;

use crate::model::{ClientLimits, Configuration, ConfigurationVersion, Route};

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

/// Distributes the requests of weighted routes to their services in proportion to the weights, by smooth
/// weighted round robin: after any number of requests, each service is within one request of its share.
#[derive(Debug, Default)]
pub struct WeightedRoundRobin {
    credits: HashMap<String, Vec<i64>>,
}

impl WeightedRoundRobin {
    /// Selects the service for the next request of `route`.
    pub fn next_service(&mut self, route: &Route) -> Option<ServiceName> {
        if route.services.len() <= 1 {
            return route.services.first().map(|weighted| weighted.service.clone());
        }
        let credits = self.credits.entry(route.name.clone()).or_default();
        if credits.len() != route.services.len() {
            *credits = vec![0; route.services.len()];
        }
        let mut total = 0;
        for (credit, weighted) in credits.iter_mut().zip(&route.services) {
            *credit += i64::from(weighted.weight);
            total += i64::from(weighted.weight);
        }
        let chosen = (0..credits.len()).max_by_key(|&index| (credits[index], std::cmp::Reverse(index)))?;
        credits[chosen] -= total;
        Some(route.services[chosen].service.clone())
    }

    /// Drops the state of routes that are no longer configured.
    pub fn retain(&mut self, configuration: &Configuration) {
        self.credits.retain(|name, _| configuration.routes.iter().any(|route| route.name == *name));
    }
}
