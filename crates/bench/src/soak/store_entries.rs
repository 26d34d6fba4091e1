//! What the operator and the instances of a soak write to the store, and write again.

use std::collections::HashSet;
use std::rc::Rc;

use olivegate_platform_stand_in::records;
use olivegate_sidecar::model::{
    ClientLimits, Configuration, ConfigurationVersion, Instance as Entry, InstanceState, Millis, RetrySafety,
    Route, WeightedService,
};
use olivegate_types::{InstanceName, ServiceName, ZoneName};

use super::harness::{ATTEMPTS, World};
use super::instance::{HEALTH_PATH, Instance};
use super::record::Leaving;
use super::tenants;

impl World {
    /// The operator writes the next version: the routes of the deployment and one of its own.
    pub fn configure(&self) {
        let version = self.version.get() + 1;
        let mut routes: Vec<Route> = self
            .spec
            .endpoints
            .iter()
            .map(|endpoint| {
                let is_repeatable = endpoint.method() == "GET";
                route(&self.host, &format!("{}/", endpoint.path()), &endpoint.service, is_repeatable)
            })
            .collect();
        let own = route(&self.host, &Self::version_path(version), &self.spec.services[0].name, true);
        routes.push(Route { is_public: false, ..own });
        let services = self.spec.services.iter().map(|service| ServiceName::new(service.name.clone()));
        let configuration = Configuration {
            version: ConfigurationVersion(version),
            routes,
            limits: ClientLimits::default(),
            tenants: tenants::of_version(version),
            health_paths: services.map(|service| (service, HEALTH_PATH.to_string())).collect(),
        };
        records::put_configuration(&self.store, &configuration);
        *self.written.borrow_mut() = Some(configuration);
        self.version.set(version);
        let now_s = self.now_s();
        self.record.borrow_mut().versions.insert(version, now_s);
    }

    /// The operator writes its last version again.
    pub fn configure_again(&self) {
        if let Some(configuration) = &*self.written.borrow() {
            records::put_configuration(&self.store, configuration);
        }
    }

    /// Writes the entry of a machine's present instance.
    pub fn write_entry(&self, machine: usize, state: InstanceState) {
        let instance = self.instances.borrow()[machine].clone();
        if let Some(instance) = instance {
            self.write_entry_of(&instance, state);
        }
    }

    fn write_entry_of(&self, instance: &Instance, state: InstanceState) {
        let place = &self.machines[instance.machine];
        let entry = Entry {
            name: InstanceName::new(&instance.name),
            incarnation: instance.incarnation,
            service: ServiceName::new(&place.service),
            address: place.instance,
            zone: ZoneName::new(&place.zone),
            slots: place.slots,
            state,
        };
        self.sequence.set(self.sequence.get() + 1);
        records::put_instance(&self.store, &entry, self.sequence.get());
    }

    /// Who lives beside `machine` writes its entry, as it stands, again.
    pub fn write_again(&self, machine: usize) {
        self.write_entry(machine, InstanceState::Ready);
        let leaving = self.leaving.borrow();
        let of_machine = leaving.iter().filter(|instance| instance.machine == machine);
        of_machine.for_each(|instance| self.write_entry_of(instance, InstanceState::Draining));
    }

    /// Removes entries of instances that no longer live: nobody renews them.
    pub fn drop_silent_entries(&self) {
        let mut living: HashSet<String> = HashSet::new();
        living.extend(
            self.instances.borrow().iter().flatten().map(|instance| records::instance_key(&instance.name)),
        );
        living.extend(self.leaving.borrow().iter().map(|instance| records::instance_key(&instance.name)));
        let silent = self.store.keys(&records::instance_key(""));
        silent.iter().filter(|key| !living.contains(*key)).for_each(|key| self.store.remove(key));
    }

    /// Removes an instance's entry.
    pub fn remove_entry(&self, name: &str) {
        self.store.remove(&records::instance_key(name));
    }

    /// Notes that the store has taken that an instance leaves.
    pub fn note_leaving(&self, instance: &Rc<Instance>) {
        let leaving = Leaving { instance: instance.start_name(), acknowledged_s: self.now_s() };
        self.record.borrow_mut().leaving.push(leaving);
        self.leaving.borrow_mut().push(instance.clone());
    }

    /// An instance that has left ends.
    pub fn note_left(&self, instance: &Rc<Instance>) {
        self.leaving.borrow_mut().retain(|other| !Rc::ptr_eq(other, instance));
    }
}

fn route(host: &str, path_prefix: &str, service: &str, is_repeatable: bool) -> Route {
    Route {
        name: format!("to-{service}{path_prefix}"),
        host: host.to_string(),
        path_prefix: path_prefix.to_string(),
        services: vec![WeightedService { service: ServiceName::new(service), weight: 1 }],
        safety: if is_repeatable { RetrySafety::Safe } else { RetrySafety::Unsafe },
        timeout: Some(Millis(1_500)),
        target_latency: Millis(800),
        priority: if is_repeatable { 2 } else { 0 },
        attempts: ATTEMPTS,
        // Instances call these routes.
        is_public: true,
    }
}
