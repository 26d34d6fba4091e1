//! The operator's configuration.

use crate::deployment::HOST;

/// A route of the configuration.
pub struct RouteSpec {
    pub path: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub timeout_ms: u32,
    pub target_ms: u32,
}

/// The configuration as the store holds it.
pub fn configuration(version: u32, routes: &[RouteSpec], max_body_bytes: usize) -> String {
    let route = |(index, route): (usize, &RouteSpec)| {
        format!(
            "{{\"name\":\"r-{index}\",\"host\":\"{HOST}\",\"path-prefix\":\"{}\",\"type\":\"{}\",\
             \"timeout-ms\":{},\"target-latency-ms\":{},\"priority\":0,\"service\":\"{}\",\"retry-attempts\":2}}",
            route.path, route.kind, route.timeout_ms, route.target_ms, route.service
        )
    };
    let listed: Vec<String> = routes.iter().enumerate().map(route).collect();
    let mut names: Vec<&str> = routes.iter().map(|route| route.service).collect();
    names.sort_unstable();
    names.dedup();
    let service = |name: &&str| {
        format!(
            "{{\"name\":\"{name}\",\"health-path\":\"/healthz\",\"max-connections\":952,\"protocol\":\"h1\",\
             \"tls\":false}}"
        )
    };
    let services: Vec<String> = names.iter().map(service).collect();
    format!(
        "{{\"version\":\"{version:08x}\",\"routes\":[{}],\"services\":[{}],\"limits\":{{\"max-header-bytes\":16384,\
         \"max-body-bytes\":{max_body_bytes},\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}}}",
        listed.join(","),
        services.join(",")
    )
}
