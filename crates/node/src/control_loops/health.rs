//! Polls the instances of this node's gates for whether they are leaving.
//!
//! Nothing else is taken from the response: health and load endpoints lag or mislead, so every other
//! decision about an instance relies on this node's own observations of calls.

use std::time::Duration;

use olivegate_types::header;

use crate::directory::Instance;
use crate::fetch;
use crate::reply::header_text;
use crate::state::Node;
use olivegate_clock as clock;

/// Interval between two rounds of checks.
const INTERVAL: Duration = Duration::from_millis(400);
/// Timeout for one check.
const TIMEOUT: Duration = Duration::from_millis(300);
/// Path of the health endpoint of an instance.
const HEALTH_PATH: &str = "/health";
/// Maximum size of a response body, in bytes.
const MAX_RESPONSE: usize = 16 << 10;

/// Checks the instances periodically.
pub async fn poll(node: Node) {
    loop {
        tokio::time::sleep(INTERVAL).await;
        let instances: Vec<Instance> = node.read_directory().all().cloned().collect();
        let with_gate_here = instances.into_iter().filter(|instance| has_gate_here(&node, instance));
        let checks = with_gate_here.map(|instance| check_instance(&node, instance));
        futures::future::join_all(checks).await;
    }
}

fn has_gate_here(node: &Node, instance: &Instance) -> bool {
    node.gate_of(instance).is_some_and(|gate| gate.name == *node.name())
}

async fn check_instance(node: &Node, instance: Instance) {
    let Ok(response) = fetch::get(instance.address, HEALTH_PATH, MAX_RESPONSE, TIMEOUT).await else {
        return;
    };
    let leaving = header_text(&response.headers, header::LEAVING) == Some("true");
    let mut directory = node.write_directory();
    if leaving {
        directory.mark_leaving(&instance.name, clock::now());
    } else {
        directory.mark_not_leaving(&instance.name);
    }
}
