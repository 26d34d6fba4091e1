//! The gates of this node, by instance.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use olivegate_bundle::Bundle;
use olivegate_overload::QueueSettings;
use olivegate_types::{InstanceName, ServiceName};

use crate::directory::Instance;
use crate::gate::slots::InstanceGate;
use crate::state::lock;

/// Queue capacity: waiting calls per slot of the instance.
const WAITING_PER_SLOT: u32 = 8;

/// All gates of this node, created on first use.
#[derive(Default)]
pub struct GateTable {
    gates: Mutex<HashMap<InstanceName, (ServiceName, Arc<InstanceGate>)>>,
}

/// Queue settings derived from a bundle.
fn queue_settings(bundle: &Bundle) -> QueueSettings {
    QueueSettings { max_wait: bundle.objective.max_queue_wait(), waiting_per_slot: WAITING_PER_SLOT }
}

impl GateTable {
    /// The gate of `instance`; a new one when the instance has changed its address.
    pub fn gate(&self, instance: &Instance, bundle: &Bundle) -> Arc<InstanceGate> {
        let mut gates = lock(&self.gates);
        if let Some((_, gate)) = gates.get(&instance.name).filter(|(_, gate)| gate.address() == instance.address) {
            return gate.clone();
        }
        let slots = bundle.service(&instance.service).map_or(1, |service| service.slots);
        let gate = Arc::new(InstanceGate::new(instance.address, queue_settings(bundle), slots));
        gates.insert(instance.name.clone(), (instance.service.clone(), gate.clone()));
        gate
    }

    /// Occupancy of an instance, if this node has its gate.
    pub fn occupancy(&self, instance: &InstanceName) -> Option<f64> {
        lock(&self.gates).get(instance).map(|(_, gate)| gate.occupancy())
    }

    /// Applies the queue settings and slots of a new bundle.
    pub fn configure(&self, bundle: &Bundle) {
        for (service, gate) in lock(&self.gates).values() {
            let slots = bundle.service(service).map_or(1, |service| service.slots);
            gate.configure(queue_settings(bundle), slots);
        }
    }

    /// All gates sorted by instance name, for the status page.
    pub fn all(&self) -> Vec<(InstanceName, Arc<InstanceGate>)> {
        let mut gates: Vec<_> =
            lock(&self.gates).iter().map(|(name, (_, gate))| (name.clone(), gate.clone())).collect();
        gates.sort_by(|left, right| left.0.cmp(&right.0));
        gates
    }
}
