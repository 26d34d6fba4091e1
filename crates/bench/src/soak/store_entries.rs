//! What the operator and the instances of a soak write to the store, and write again after a restore.

use std::collections::HashSet;
use std::rc::Rc;

use olivegate_platform_stand_in::records;
use olivegate_sidecar::model::{
    ClientLimits, Configuration, ConfigurationVersion, Instance as StoredInstance, InstanceState, Millis,
    RetrySafety, Route, WeightedService,
};
use olivegate_types::{InstanceName, ServiceName, ZoneName};

use super::harness::{Harness, MAX_ATTEMPTS};
use super::instance::{HEALTH_PATH, Instance};
use super::record::Leaving;
use super::tenants;
use super::transfers::BODY_LIMITS;

impl Harness {
    /// Publishes the next version: the routes of the deployment and a route that only this version has.
    pub fn publish_configuration(&self) {
        let version = self.latest_version.get() + 1;
        let mut routes: Vec<Route> = self
            .spec
            .endpoints
            .iter()
            .map(|endpoint| {
                let is_retry_safe = endpoint.method() == "GET";
                route(&self.host, &format!("{}/", endpoint.path()), &endpoint.service, is_retry_safe)
            })
            .collect();
        let own = route(&self.host, &Self::version_path(version), &self.spec.services[0].name, true);
        routes.push(Route { is_public: false, ..own });
        let services = self.spec.services.iter().map(|service| ServiceName::new(service.name.clone()));
        let configuration = Configuration {
            version: ConfigurationVersion(version),
            routes,
            limits: limits_of_version(version),
            tenants: Some(tenants::of_version(version)),
            health_paths: services.map(|service| (service, HEALTH_PATH.to_string())).collect(),
        };
        records::put_configuration(&self.store, &configuration);
        *self.last_configuration.borrow_mut() = Some(configuration);
        self.latest_version.set(version);
        let now_s = self.now_s();
        self.record.borrow_mut().versions.insert(version, now_s);
    }

    /// Writes the latest version again.
    pub fn republish_configuration(&self) {
        if let Some(configuration) = &*self.last_configuration.borrow() {
            records::put_configuration(&self.store, configuration);
        }
    }

    /// Writes the entry of a machine's current instance.
    pub fn write_entry(&self, machine: usize, state: InstanceState) {
        let instance = self.instances.borrow()[machine].clone();
        if let Some(instance) = instance {
            self.write_entry_of(&instance, state);
        }
    }

    fn write_entry_of(&self, instance: &Instance, state: InstanceState) {
        let machine = &self.machines[instance.machine];
        let entry = StoredInstance {
            name: InstanceName::new(&instance.name),
            incarnation: instance.incarnation,
            service: ServiceName::new(&machine.service),
            address: machine.instance,
            zone: ZoneName::new(&machine.zone),
            slots: machine.slots,
            state,
        };
        self.sequence.set(self.sequence.get() + 1);
        records::put_instance(&self.store, &entry, self.sequence.get());
    }

    /// Writes the entries of all instances on `machine` again: the current one, and those that drain.
    pub fn rewrite_entries(&self, machine: usize) {
        self.write_entry(machine, InstanceState::Ready);
        let leaving = self.leaving_instances.borrow();
        let of_machine = leaving.iter().filter(|instance| instance.machine == machine);
        of_machine.for_each(|instance| self.write_entry_of(instance, InstanceState::Draining));
    }

    /// Removes the entries of instances that have ended: nobody renews them.
    pub fn remove_expired_entries(&self) {
        let mut live: HashSet<String> = HashSet::new();
        live.extend(
            self.instances.borrow().iter().flatten().map(|instance| records::instance_key(&instance.name)),
        );
        live.extend(self.leaving_instances.borrow().iter().map(|instance| records::instance_key(&instance.name)));
        let expired = self.store.keys(&records::instance_key(""));
        expired.iter().filter(|key| !live.contains(*key)).for_each(|key| self.store.remove(key));
    }

    /// Removes an instance's entry.
    pub fn remove_entry(&self, name: &str) {
        self.store.remove(&records::instance_key(name));
    }

    /// Records that the store has accepted that an instance drains.
    pub fn record_leaving(&self, instance: &Rc<Instance>) {
        let leaving = Leaving { instance: instance.incarnation_name(), acknowledged_s: self.now_s() };
        self.record.borrow_mut().leaving.push(leaving);
        self.leaving_instances.borrow_mut().push(instance.clone());
    }

    /// Forgets a draining instance that exits.
    pub fn remove_leaving(&self, instance: &Rc<Instance>) {
        self.leaving_instances.borrow_mut().retain(|other| !Rc::ptr_eq(other, instance));
    }
}

/// The limits change with each version.
fn limits_of_version(version: u64) -> ClientLimits {
    let max_body_bytes = BODY_LIMITS[version as usize % BODY_LIMITS.len()];
    ClientLimits { max_body_bytes, ..ClientLimits::default() }
}

fn route(host: &str, path_prefix: &str, service: &str, is_retry_safe: bool) -> Route {
    Route {
        name: format!("to-{service}{path_prefix}"),
        host: host.to_string(),
        path_prefix: path_prefix.to_string(),
        services: vec![WeightedService { service: ServiceName::new(service), weight: 1 }],
        safety: if is_retry_safe { RetrySafety::Safe } else { RetrySafety::Unsafe },
        timeout: Some(Millis(1_500)),
        target_latency: Millis(800),
        priority: if is_retry_safe { 2 } else { 0 },
        attempts: MAX_ATTEMPTS,
        // Instances call these routes too, without a credential.
        is_public: true,
    }
}
