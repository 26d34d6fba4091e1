//! Capacity of a deployment, computed from its concurrency slots and service times.

use std::collections::HashMap;

use crate::spec::DeploymentSpec;

/// Time that the emulator's timers and connections add to each service time, in milliseconds.
/// An estimate from calls without load. The capacity, and so what a load of 0.8 means, depends
/// on it.
const HOP_OVERHEAD_MS: f64 = 1.2;

/// Slot time in milliseconds that one request of a call uses at each service. A slot stays
/// occupied during the downstream calls.
fn slot_times(spec: &DeploymentSpec, call: &str) -> HashMap<String, f64> {
    let mut slot_ms_by_service = HashMap::new();
    add_slot_times(spec, call, &mut slot_ms_by_service);
    slot_ms_by_service
}

fn add_slot_times(spec: &DeploymentSpec, call: &str, slot_ms_by_service: &mut HashMap<String, f64>) -> f64 {
    let Some(endpoint) = spec.endpoint(call) else {
        return 0.0;
    };
    let mut slot_ms = endpoint.service_ms as f64 + HOP_OVERHEAD_MS;
    for downstream in &endpoint.calls {
        slot_ms += add_slot_times(spec, downstream, slot_ms_by_service);
    }
    *slot_ms_by_service.entry(endpoint.service.clone()).or_default() += slot_ms;
    slot_ms
}

fn slots_by_service(spec: &DeploymentSpec) -> HashMap<String, f64> {
    let total_slots = |service: &crate::spec::ServiceSpec| f64::from(service.slots) * service.instances as f64;
    spec.services.iter().map(|service| (service.name.clone(), total_slots(service))).collect()
}

/// Requests per second of the traffic mix at which the slots of the busiest service are fully used.
pub fn mix_capacity(spec: &DeploymentSpec) -> f64 {
    let total: f64 = spec.traffic.iter().map(|traffic| traffic.share).sum();
    let mut per_request: HashMap<String, f64> = HashMap::new();
    for traffic in &spec.traffic {
        for (service, slot_ms) in slot_times(spec, &traffic.call) {
            *per_request.entry(service).or_default() += slot_ms * traffic.share / total;
        }
    }
    let rates = slots_by_service(spec)
        .into_iter()
        .filter_map(|(service, slots)| per_request.get(&service).map(|slot_ms| slots * 1_000.0 / slot_ms));
    rates.fold(f64::INFINITY, f64::min)
}
