//! Back-end instances: the platform's list, and which of them this node has observed to be leaving.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use olivegate_types::{InstanceName, Moment, ServiceName, ZoneName};
use serde::{Deserialize, Serialize};

/// Time for which this node's own observation that an instance is leaving overrides the platform's list.
const LEAVING_RETENTION: Duration = Duration::from_secs(10);

/// One back-end instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Instance {
    /// Name.
    pub name: InstanceName,
    /// Service.
    pub service: ServiceName,
    /// Zone.
    pub zone: ZoneName,
    /// Address.
    pub address: SocketAddr,
    /// True when the platform lists it as leaving.
    pub leaving: bool,
}

/// The platform's list of machines, as served in JSON.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct MachineList {
    /// Back-end instances.
    pub instances: Vec<ListedInstance>,
    /// Nodes of olivegate.
    pub nodes: Vec<ListedNode>,
}

/// An instance in the platform's list.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ListedInstance {
    /// Name.
    pub name: String,
    /// Service.
    pub service: String,
    /// Zone.
    pub zone: String,
    /// Address.
    pub address: SocketAddr,
    /// `live` or `leaving`.
    pub state: String,
}

/// A node in the platform's list.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ListedNode {
    /// Name.
    pub name: String,
    /// Control address.
    pub control: SocketAddr,
}

/// Instances by service.
#[derive(Debug, Default)]
pub struct Directory {
    instances: BTreeMap<InstanceName, Instance>,
    by_service: HashMap<ServiceName, Vec<InstanceName>>,
    observed_leaving: HashMap<InstanceName, Moment>,
}

impl Directory {
    /// Replaces the instances with those of the platform's list.
    pub fn replace(&mut self, list: &[ListedInstance]) {
        self.instances.clear();
        self.by_service.clear();
        for listed in list {
            let instance = Instance {
                name: InstanceName::new(&listed.name),
                service: ServiceName::new(&listed.service),
                zone: ZoneName::new(&listed.zone),
                address: listed.address,
                leaving: listed.state == "leaving",
            };
            self.by_service.entry(instance.service.clone()).or_default().push(instance.name.clone());
            self.instances.insert(instance.name.clone(), instance);
        }
    }

    /// An instance by name.
    pub fn get(&self, name: &InstanceName) -> Option<&Instance> {
        self.instances.get(name)
    }

    /// All instances.
    pub fn all(&self) -> impl Iterator<Item = &Instance> {
        self.instances.values()
    }

    /// Instances of a service that may be sent new calls.
    pub fn available(&self, service: &ServiceName, now: Moment) -> Vec<&Instance> {
        let names = self.by_service.get(service).map(Vec::as_slice).unwrap_or_default();
        let instances = names.iter().filter_map(|name| self.instances.get(name));
        instances.filter(|instance| !self.is_leaving(&instance.name, now)).collect()
    }

    /// True when the platform lists the instance as leaving, or it was recently observed to be leaving.
    pub fn is_leaving(&self, name: &InstanceName, now: Moment) -> bool {
        let observed = self.observed_leaving.get(name).is_some_and(|at| now.since(*at) < LEAVING_RETENTION);
        observed || self.instances.get(name).is_some_and(|instance| instance.leaving)
    }

    /// Records that a call or a health check showed the instance to be leaving.
    pub fn mark_leaving(&mut self, name: &InstanceName, now: Moment) {
        self.observed_leaving.insert(name.clone(), now);
    }

    /// Records that the instance itself reported that it is not leaving.
    pub fn mark_not_leaving(&mut self, name: &InstanceName) {
        self.observed_leaving.remove(name);
    }
}
