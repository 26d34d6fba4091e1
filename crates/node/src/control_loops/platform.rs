//! Polls the platform's list of machines, which lags behind the real state.

use std::time::Duration;

use crate::directory::MachineList;
use crate::error::NodeError;
use crate::fetch;
use crate::state::{Node, lock};
use error_stack::{Report, ResultExt};

/// Path of the list at the platform's member service.
const MEMBERS_PATH: &str = "/members";
/// Maximum size of the list, in bytes.
const MAX_LIST: usize = 64 << 20;
/// Timeout for a read.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Reads the list periodically. A failed read leaves the last list in use; only the first of a series of
/// failures is logged.
pub async fn poll(node: Node) {
    let mut failing = false;
    loop {
        match read(&node).await {
            Ok(list) => {
                failing = false;
                apply_list(&node, &list);
            }
            Err(error) if !failing => {
                failing = true;
                log::warn!("event=member_list_not_read error={error:?}");
            }
            Err(_) => {}
        }
        tokio::time::sleep(node.settings.platform.poll).await;
    }
}

async fn read(node: &Node) -> Result<MachineList, Report<NodeError>> {
    let fetched = fetch::get(node.settings.platform.members, MEMBERS_PATH, MAX_LIST, TIMEOUT).await?;
    if fetched.status != fetch::OK {
        return Err(Report::new(NodeError::Platform).attach(format!("status {}", fetched.status)));
    }
    serde_json::from_slice(&fetched.body).change_context(NodeError::Platform)
}

fn apply_list(node: &Node, list: &MachineList) {
    let mut seeds = node.settings.seeds.clone();
    seeds.extend(list.nodes.iter().map(|listed| listed.control));
    lock(&node.membership).set_seeds(seeds);
    let mut directory = node.write_directory();
    directory.replace(&list.instances);
    lock(&node.balancer).retain(|instance| directory.get(instance).is_some());
}
