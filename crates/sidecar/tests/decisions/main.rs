//! Decisions without I/O, by example and against simple oracles.

mod attempts;
mod directory;
mod events;
mod freshness;
mod lineage;
mod routes;
mod settings;
