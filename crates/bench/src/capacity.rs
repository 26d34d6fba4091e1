//! What a deployment's slots can serve.

use std::collections::HashMap;

use crate::spec::DeploymentSpec;

/// Time added to each service time by the emulator's timers and connections, in
/// milliseconds; an estimate from unloaded calls, part of what load "0.8" means.
const HOP_OVERHEAD_MS: f64 = 1.2;

/// Slot time in milliseconds that one request of a call uses, by service. A slot is
/// held during the calls made on behalf.
fn slot_times(spec: &DeploymentSpec, call: &str) -> HashMap<String, f64> {
    let mut used = HashMap::new();
    hold_time(spec, call, &mut used);
    used
}

fn hold_time(spec: &DeploymentSpec, call: &str, used: &mut HashMap<String, f64>) -> f64 {
    let Some(endpoint) = spec.endpoint(call) else {
        return 0.0;
    };
    let mut hold = endpoint.service_ms as f64 + HOP_OVERHEAD_MS;
    for onward in &endpoint.calls {
        hold += hold_time(spec, onward, used);
    }
    *used.entry(endpoint.service.clone()).or_default() += hold;
    hold
}

fn slots(spec: &DeploymentSpec) -> HashMap<String, f64> {
    let slots = |service: &crate::spec::ServiceSpec| f64::from(service.slots) * service.instances as f64;
    spec.services.iter().map(|service| (service.name.clone(), slots(service))).collect()
}

/// Requests per second of the traffic mix that the slots serve at full use.
pub fn mix_capacity(spec: &DeploymentSpec) -> f64 {
    let total: f64 = spec.traffic.iter().map(|traffic| traffic.share).sum();
    let mut per_request: HashMap<String, f64> = HashMap::new();
    for traffic in &spec.traffic {
        for (service, time) in slot_times(spec, &traffic.call) {
            *per_request.entry(service).or_default() += time * traffic.share / total;
        }
    }
    let rates = slots(spec)
        .into_iter()
        .filter_map(|(service, slots)| per_request.get(&service).map(|time| slots * 1_000.0 / time));
    rates.fold(f64::INFINITY, f64::min)
}
