//! Tests of decisions without I/O, by example and against simple models.

mod attempts;
mod body_channel;
mod declared;
mod directory;
mod epochs;
mod events;
mod freshness;
mod identity;
mod idle_closes;
mod idle_reuse;
mod lineage;
mod metrics;
mod relay;
mod routes;
mod settings;
mod shedding;
mod suspects;
mod suspension;
mod waits;
