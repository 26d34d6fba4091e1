//! What a deployment's slots can serve.

use std::collections::HashMap;

use crate::spec::DeploymentSpec;

/// Time added to each service time by the emulator's timers and connections, in
/// milliseconds; read off unloaded calls (see docs/PROOFS.md, "Calibration").
pub const HOP_OVERHEAD_MS: f64 = 1.2;

/// Slot time in milliseconds that one request of a call uses, by service. A slot is
/// held during the calls made on behalf.
pub fn slot_times(spec: &DeploymentSpec, call: &str, slow: &HashMap<String, f64>) -> HashMap<String, f64> {
    let mut used = HashMap::new();
    hold_time(spec, call, slow, &mut used);
    used
}

fn hold_time(
    spec: &DeploymentSpec,
    call: &str,
    slow: &HashMap<String, f64>,
    used: &mut HashMap<String, f64>,
) -> f64 {
    let Some(endpoint) = spec.endpoint(call) else {
        return 0.0;
    };
    let factor = slow.get(&endpoint.service).copied().unwrap_or(1.0);
    let mut hold = endpoint.service_ms as f64 * factor + HOP_OVERHEAD_MS;
    for onward in &endpoint.calls {
        hold += hold_time(spec, onward, slow, used);
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
        for (service, time) in slot_times(spec, &traffic.call, &HashMap::new()) {
            *per_request.entry(service).or_default() += time * traffic.share / total;
        }
    }
    let rates = slots(spec)
        .into_iter()
        .filter_map(|(service, slots)| per_request.get(&service).map(|time| slots * 1_000.0 / time));
    rates.fold(f64::INFINITY, f64::min)
}

/// Requests per second answered at best when `offered` requests per second arrive and
/// the most important are served first. `importance` gives each call's level.
pub fn best_goodput(
    spec: &DeploymentSpec,
    offered: f64,
    slow: &HashMap<String, f64>,
    importance: impl Fn(&str) -> u8,
) -> f64 {
    let total: f64 = spec.traffic.iter().map(|traffic| traffic.share).sum();
    let mut left = slots(spec);
    let mut calls: Vec<(u8, f64, HashMap<String, f64>)> = Vec::new();
    for traffic in &spec.traffic {
        let rate = offered * traffic.share / total;
        calls.push((importance(&traffic.call), rate, slot_times(spec, &traffic.call, slow)));
    }
    let mut levels: Vec<u8> = calls.iter().map(|(level, ..)| *level).collect();
    levels.sort_unstable();
    levels.dedup();
    let mut goodput = 0.0;
    for level in levels.into_iter().rev() {
        let of_level: Vec<_> = calls.iter().filter(|(other, ..)| *other == level).collect();
        for (_, rate, times) in of_level {
            let fits = times.iter().map(|(service, time)| left[service] / (time / 1_000.0 * rate));
            let served = fits.fold(1.0, f64::min).max(0.0) * rate;
            goodput += served;
            for (service, time) in times {
                if let Some(slots) = left.get_mut(service) {
                    *slots -= served * time / 1_000.0;
                }
            }
        }
    }
    goodput
}
