//! End-to-end tests over real sockets: clients, nodes, scripted instances and an in-memory source on
//! loopback.

mod answers;
mod asking;
mod calls;
mod client;
mod configuration;
mod connections;
mod crashing;
mod deadlines;
mod failing;
mod gates;
mod instance;
mod keys;
mod lateness;
mod leaving;
mod limits;
mod load;
mod quotas;
mod replaced;
mod requests;
mod restarted;
mod resting;
mod restored;
mod source;
mod stopping;
mod support;
