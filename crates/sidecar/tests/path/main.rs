//! End-to-end tests over real sockets: clients, nodes, scripted instances and an in-memory source on
//! loopback.

mod answers;
mod calls;
mod client;
mod configuration;
mod connections;
mod crashing;
mod deadlines;
mod failing;
mod gates;
mod identity_checks;
mod idle_connections;
mod instance;
mod keys;
mod leaving;
mod limits;
mod load;
mod quotas;
mod replaced;
mod requests;
mod restarted;
mod restored;
mod source;
mod stopping;
mod support;
mod thread_stalls;
