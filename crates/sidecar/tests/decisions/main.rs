//! Decisions without I/O, by example and against simple oracles.

mod attempts;
mod declared;
mod directory;
mod epochs;
mod events;
mod freshness;
mod identity;
mod idle_closes;
mod lineage;
mod metrics;
mod relay;
mod rest_trust;
mod routes;
mod settings;
mod sheds;
mod suspects;
mod suspension;
mod waits;
