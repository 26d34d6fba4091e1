//! Description of an emulated deployment (`deployment.toml`).

use std::path::Path;

use olivegate_checked::{FieldErrors, TableReader};
use serde::{Deserialize, Serialize};

use crate::error::BenchError;

/// A service: number of instances, and the slots and connection limit of each.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ServiceSpec {
    pub name: String,
    pub instances: usize,
    pub slots: u32,
    pub connections: usize,
}

/// One method and path of a service.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EndpointSpec {
    /// Method and path, such as `GET /catalogue/search`.
    pub call: String,
    pub service: String,
    /// Mean service time without downstream calls, in milliseconds.
    pub service_ms: u64,
    pub body_bytes: usize,
    /// Downstream calls, made one after the other.
    pub calls: Vec<String>,
}

/// Share of one call in the traffic mix.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TrafficSpec {
    pub call: String,
    pub share: f64,
}

/// A group of callers and its share of the traffic.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GroupSpec {
    pub name: String,
    pub credential: String,
    pub share: f64,
}

/// A deployment: zones, services, endpoints, traffic mix and groups of callers.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DeploymentSpec {
    pub deployment: String,
    pub zones: Vec<String>,
    pub zone_delay_us: u64,
    pub client_delay_us: u64,
    pub nodes_per_zone: usize,
    pub services: Vec<ServiceSpec>,
    pub endpoints: Vec<EndpointSpec>,
    pub traffic: Vec<TrafficSpec>,
    pub groups: Vec<GroupSpec>,
}

impl EndpointSpec {
    /// Method.
    pub fn method(&self) -> &str {
        self.call.split(' ').next().unwrap_or_default()
    }

    /// Path.
    pub fn path(&self) -> &str {
        self.call.split(' ').nth(1).unwrap_or_default()
    }
}

impl DeploymentSpec {
    /// Reads and validates a file.
    pub fn read(file: &Path) -> Result<Self, BenchError> {
        let file_error = |reason: String| BenchError::File(format!("file={} {reason}", file.display()));
        let text = std::fs::read_to_string(file).map_err(|error| file_error(error.to_string()))?;
        Self::from_toml(&text).map_err(|errors| file_error(errors.to_string()))
    }

    /// Parses and validates text.
    pub fn from_toml(text: &str) -> Result<Self, FieldErrors> {
        let mut reader = TableReader::parse(text)?;
        let spec = DeploymentSpec {
            deployment: reader.name("deployment"),
            zones: reader.texts("zones"),
            zone_delay_us: reader.integer("zone_delay_us", 0..=1_000_000),
            client_delay_us: reader.integer("client_delay_us", 0..=1_000_000),
            nodes_per_zone: reader.integer("nodes_per_zone", 1..=20) as usize,
            services: reader.sections("services", read_service),
            endpoints: reader.sections("endpoints", read_endpoint),
            traffic: reader.sections("traffic", |traffic| TrafficSpec {
                call: traffic.text("call"),
                share: traffic.integer("share", 0..=1_000) as f64,
            }),
            groups: reader.sections("groups", |group| GroupSpec {
                name: group.name("name"),
                credential: group.text("credential"),
                share: group.integer("share", 0..=1_000) as f64,
            }),
        };
        spec.check(&mut reader);
        reader.finish()?;
        Ok(spec)
    }

    fn check(&self, reader: &mut TableReader) {
        for endpoint in &self.endpoints {
            if !self.services.iter().any(|service| service.name == endpoint.service) {
                reader.add_error("endpoints", format!("{} names an unknown service", endpoint.call));
            }
            for call in endpoint.calls.iter().filter(|call| self.endpoint(call).is_none()) {
                reader.add_error("endpoints", format!("{} calls unknown {call}", endpoint.call));
            }
        }
        for traffic in self.traffic.iter().filter(|traffic| self.endpoint(&traffic.call).is_none()) {
            reader.add_error("traffic", format!("unknown call {}", traffic.call));
        }
    }

    /// Returns an endpoint by method and path.
    pub fn endpoint(&self, call: &str) -> Option<&EndpointSpec> {
        self.endpoints.iter().find(|endpoint| endpoint.call == call)
    }
}

fn read_service(reader: &mut TableReader) -> ServiceSpec {
    ServiceSpec {
        name: reader.name("name"),
        instances: reader.integer("instances", 1..=1_000) as usize,
        slots: reader.integer("slots", 1..=1_000) as u32,
        connections: reader.integer("connections", 1..=10_000) as usize,
    }
}

fn read_endpoint(reader: &mut TableReader) -> EndpointSpec {
    EndpointSpec {
        call: reader.text("call"),
        service: reader.name("service"),
        service_ms: reader.integer("service_ms", 1..=10_000),
        body_bytes: reader.integer("body_bytes", 0..=1 << 30) as usize,
        calls: reader.texts("calls"),
    }
}

/// Formats a deployment as TOML, for the emulator's process.
pub fn to_toml(spec: &DeploymentSpec) -> String {
    let mut text = format!(
        "deployment = {:?}\nzones = {:?}\nzone_delay_us = {}\nclient_delay_us = {}\nnodes_per_zone = {}\n",
        spec.deployment, spec.zones, spec.zone_delay_us, spec.client_delay_us, spec.nodes_per_zone
    );
    for service in &spec.services {
        text += &format!(
            "[[services]]\nname = {:?}\ninstances = {}\nslots = {}\nconnections = {}\n",
            service.name, service.instances, service.slots, service.connections
        );
    }
    for endpoint in &spec.endpoints {
        text += &format!(
            "[[endpoints]]\ncall = {:?}\nservice = {:?}\nservice_ms = {}\nbody_bytes = {}\ncalls = {:?}\n",
            endpoint.call, endpoint.service, endpoint.service_ms, endpoint.body_bytes, endpoint.calls
        );
    }
    for traffic in &spec.traffic {
        text += &format!("[[traffic]]\ncall = {:?}\nshare = {}\n", traffic.call, traffic.share as u64);
    }
    for group in &spec.groups {
        text += &format!(
            "[[groups]]\nname = {:?}\ncredential = {:?}\nshare = {}\n",
            group.name, group.credential, group.share as u64
        );
    }
    text
}
