//! A configuration changes the weights of a route to ones of another scale.

use std::io;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::Client;
use crate::configuration::{RouteSpec, configuration};
use crate::deployment::{Deployment, MachineSpec};
use crate::instance::Answer;
use crate::{Finding, Setting};

const TIMEOUT_MS: u32 = 5_000;
/// Requests before the change, and counted ones after it.
const BEFORE: usize = 305;
const AFTER: usize = 400;
/// Deviation of a share from its weight that breaks the rule.
const MOST_OFF: f64 = 0.2;

fn route(service: &'static str) -> RouteSpec {
    RouteSpec { path: "/search/", kind: "safe", service, timeout_ms: 5_000, target_ms: 1_500 }
}

fn weighted(version: u32, first: u32, second: u32) -> String {
    let listed = configuration(version, &[route("catalogue"), route("stockroom")], 1 << 20);
    let (start, rest) =
        listed.split_once("\"service\":\"catalogue\",\"retry-attempts\":2}").expect("the first route");
    let (_, end) = rest.split_once("],\"services\"").expect("the services");
    let clusters = format!(
        "\"weighted-clusters\":[{{\"service\":\"catalogue\",\"weight\":{first}}},{{\"service\":\"stockroom\",\
         \"weight\":{second}}}],\"retry-attempts\":2}}"
    );
    format!("{start}{clusters}],\"services\"{end}")
}

pub fn run(setting: &Setting) -> io::Result<Finding> {
    let record = &setting.record;
    let answer = Answer { work: Duration::from_millis(1), length: 100, fault: None };
    let machine = |zone, service| MachineSpec { zone, service, slots: 142, answer };
    let machines = vec![
        machine("port-louis", "reservations"),
        machine("rose-hill", "catalogue"),
        machine("curepipe", "stockroom"),
    ];
    let first = if setting.has_trouble { weighted(1, 9_000, 1_000) } else { weighted(1, 1, 1) };
    let deployment = Deployment::start(&setting.folder, &first, machines, record)?;
    let mut client = Client::connect(deployment.machines[0].outbound())?;
    let mut send = |id: String| -> io::Result<bool> {
        client.get("/search/maps", &id, TIMEOUT_MS)?;
        Ok(client.receive(Instant::now() + Duration::from_secs(5)).status == 200)
    };
    for number in 0..BEFORE {
        send(format!("before-{number}"))?;
    }
    deployment.store.put("op/config", &weighted(5, 1, 1));
    record.note("version 5 acknowledged: weights 1 to 1");
    thread::sleep(Duration::from_millis(3_000));
    let mut served = 0;
    for number in 0..AFTER {
        served += usize::from(send(format!("after-{number}"))?);
    }
    let runs = deployment.machines[1].instance.runs();
    let count = runs.iter().filter(|run| run.id.starts_with("after")).count();
    let share = count as f64 / AFTER as f64;
    record.note(&format!("{served} of {AFTER} served; share of catalogue {share:.2}, weight 0.50"));
    Ok(if (share - 0.5).abs() <= MOST_OFF { Finding::Held } else { Finding::Broken })
}
