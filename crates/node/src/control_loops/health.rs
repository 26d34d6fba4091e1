//! Asks the instances of this node's gates whether they are leaving.
//!
//! Only "leaving" is believed: health and load endpoints lag or mislead, so everything
//! else is judged by own observations of calls.

use std::time::Duration;

use olivegate_types::header;

use crate::directory::Instance;
use crate::fetch;
use crate::reply::header_text;
use crate::state::Node;
use olivegate_clock as clock;

/// Time between two rounds.
const INTERVAL: Duration = Duration::from_millis(400);
/// Time limit for one answer.
const TIMEOUT: Duration = Duration::from_millis(300);
/// Path at the instances.
const HEALTH_PATH: &str = "/health";
/// Largest answer, in bytes.
const MAX_ANSWER: usize = 16 << 10;

/// Asks again and again.
pub async fn poll(node: Node) {
    loop {
        tokio::time::sleep(INTERVAL).await;
        let instances: Vec<Instance> = node.read_directory().all().cloned().collect();
        let own = instances.into_iter().filter(|instance| is_own_gate(&node, instance));
        let asked = own.map(|instance| ask(&node, instance));
        futures::future::join_all(asked).await;
    }
}

fn is_own_gate(node: &Node, instance: &Instance) -> bool {
    node.gate_of(instance).is_some_and(|gate| gate.name == *node.name())
}

async fn ask(node: &Node, instance: Instance) {
    let Ok(answer) = fetch::get(instance.address, HEALTH_PATH, MAX_ANSWER, TIMEOUT).await else {
        return;
    };
    let leaving = header_text(&answer.headers, header::LEAVING) == Some("true");
    let mut directory = node.write_directory();
    if leaving {
        directory.mark_leaving(&instance.name, clock::now());
    } else {
        directory.mark_not_leaving(&instance.name);
    }
}
