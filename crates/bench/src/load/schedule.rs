//! Arrival schedule of the requests: open loop, with seeded Poisson arrivals.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::spec::DeploymentSpec;

/// Arrival rate from a point in time on, in seconds after the start.
#[derive(Debug, Clone, Copy)]
pub struct Phase {
    pub from: f64,
    pub per_second: f64,
}

/// A logical request: the first attempt and its retries.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub logical: u64,
    /// Seconds after the start.
    pub at: f64,
    pub call: String,
    pub group: usize,
    /// Random number from which the target is derived.
    pub target_choice: u64,
}

/// All logical requests of an experiment of `seconds`. `greedy` names a group, by its index, and
/// the factor on its share of the requests.
pub fn arrivals(
    spec: &DeploymentSpec,
    phases: &[Phase],
    seconds: f64,
    seed: u64,
    greedy: Option<(usize, f64)>,
) -> Vec<Arrival> {
    let mut random = StdRng::seed_from_u64(seed);
    let calls: Vec<(&str, f64)> =
        spec.traffic.iter().map(|traffic| (traffic.call.as_str(), traffic.share)).collect();
    let groups: Vec<(usize, f64)> = spec
        .groups
        .iter()
        .enumerate()
        .map(|(index, group)| {
            let factor = greedy.filter(|(greedy, _)| *greedy == index).map_or(1.0, |(_, factor)| factor);
            (index, group.share * factor)
        })
        .collect();
    let mut arrivals = Vec::new();
    let mut at = 0.0;
    loop {
        let rate = phases.iter().rev().find(|phase| phase.from <= at).map_or(1.0, |phase| phase.per_second);
        at += -(1.0 - random.random::<f64>()).ln() / rate;
        if at >= seconds {
            return arrivals;
        }
        arrivals.push(Arrival {
            logical: arrivals.len() as u64,
            at,
            call: choose_weighted(&calls, &mut random).to_string(),
            group: choose_weighted(&groups, &mut random),
            target_choice: random.random(),
        });
    }
}

fn choose_weighted<T: Copy>(items: &[(T, f64)], random: &mut StdRng) -> T {
    let total: f64 = items.iter().map(|(_, weight)| weight).sum();
    let mut point = random.random::<f64>() * total;
    for (item, weight) in items {
        point -= weight;
        if point <= 0.0 {
            return *item;
        }
    }
    items[items.len() - 1].0
}
